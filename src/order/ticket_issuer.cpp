#include "order/ticket_issuer.hpp"

// Serials increase and all tickets have the same lifetime, so entries expire in
// the order of the map and each removal takes constant time.

namespace primrosedeal::order
{

void ticket_issuer::remove_expired(time_point now)
{
    while (!unused_.empty() && unused_.begin()->second <= now)
    {
        unused_.erase(unused_.begin());
    }
}

auto ticket_issuer::issue(organisation_id const& to, time_point now,
                          wall_time wall_now) -> std::optional<std::string>
{
    remove_expired(now);
    if (unused_.size() >= limits_.max_unused)
    {
        return std::nullopt;
    }
    auto const serial = ticket_serial{next_serial_++};
    unused_.emplace(serial, now + limits_.lifetime);
    auto const lifetime =
        std::chrono::duration_cast<std::chrono::seconds>(limits_.lifetime);
    return format_ticket(ticket{self_, serial, wall_now + lifetime}, to,
                         secret_);
}

auto ticket_issuer::redeem(idempotency_key const& key, ticket const& parsed,
                           time_point now, time_point& expires) -> redeem_result
{
    if (!is_authentic(key, parsed, secret_))
    {
        return redeem_result::not_authentic;
    }
    auto const it = unused_.find(parsed.serial);
    if (it == unused_.end())
    {
        return redeem_result::used;
    }
    expires = it->second;
    unused_.erase(it);
    return expires <= now ? redeem_result::expired : redeem_result::valid;
}

} // namespace primrosedeal::order
