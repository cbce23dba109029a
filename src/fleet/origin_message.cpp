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

using packed_origins = std::tuple<bool, std::vector<std::string>,
                                  std::vector<origin_row>, origin_services>;

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

/// Indexes of the names of versions, in the order of their first use.
class name_indexes
{
public:
    auto add(stream_origin::reported_origin const& it)
        -> std::pair<std::uint32_t, bool>
    {
        auto const next = static_cast<std::uint32_t>(indexes_.size());
        auto const [found, added] =
            indexes_.emplace(std::pair{it.service, it.version}, next);
        return {found->second, added};
    }

private:
    std::map<std::pair<std::optional<service_id>, software_version>,
             std::uint32_t>
        indexes_;
};

} // namespace

auto to_fields(std::vector<stream_origin::reported_origin> const& it,
               time_point now) -> origin_fields
{
    auto versions = std::vector<std::string>{};
    auto indexes = name_indexes{};
    auto rows = std::vector<origin_row>{};
    for (auto const& each : it)
    {
        auto const [index, added] = indexes.add(each);
        if (added)
        {
            versions.push_back(each.version.value());
        }
        rows.emplace_back(each.stream.value(), index,
                          to_milliseconds(now - each.at));
    }
    return {std::move(versions), std::move(rows)};
}

auto to_origin_services(std::vector<stream_origin::reported_origin> const& it)
    -> origin_services
{
    auto out = origin_services{};
    auto indexes = name_indexes{};
    auto known = false;
    for (auto const& each : it)
    {
        if (indexes.add(each).second)
        {
            known |= each.service.has_value();
            out.push_back(each.service.value_or(service_id{}).value());
        }
    }
    return known ? out : origin_services{};
}

auto to_origins(origin_fields const& it, time_point now,
                origin_services const& services)
    -> std::vector<stream_origin::reported_origin>
{
    auto out = std::vector<stream_origin::reported_origin>{};
    auto const& [versions, rows] = it;
    for (auto const& [stream, version, age] : rows)
    {
        if (version >= versions.size())
        {
            continue;
        }
        out.push_back({stream_origin::stream_id{stream},
                       software_version{versions[version]},
                       now - std::chrono::milliseconds{age},
                       {}});
        if (version < services.size() && !services[version].empty())
        {
            out.back().service = service_id{services[version]};
        }
    }
    return out;
}

auto encode(known_origins const& it, time_point now) -> std::string
{
    auto buf = msgpack::sbuffer{};
    msgpack::pack(
        buf, std::tuple_cat(std::tuple{it.complete}, to_fields(it.origins, now),
                            std::tuple{to_origin_services(it.origins)}));
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
        // Absent elements are left empty.
        auto const [complete, versions, rows, services] =
            handle.get().as<packed_origins>();
        return known_origins{complete,
                             to_origins({versions, rows}, now, services)};
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace primrosedeal::fleet
