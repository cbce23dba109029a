#include "membership/record.hpp"

#include <vector>

// A member's payload is `IP:PORT DOMAIN`: text, so that operators can read a
// dump of it. Fields that a later release appends after a space are skipped.
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

/// Dead hosts are remembered this long, to be tried again now and then.
constexpr auto death_lifetime = std::chrono::hours{1};

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
        out.lifetime = death_lifetime;
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
