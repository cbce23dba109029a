#pragma once

#include "order/order_key.hpp"

#include <map>
#include <optional>

/// The tickets of one process that were given out and not yet used.
///
/// Only a ticket that is still in here may be dispatched, and taking it
/// removes it. So whatever else is forgotten, no ticket is dispatched twice,
/// and a ticket that dropped out by age is never dispatched at all.
namespace primrosedeal::order
{

struct ticket_limits
{
    duration lifetime = 60s;
    std::size_t max_unused = 50'000;
};

enum class ticket_state
{
    fresh,
    expired,
    /// Used before, or dropped out by age.
    used,
    /// Never given out to this organisation by this process.
    not_genuine,
};

class ticket_ledger
{
public:
    ticket_ledger(process_id self, ticket_secret secret, ticket_limits limits)
        : self_(std::move(self)), secret_(secret), limits_(limits)
    {
    }

    /// A new ticket; empty if too many are unused (try again after a moment).
    auto give(organisation_id const& to, time_point now, wall_time wall_now)
        -> std::optional<std::string>;

    /// Uses up a ticket that names this process. `expires` is set when the
    /// result is `fresh`.
    auto take(call_key const& key, ticket const& parsed, time_point now,
              time_point& expires) -> ticket_state;

    [[nodiscard]] auto unused() const -> std::size_t
    {
        return unused_.size();
    }

private:
    void forget_expired(time_point now);

    process_id self_;
    ticket_secret secret_;
    ticket_limits limits_;
    std::uint64_t next_serial_ = 1;
    std::map<ticket_serial, time_point> unused_;
};

} // namespace primrosedeal::order
