#pragma once

#include "order/order_key.hpp"

#include <map>
#include <optional>

/// Issues the tickets of one process and redeems each of them at most once.
///
/// Only a ticket in the set of unused tickets may be dispatched, and `redeem`
/// removes it from the set. So no ticket is dispatched twice, whichever
/// outcomes are evicted from the cache, and an expired ticket is never
/// dispatched.
namespace primrosedeal::order
{

struct ticket_limits
{
    duration lifetime = 60s;
    std::size_t max_unused = 50'000;
};

enum class redeem_result
{
    valid,
    expired,
    /// Redeemed before, or removed after it expired.
    used,
    /// Not issued to this organisation by this process.
    not_authentic,
};

class ticket_issuer
{
public:
    ticket_issuer(process_id self, ticket_secret secret, ticket_limits limits)
        : self_(std::move(self)), secret_(secret), limits_(limits)
    {
    }

    /// Issues a ticket; empty if too many are unused, until some are redeemed
    /// or expire.
    auto issue(organisation_id const& to, time_point now, wall_time wall_now)
        -> std::optional<std::string>;

    /// Redeems a ticket that names this process. `expires` is set when the
    /// result is `valid`.
    auto redeem(idempotency_key const& key, ticket const& parsed,
                time_point now, time_point& expires) -> redeem_result;

    [[nodiscard]] auto unused() const -> std::size_t
    {
        return unused_.size();
    }

private:
    void remove_expired(time_point now);

    process_id self_;
    ticket_secret secret_;
    ticket_limits limits_;
    std::uint64_t next_serial_ = 1;
    std::map<ticket_serial, time_point> unused_;
};

} // namespace primrosedeal::order
