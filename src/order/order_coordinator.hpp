#pragma once

#include "core/random.hpp"
#include "order/call_rate_limiter.hpp"
#include "order/key_bloom_filter.hpp"
#include "order/order_messages.hpp"
#include "order/outcome_cache.hpp"
#include "order/ticket_issuer.hpp"

#include <map>
#include <set>

/// Decides whether an order may be dispatched and which reply its callers get.
///
/// Guarantees: all processes together dispatch a key at most once, and a
/// request is answered with `not_run` only if no target has received its call
/// and none ever will. docs/design/orders.md gives the argument and its limits.
///
/// Usage:
/// - The caller of this class numbers each request (`order_request_id`), passes
///   events with the current time to `on_event` and performs the returned
///   actions in order.
/// - Every `write_claim`, `read_claim`, `mark_abandoned` and `dispatch` is
///   followed later by exactly one of its events, also on failure. Late,
///   duplicate and unknown events are ignored.
/// - `dispatch`: choose a target, call `permit_send` directly before the bytes
///   are passed to the socket, and send only if it returns true. Report the
///   result by `dispatch_completed`, as `not_connected` only if no byte was
///   sent (`http_call::may_have_sent` is false). The caller of this class sets
///   the timeout for the target's response and reports `call_interrupted` when
///   it expires.
/// - `forward`: send the order to the named process on the peer link. That
///   process passes `order_requested` with `forwarded` set. A process with
///   another host id or incarnation must refuse it, which is reported here as
///   `forward_failed`.
/// - Each `order_request_id` gets exactly one `send_reply`, unless
///   `caller_disconnected` came first.
/// - Call `on_event(timer_due{})` at `next_timer()`.
///
/// Not thread-safe: one instance for each process, used on one event loop.
namespace primrosedeal::order
{

struct order_limits
{
    std::size_t max_pending = 4'000;
    std::size_t max_pending_bytes = std::size_t{64} << 20U;
    /// Requests that wait for a reply, over all keys.
    std::size_t max_waiting_requests = 16'000;
    /// Bounds pending orders and claims still to be marked abandoned, together:
    /// no claim starts above it.
    std::size_t max_unresolved_claims = 4'000;
    /// Rate of all calls to the key-value service.
    call_rate_limits platform_call_limits;
    /// Calls to the key-value service for one claim, reads included.
    std::uint32_t max_claim_calls = 4;
    /// Targets tried for one order while none has been sent a byte.
    std::uint32_t max_attempts = 3;
    duration abandon_retry_interval = 1s;
    ticket_limits tickets;
    outcome_limits outcomes;
};

class order_coordinator
{
public:
    /// `random` generates the nonces of claims: seed it differently in each
    /// process.
    order_coordinator(process_id self, ticket_secret secret,
                      order_limits limits, random_source random);

    /// Issues a ticket for a later order; empty if too many are unused.
    auto issue_ticket(organisation_id const& to, time_point now,
                      wall_time wall_now) -> std::optional<std::string>
    {
        return tickets_.issue(to, now, wall_now);
    }

    auto on_event(event const& it, time_point now) -> actions;

    /// Whether `attempt` of the order may be sent now; true at most once for
    /// each attempt. Perform the actions in `then` in either case.
    auto permit_send(idempotency_key const& key, attempt_id attempt,
                     time_point now, actions& then) -> bool;

    /// When to pass `timer_due`; empty if no timer is needed.
    [[nodiscard]] auto next_timer() const -> std::optional<time_point>;

    /// Orders that were requested and have no outcome yet.
    [[nodiscard]] auto pending() const -> std::size_t
    {
        return pending_.size();
    }

    /// Claims that are still to be marked abandoned.
    [[nodiscard]] auto unresolved() const -> std::size_t
    {
        return unresolved_.size();
    }

    [[nodiscard]] auto cached_outcomes() const -> outcome_cache const&
    {
        return outcomes_;
    }

private:
    /// The claim of a caller-chosen key is being written or read back.
    struct claiming
    {
        claim_nonce nonce;
        std::uint32_t calls = 0;
    };

