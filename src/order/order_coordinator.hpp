#pragma once

#include "core/random.hpp"
#include "order/call_rate_limiter.hpp"
#include "order/key_bloom_filter.hpp"
#include "order/order_messages.hpp"
#include "order/outcome_cache.hpp"
#include "order/ticket_issuer.hpp"

#include <map>
#include <set>

/// Decides whether an order may be dispatched and what its callers are told.
///
/// Promises: a key is dispatched at most once by all processes together, and
/// `not_run` is told only when no target got the call of that request and no
/// target ever will. docs/design/orders.md says why, and what remains.
///
/// How a task uses it:
/// - It numbers each caller's request (`ask_id`), feeds events to `on_event`
///   with the present time and carries out the actions in their order.
/// - Every `write_claim`, `read_claim`, `mark_abandoned` and `dispatch` is
///   answered later by exactly one of its events, also on failure. Late,
///   repeated or foreign events are ignored.
/// - `dispatch`: choose a target, call `permit_send` directly before the
///   bytes are handed to the socket, and send only if it returns true. Tell
///   the outcome by `dispatch_outcome`: `not_connected` only if not a byte
///   left (`http_call::may_have_sent` is false). The task sets the timeout of
///   the target's answer and reports `broken` when it passes.
/// - `forward`: send the order to the named process on the peer link; that
///   one feeds `asked` with `forwarded` set. A process with another host id
///   or incarnation must refuse it, which is `forward_lost` here.
/// - Each `ask_id` gets exactly one `answer`, unless `asker_gone` came first.
/// - Call `on_event(timer_due{})` at `next_timer()`.
///
/// Not thread-safe; one book for each process, on one loop.
namespace primrosedeal::order
{

struct book_limits
{
    std::size_t max_pending = 4'000;
    std::size_t max_pending_bytes = std::size_t{64} << 20U;
    /// Callers that wait, over all keys.
    std::size_t max_asks = 16'000;
    /// Claims whose end this process does not know, or has yet to mark.
    std::size_t max_unresolved = 4'000;
    /// Calls to the key-value service, of every kind.
    budget_limits platform_calls;
    /// Calls to the key-value service for one claim.
    std::uint32_t max_claim_calls = 4;
    /// Targets tried for one order while not a byte has left.
    std::uint32_t max_attempts = 3;
    duration mark_retry = 1s;
    ticket_limits tickets;
    outcome_limits outcomes;
};

class order_book
{
public:
    /// `random` gives the claims' nonces; seed it differently in each process.
    order_book(process_id self, ticket_secret secret, book_limits limits,
               random_source random);

    /// A ticket for a later order; empty if too many are unused.
    auto give_ticket(organisation_id const& to, time_point now,
                     wall_time wall_now) -> std::optional<std::string>
    {
        return tickets_.give(to, now, wall_now);
    }

    auto on_event(event const& it, time_point now) -> actions;

    /// Whether `attempt` of the order may be sent at this moment; true at
    /// most once for each attempt. Carry out `then` in either case.
    auto permit_send(call_key const& key, attempt_id attempt, time_point now,
                     actions& then) -> bool;

    /// When to feed `timer_due`; empty if there is nothing to wait for.
    [[nodiscard]] auto next_timer() const -> std::optional<time_point>;

    /// Orders between the first ask and their outcome.
    [[nodiscard]] auto pending() const -> std::size_t
    {
        return pending_.size();
    }

    /// Claims that are still to be marked abandoned.
    [[nodiscard]] auto unresolved() const -> std::size_t
    {
        return unresolved_.size();
    }

    [[nodiscard]] auto remembered() const -> outcome_memory const&
    {
        return outcomes_;
    }

private:
    /// The claim of a chosen key is being written or read.
    struct claiming
    {
        claim_nonce nonce;
        std::uint32_t calls = 0;
    };

