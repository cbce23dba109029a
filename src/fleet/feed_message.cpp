#include "fleet/feed_message.hpp"

#include <msgpack.hpp>

#include <exception>
#include <tuple>

namespace primrosedeal::fleet
{

namespace
{

/// Key, has value, value, too large, revision.
using entry_row =
    std::tuple<std::string, bool, std::string, bool, std::int64_t>;
using fields = std::tuple<bool, std::int64_t, std::vector<entry_row>>;

// Bounds against input that declares more elements than a message can hold.
constexpr auto max_rows = std::size_t{1024};
constexpr auto max_text = std::size_t{16} << 10U;
constexpr auto max_depth = std::size_t{4};

} // namespace

auto encode(feed_message const& it) -> std::string
{
    auto out = fields{it.in_contact, it.at.value(), {}};
    for (auto const& entry : it.entries)
    {
        std::get<2>(out).emplace_back(entry.key, entry.value.has_value(),
                                      entry.value.value_or(""), entry.too_large,
                                      entry.at.value());
    }
    auto buf = msgpack::sbuffer{};
    msgpack::pack(buf, out);
    // A second object, which earlier versions of this program skip.
    msgpack::pack(buf, it.at.era().value());
    return {buf.data(), buf.size()};
}

auto decode_feed_message(std::string_view bytes, external::store_era otherwise)
    -> std::optional<feed_message>
{
    try
    {
        auto const limit =
            msgpack::unpack_limit(max_rows, 0, max_text, 0, 0, max_depth);
        auto n = std::size_t{0};
        auto const handle = msgpack::unpack(bytes.data(), bytes.size(), n,
                                            nullptr, nullptr, limit);
        auto const it = handle.get().as<fields>();
        auto era = otherwise;
        if (n < bytes.size())
        {
            era =
                external::store_era{msgpack::unpack(bytes.data(), bytes.size(),
                                                    n, nullptr, nullptr, limit)
                                        .get()
                                        .as<std::int64_t>()};
        }
        auto out = feed_message{};
        out.in_contact = std::get<0>(it);
        out.at = external::store_revision{std::get<1>(it), era};
        for (auto const& [key, has_value, value, too_large, at] :
             std::get<2>(it))
        {
            out.entries.push_back(
                {key, has_value ? std::optional{value} : std::nullopt,
                 too_large, external::store_revision{at, era}});
        }
        return out;
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace primrosedeal::fleet
