#include "fleet/origin_message.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <limits>
#include <map>

namespace primrosedeal::fleet
{

namespace
{

using packed_origins =
    std::tuple<bool, std::vector<std::string>, std::vector<origin_row>>;

// Bounds against input that declares more elements than a host knows.
constexpr auto max_rows = stream_origin::max_known_origins;
constexpr auto max_text = std::size_t{1024};
constexpr auto max_depth = std::size_t{4};

auto to_milliseconds(duration it) -> std::uint32_t
{
    constexpr auto most =
        std::int64_t{std::numeric_limits<std::uint32_t>::max()};
    return static_cast<std::uint32_t>(
        std::clamp(std::int64_t{it / std::chrono::milliseconds{1}},
                   std::int64_t{0}, most));
}

} // namespace

auto to_fields(std::vector<stream_origin::reported_origin> const& it,
               time_point now) -> origin_fields
{
    auto versions = std::vector<std::string>{};
    auto indexes = std::map<software_version, std::uint32_t>{};
    auto rows = std::vector<origin_row>{};
    for (auto const& each : it)
    {
        auto const [found, added] = indexes.emplace(
            each.version, static_cast<std::uint32_t>(versions.size()));
        if (added)
        {
            versions.push_back(each.version.value());
        }
        rows.emplace_back(each.stream.value(), found->second,
                          to_milliseconds(now - each.at));
    }
    return {std::move(versions), std::move(rows)};
}

auto to_origins(origin_fields const& it, time_point now)
    -> std::vector<stream_origin::reported_origin>
{
    auto out = std::vector<stream_origin::reported_origin>{};
    auto const& [versions, rows] = it;
    for (auto const& [stream, version, age] : rows)
    {
        if (version < versions.size())
        {
            out.push_back({stream_origin::stream_id{stream},
                           software_version{versions[version]},
                           now - std::chrono::milliseconds{age},
                           {}});
        }
    }
    return out;
}

auto encode(known_origins const& it, time_point now) -> std::string
{
    auto buf = msgpack::sbuffer{};
    msgpack::pack(buf, std::tuple_cat(std::tuple{it.complete},
                                      to_fields(it.origins, now)));
    return {buf.data(), buf.size()};
}

auto decode_known_origins(std::string const& bytes, time_point now)
    -> std::optional<known_origins>
{
    try
    {
        auto const handle = msgpack::unpack(
            bytes.data(), bytes.size(), nullptr, nullptr,
            msgpack::unpack_limit(max_rows, 0, max_text, 0, 0, max_depth));
        auto const [complete, versions, rows] =
            handle.get().as<packed_origins>();
        return known_origins{complete, to_origins({versions, rows}, now)};
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace primrosedeal::fleet
