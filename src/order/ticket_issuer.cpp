#include "order/ticket_issuer.hpp"

// Serials grow with time and all tickets live equally long, so the first
// entries are the first to expire and forgetting costs one step an entry.

namespace primrosedeal::order
{

void ticket_ledger::forget_expired(time_point now)
{
    while (!unused_.empty() && unused_.begin()->second <= now)
    {
        unused_.erase(unused_.begin());
    }
}

auto ticket_ledger::give(organisation_id const& to, time_point now,
                         wall_time wall_now) -> std::optional<std::string>
{
    forget_expired(now);
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

auto ticket_ledger::take(call_key const& key, ticket const& parsed,
                         time_point now, time_point& expires) -> ticket_state
{
    if (!is_genuine(key, parsed, secret_))
    {
        return ticket_state::not_genuine;
    }
    auto const it = unused_.find(parsed.serial);
    if (it == unused_.end())
    {
        return ticket_state::used;
    }
    expires = it->second;
    unused_.erase(it);
    return expires <= now ? ticket_state::expired : ticket_state::fresh;
}

} // namespace primrosedeal::order
