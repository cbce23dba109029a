#include "membership/record.hpp"

#include <vector>

// The payload of a member record is the text `IP:PORT DOMAIN`, which operators
// can read in a dump. Further fields, appended after a space by a later
// release, are ignored.
namespace primrosedeal::membership
{

auto to_string(host_state it) -> std::string_view
{
    switch (it)
    {
    case host_state::alive:
        return "alive";
    case host_state::suspect:
        return "suspect";
    case host_state::dead:
        return "dead";
    }
    return "dead";
}

namespace
{

/// Dead hosts are retained this long, so that contact is retried after a
/// network partition.
constexpr auto dead_member_retention = std::chrono::hours{1};

auto split(std::string_view text) -> std::vector<std::string_view>
{
    auto parts = std::vector<std::string_view>{};
    while (!text.empty())
    {
        auto const end = text.find(' ');
        parts.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? "" : text.substr(end + 1);
    }
    return parts;
}

} // namespace

auto to_record(member const& it) -> record
{
    auto out = record{};
    out.key = {topic::member, it.id.value()};
    out.version = {it.start.value(), static_cast<std::uint64_t>(it.state)};
    out.urgency = urgency::urgent;
    out.payload = net::to_string(it.address) + ' ' + it.domain.value();
    if (it.state == host_state::dead)
    {
        out.lifetime = dead_member_retention;
    }
    return out;
}

auto to_member(record const& it) -> std::optional<member>
{
    auto const parts = split(it.payload);
    constexpr auto last = static_cast<std::uint64_t>(host_state::dead);
    if (it.key.topic != topic::member || it.key.name.empty() ||
        it.version.sequence > last || parts.size() < 2)
    {
        return std::nullopt;
    }
    auto const address = net::parse_endpoint(parts[0]);
    if (!address)
    {
        return std::nullopt;
    }
    return member{host_id{it.key.name}, *address,
                  domain_id{std::string{parts[1]}},
                  incarnation{it.version.epoch},
                  static_cast<host_state>(it.version.sequence)};
}

} // namespace primrosedeal::membership