    /// This process alone may dispatch the key.
    struct dispatching
    {
        std::optional<claim_nonce> nonce;
        attempt_id attempt{1};
        std::vector<target_id> tried;
        bool permitted = false;
    };

    struct pending_order
    {
        std::shared_ptr<plain_call const> call;
        std::uint64_t fingerprint = 0;
        time_point send_before;
        std::vector<ask_id> asks;
        std::variant<claiming, dispatching> phase;
        /// This process may have run the key before and forgotten it.
        bool run_before = false;
    };
    using pending_map = std::map<call_key, pending_order>;

    struct open_ask
    {
        call_key key;
        time_point deadline;
        bool repeat = false;
        bool forwarded = false;
        bool handed_over = false;
    };

    /// A claim that this process has given up without dispatching it.
    struct given_up_claim
    {
        claim_nonce nonce;
        /// The key was surely ours, so no other process has run it.
        bool owned = false;
        bool run_before = false;
    };

    void on(asked const& it);
    void on(asker_gone const& it);
    void on(claim_answered const& it);
    void on(claim_lost const& it);
    void on(claim_read_back const& it);
    void on(claim_unread const& it);
    void on(abandon_answered const& it);
    void on(abandon_lost const& it);
    void on(dispatch_outcome const& it);
    void on(forward_answered const& it);
    void on(forward_lost const& it);
    void on(timer_due const& it);
    void on(platform_up const& it);
    void on(platform_down const& it);

    // Asking (order_coordinator.cpp).
    auto answer_from_memory(asked const& it) -> bool;
    void join(asked const& it, pending_order& order);
    void ask_by_ticket(asked const& it);
    void ask_by_chosen_key(asked const& it);
    auto has_room(asked const& it) const -> bool;
    auto open(asked const& it, time_point send_before,
              std::variant<claiming, dispatching> phase)
        -> pending_map::iterator;
    void hand_over(ask_id ask, open_ask& who,
                   std::shared_ptr<plain_call const> call, process_id owner);
    void add_ask(asked const& it, bool handed_over);
    void end_ask(ask_id ask, reply const& what);
    void refuse(ask_id ask, reason why, verdict ran,
                std::optional<duration> retry_after = std::nullopt);
    void on_deadline(ask_id ask);

    // Claims (order_claims.cpp).
    auto find_claiming(call_key const& key, claim_nonce nonce)
        -> pending_map::iterator;
    void send_claim(pending_map::iterator it);
    void read_or_give_up(pending_map::iterator it);
    void on_claim_found(pending_map::iterator it, claim_record const& found);
    void on_claim_taken(pending_map::iterator it, process_id const& owner);
    void give_up_claim(pending_map::iterator it, reason why);
    void give_up(call_key const& key, given_up_claim claim);
    void mark_when_due();

    // Dispatch (order_dispatch.cpp).
    void send_dispatch(pending_map::iterator it);
    void on_outcome(pending_map::iterator it, outcome_of_dispatch const& what);
    void try_another(pending_map::iterator it, target_id const& failed);
    void close_unsent(pending_map::iterator it, reason why);
    void finish(pending_map::iterator it, reply const& what);
    void erase(pending_map::iterator it);

    process_id self_;
    book_limits limits_;
    random_source random_;
    ticket_ledger tickets_;
    outcome_memory outcomes_;
    call_budget budget_;
    /// Chosen keys that this process ever began to claim.
    key_filter claimed_before_;
    bool platform_up_ = true;
    pending_map pending_;
    std::size_t pending_bytes_ = 0;
    std::map<ask_id, open_ask> asks_;
    std::set<std::pair<time_point, ask_id>> deadlines_;
    std::map<call_key, given_up_claim> unresolved_;
    /// Keys of `unresolved_` with no mark under way, by their next try.
    std::set<std::pair<time_point, call_key>> marks_;
    time_point now_;
    actions out_;
};

} // namespace primrosedeal::order