    /// This process owns the key: no other process may dispatch it.
    struct dispatching
    {
        std::optional<claim_nonce> nonce;
        attempt_id attempt{1};
        std::vector<target_id> tried;
        bool permitted = false;
    };

    struct pending_order
    {
        std::shared_ptr<target_call const> call;
        std::uint64_t fingerprint = 0;
        time_point send_before;
        std::vector<order_request_id> requests;
        std::variant<claiming, dispatching> phase;
        /// This process may have run the key and evicted its outcome.
        bool may_have_run_before = false;
    };
    using pending_map = std::map<idempotency_key, pending_order>;

    struct waiting_request
    {
        idempotency_key key;
        time_point deadline;
        bool repeat = false;
        bool forwarded = false;
        bool forwarded_to_owner = false;
    };

    /// A claim that this process abandoned without dispatching the key.
    struct abandoned_claim
    {
        claim_nonce nonce;
        /// This process owned the key for certain, so no other has run it.
        bool owned = false;
        bool may_have_run_before = false;
    };

    void on(order_requested const& it);
    void on(caller_disconnected const& it);
    void on(claim_write_completed const& it);
    void on(claim_write_failed const& it);
    void on(claim_read_completed const& it);
    void on(claim_read_failed const& it);
    void on(abandon_completed const& it);
    void on(abandon_failed const& it);
    void on(dispatch_completed const& it);
    void on(forward_completed const& it);
    void on(forward_failed const& it);
    void on(timer_due const& it);
    void on(platform_up const& it);
    void on(platform_down const& it);

    // Requests (order_coordinator.cpp).
    auto reply_from_cache(order_requested const& it) -> bool;
    void join_pending(order_requested const& it, pending_order& order);
    void start_ticket_order(order_requested const& it);
    void start_chosen_key_order(order_requested const& it);
    auto has_capacity(order_requested const& it) const -> bool;
    auto add_pending(order_requested const& it, time_point send_before,
                     std::variant<claiming, dispatching> phase)
        -> pending_map::iterator;
    void forward_to_owner(order_request_id request, waiting_request& waiting,
                          std::shared_ptr<target_call const> call,
                          process_id owner);
    void add_waiting(order_requested const& it, bool forwarded_to_owner);
    void finish_request(order_request_id request, reply const& content);
    void refuse(order_request_id request, reason why, verdict ran,
                std::optional<duration> retry_after = std::nullopt);
    void on_deadline(order_request_id request);

    // Claims (order_claims.cpp).
    auto find_claiming(idempotency_key const& key, claim_nonce nonce)
        -> pending_map::iterator;
    void send_claim(pending_map::iterator it);
    void read_or_abandon_claim(pending_map::iterator it);
    void on_claim_found(pending_map::iterator it, claim_record const& found);
    void on_claim_taken(pending_map::iterator it, process_id const& owner);
    void abandon_claim(pending_map::iterator it, reason why);
    void abandon(idempotency_key const& key, abandoned_claim claim);
    void send_due_marks();

    // Dispatch (order_dispatch.cpp).
    void send_dispatch(pending_map::iterator it);
    void on_dispatch_result(pending_map::iterator it,
                            dispatch_result const& reported);
    void try_another_target(pending_map::iterator it, target_id const& failed);
    void finish_unsent(pending_map::iterator it, reason why);
    void finish(pending_map::iterator it, reply const& content);
    void erase(pending_map::iterator it);

    process_id self_;
    order_limits limits_;
    random_source random_;
    ticket_issuer tickets_;
    outcome_cache outcomes_;
    call_rate_limiter rate_limiter_;
    /// Caller-chosen keys that this process has ever tried to claim.
    key_bloom_filter claimed_before_;
    bool platform_up_ = true;
    pending_map pending_;
    std::size_t pending_bytes_ = 0;
    std::map<order_request_id, waiting_request> waiting_;
    std::set<std::pair<time_point, order_request_id>> deadlines_;
    std::map<idempotency_key, abandoned_claim> unresolved_;
    /// Keys of `unresolved_` without a `mark_abandoned` in flight, by the time
    /// of their next attempt.
    std::set<std::pair<time_point, idempotency_key>> marks_due_;
    time_point now_;
    actions out_;
};

} // namespace primrosedeal::order
