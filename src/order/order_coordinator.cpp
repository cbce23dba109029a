#include "order/order_coordinator.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

// A key moves one way only: unknown, pending, then finished (in `outcomes_`
// until forgotten). It never returns to pending: a ticket leaves the ledger
// when it is taken, and a chosen key has its record in the key-value service.
// While this process does not know the end of its own claim, the key is in
// `unresolved_`, which is never cut short: when it is full, no claim starts.
//
// `now_` and `out_` hold the time and the actions of the event at hand, so
// that the steps below need not pass them on.

namespace primrosedeal::order
{
namespace
{

constexpr auto retry_soon = duration{1s};

auto fingerprint_of(plain_call const& it) -> std::uint64_t
{
    auto sum = XXH64(it.service.value().data(), it.service.value().size(), 0);
    sum = XXH64(it.path.data(), it.path.size(), sum);
    return XXH64(it.body.data(), it.body.size(), sum);
}

/// The verdict where this request was not run, but another process may have
/// run the key for an earlier request of the caller.
auto unless_repeated(bool repeat) -> verdict
{
    return repeat ? verdict::may_have_run : verdict::not_run;
}

} // namespace

order_book::order_book(process_id self, ticket_secret secret,
                       book_limits limits, random_source random)
    : self_(std::move(self)), limits_(limits), random_(random),
      tickets_(self_, secret, limits.tickets), outcomes_(limits.outcomes),
      budget_(limits.platform_calls)
{
}

auto order_book::on_event(event const& it, time_point now) -> actions
{
    now_ = now;
    out_.clear();
    std::visit([this](auto const& what) { on(what); }, it);
    mark_when_due();
    return std::exchange(out_, {});
}

void order_book::on(asked const& it)
{
    if (answer_from_memory(it))
    {
        return;
    }
    if (auto const found = pending_.find(it.key); found != pending_.end())
    {
        join(it, found->second);
    }
    else if (looks_like_ticket(it.key.text))
    {
        ask_by_ticket(it);
    }
    else
    {
        ask_by_chosen_key(it);
    }
}

auto order_book::answer_from_memory(asked const& it) -> bool
{
    if (auto const* const kept = outcomes_.find(it.key))
    {
        if (kept->fingerprint != fingerprint_of(*it.call))
        {
            refuse(it.ask, reason::malformed_request, verdict::may_have_run);
        }
        else
        {
            out_.emplace_back(answer{it.ask, kept->what});
        }
        return true;
    }
    auto const found = unresolved_.find(it.key);
    if (found == unresolved_.end())
    {
        return false;
    }
    auto const& claim = found->second;
    auto const ran = claim.owned
                         ? verdict::not_run
                         : unless_repeated(it.repeat || claim.run_before);

    refuse(it.ask, reason::claim_unresolved, ran, retry_soon);
    return true;
}

void order_book::join(asked const& it, pending_order& order)
{
    if (order.fingerprint != fingerprint_of(*it.call))
    {
        refuse(it.ask, reason::malformed_request, verdict::may_have_run);
        return;
    }
    if (asks_.size() >= limits_.max_asks)
    {
        refuse(it.ask, reason::overloaded, verdict::may_have_run, retry_soon);
        return;
    }

    order.asks.push_back(it.ask);
    add_ask(it, false);
    asks_.at(it.ask).repeat |= order.run_before;
}

void order_book::ask_by_ticket(asked const& it)
{
    auto const parsed = parse_ticket(it.key.text);
    if (!parsed)
    {
        refuse(it.ask, reason::malformed_request, verdict::not_run);
        return;
    }
    if (parsed->owner != self_)
    {
        auto const reachable =
            !it.forwarded && parsed->owner.host != self_.host;
        if (!reachable)
        {
            refuse(it.ask, reason::ticket_unknown, verdict::may_have_run);
            return;
        }
        if (asks_.size() >= limits_.max_asks)
        {
            refuse(it.ask, reason::overloaded, verdict::may_have_run,
                   retry_soon);
            return;
        }
        add_ask(it, true);
        hand_over(it.ask, asks_.at(it.ask), it.call, parsed->owner);
        return;
    }
    auto expires = time_point{};
    switch (tickets_.take(it.key, *parsed, now_, expires))
    {
    case ticket_state::not_genuine:
        refuse(it.ask, reason::ticket_unknown, verdict::not_run);
        return;
    case ticket_state::expired:
        refuse(it.ask, reason::ticket_expired, verdict::may_have_run);
        return;
    case ticket_state::used:
        refuse(it.ask, reason::outcome_unknown, verdict::may_have_run);
        return;
    case ticket_state::fresh:
        break;
    }
    // The ticket is used up now: whatever follows, it is not taken again.
    auto const send_before = std::min(it.deadline, expires);
    if (!has_room(it) || now_ >= send_before)
    {
        auto const late = now_ >= send_before;
        auto what = reply{};
        what.ran = verdict::not_run;
        what.code = late ? reason::deadline_expired : reason::overloaded;
        what.retry_after = late ? std::nullopt : std::optional{retry_soon};
        outcomes_.keep(it.key, {fingerprint_of(*it.call), what});
        out_.emplace_back(answer{it.ask, what});
        return;
    }
    send_dispatch(open(it, send_before, dispatching{}));
}

void order_book::ask_by_chosen_key(asked const& it)
{
    if (!is_valid_chosen_key(it.key.text))
    {
        refuse(it.ask, reason::malformed_request, verdict::not_run);
        return;
    }
    if (it.forwarded)
    {
        refuse(it.ask, reason::outcome_unknown, verdict::may_have_run);
        return;
    }
    // Callers do not always say it, so this process's memory counts too.
    auto const run_before = claimed_before_.may_contain(it.key);
    auto const ran = unless_repeated(it.repeat || run_before);

    if (now_ >= it.deadline)
    {
        refuse(it.ask, reason::deadline_expired, ran);
        return;
    }
    if (!platform_up_ ||
        unresolved_.size() + pending_.size() >= limits_.max_unresolved)
    {
        refuse(it.ask, reason::platform_unavailable, ran, retry_soon);
        return;
    }
    if (!has_room(it))
    {
        refuse(it.ask, reason::overloaded, ran, retry_soon);
        return;
    }
    if (!budget_.take(now_))
    {
        refuse(it.ask, reason::overloaded, ran, budget_.wait());
        return;
    }
    auto const claim = open(it, it.deadline, claiming{claim_nonce{random_()}});
    claim->second.run_before = run_before;
    asks_.at(it.ask).repeat |= run_before;

    claimed_before_.add(it.key);
    send_claim(claim);
}

auto order_book::has_room(asked const& it) const -> bool
{
    return pending_.size() < limits_.max_pending &&
           asks_.size() < limits_.max_asks &&
           pending_bytes_ + it.call->body.size() <= limits_.max_pending_bytes;
}

auto order_book::open(asked const& it, time_point send_before,
                      std::variant<claiming, dispatching> phase)
    -> pending_map::iterator
{
    auto order = pending_order{it.call,
                               fingerprint_of(*it.call),
                               send_before,
                               {it.ask},
                               std::move(phase)};
    pending_bytes_ += it.call->body.size();
    add_ask(it, false);
    return pending_.emplace(it.key, std::move(order)).first;
}

void order_book::hand_over(ask_id ask, open_ask& who,
                           std::shared_ptr<plain_call const> call,
                           process_id owner)
{
    who.handed_over = true;
    out_.emplace_back(forward{ask, who.key, std::move(call), std::move(owner),
                              who.deadline, who.repeat});
}

void order_book::add_ask(asked const& it, bool handed_over)
{
    asks_[it.ask] =
        open_ask{it.key, it.deadline, it.repeat, it.forwarded, handed_over};
    deadlines_.emplace(it.deadline, it.ask);
}

void order_book::end_ask(ask_id ask, reply const& what)
{
    auto const it = asks_.find(ask);
    if (it == asks_.end())
    {
        return;
    }
    deadlines_.erase({it->second.deadline, ask});
    asks_.erase(it);
    out_.emplace_back(answer{ask, what});
}

void order_book::refuse(ask_id ask, reason why, verdict ran,
                        std::optional<duration> retry_after)
{
    auto what = reply{};
    what.ran = ran;
    what.code = why;
    what.retry_after = retry_after;
    out_.emplace_back(answer{ask, std::move(what)});
}

void order_book::on(asker_gone const& it)
{
    auto const found = asks_.find(it.ask);
    if (found == asks_.end())
    {
        return;
    }
    if (auto const order = pending_.find(found->second.key);
        order != pending_.end())
    {
        std::erase(order->second.asks, it.ask);
    }
    deadlines_.erase({found->second.deadline, it.ask});
    asks_.erase(found);
}

void order_book::on(forward_answered const& it)
{
    auto const found = asks_.find(it.ask);
    if (found != asks_.end() && found->second.handed_over)
    {
        end_ask(it.ask, it.from_owner);
    }
}

void order_book::on(forward_lost const& it)
{
    auto const found = asks_.find(it.ask);
    if (found != asks_.end() && found->second.handed_over)
    {
        auto what = reply{};
        what.code = looks_like_ticket(found->second.key.text)
                        ? reason::ticket_unknown
                        : reason::claim_taken;
        end_ask(it.ask, what);
    }
}

void order_book::on(timer_due const& /*it*/)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now_)
    {
        on_deadline(deadlines_.begin()->second);
    }
}

void order_book::on_deadline(ask_id ask)
{
    auto const key = asks_.at(ask).key;
    auto const order = pending_.find(key);
    if (!asks_.at(ask).handed_over && order != pending_.end())
    {
        auto const* const sending =
            std::get_if<dispatching>(&order->second.phase);
        auto const unsent = sending == nullptr || !sending->permitted;
        if (unsent && now_ >= order->second.send_before)
        {
            close_unsent(order, reason::deadline_expired);
            return;
        }
        std::erase(order->second.asks, ask);
    }
    auto what = reply{};
    what.code = reason::deadline_expired;
    end_ask(ask, what);
}

void order_book::on(platform_up const& /*it*/)
{
    platform_up_ = true;
}

void order_book::on(platform_down const& /*it*/)
{
    platform_up_ = false;
}

auto order_book::next_timer() const -> std::optional<time_point>
{
    auto first = std::optional<time_point>{};
    if (!deadlines_.empty())
    {
        first = deadlines_.begin()->first;
    }
    if (platform_up_ && !marks_.empty())
    {
        auto const mark = marks_.begin()->first;
        first = std::min(first.value_or(mark), mark);
    }
    return first;
}

} // namespace primrosedeal::order
