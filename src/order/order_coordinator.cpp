#include "order/order_coordinator.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

// The states of a key are unknown, pending and finished (in `outcomes_` until
// evicted), in this order. A key never returns to pending: a ticket is removed
// from the unused tickets when it is redeemed, and a caller-chosen key has its
// record in the key-value service. A claim that was abandoned and is not yet
// known to be marked so is in `unresolved_`. Entries are never evicted from it:
// when it is full, no claim starts.
//
// `now_` and `out_` hold the time and the actions of the current event, so that
// they need not be passed to every function.

namespace primrosedeal::order
{
namespace
{

constexpr auto default_retry_after = duration{1s};

auto fingerprint_of(target_call const& it) -> std::uint64_t
{
    auto sum = XXH64(it.service.value().data(), it.service.value().size(), 0);
    sum = XXH64(it.path.data(), it.path.size(), sum);
    return XXH64(it.body.data(), it.body.size(), sum);
}

/// The verdict for a request that was not run. If it repeats an earlier request
/// of the caller, another process may have run the key for that one.
auto verdict_if_not_run_here(bool repeat) -> verdict
{
    return repeat ? verdict::may_have_run : verdict::not_run;
}

} // namespace

order_coordinator::order_coordinator(process_id self, ticket_secret secret,
                                     order_limits limits, random_source random)
    : self_(std::move(self)), limits_(limits), random_(random),
      tickets_(self_, secret, limits.tickets), outcomes_(limits.outcomes),
      rate_limiter_(limits.platform_call_limits)
{
}

auto order_coordinator::on_event(event const& it, time_point now) -> actions
{
    now_ = now;
    out_.clear();
    std::visit([this](auto const& each) { on(each); }, it);
    send_due_marks();
    return std::exchange(out_, {});
}

void order_coordinator::on(order_requested const& it)
{
    if (reply_from_cache(it))
    {
        return;
    }
    if (auto const found = pending_.find(it.key); found != pending_.end())
    {
        join_pending(it, found->second);
    }
    else if (has_ticket_prefix(it.key.text))
    {
        start_ticket_order(it);
    }
    else
    {
        start_chosen_key_order(it);
    }
}

auto order_coordinator::reply_from_cache(order_requested const& it) -> bool
{
    if (auto const* const cached = outcomes_.find(it.key))
    {
        if (cached->fingerprint != fingerprint_of(*it.call))
        {
            refuse(it.request_id, reason::malformed_request,
                   verdict::may_have_run);
        }
        else
        {
            out_.emplace_back(send_reply{it.request_id, cached->content});
        }
        return true;
    }
    auto const found = unresolved_.find(it.key);
    if (found == unresolved_.end())
    {
        return false;
    }
    auto const& claim = found->second;
    auto const ran =
        claim.owned
            ? verdict::not_run
            : verdict_if_not_run_here(it.repeat || claim.may_have_run_before);

    refuse(it.request_id, reason::claim_unresolved, ran, default_retry_after);
    return true;
}

void order_coordinator::join_pending(order_requested const& it,
                                     pending_order& order)
{
    if (order.fingerprint != fingerprint_of(*it.call))
    {
        refuse(it.request_id, reason::malformed_request, verdict::may_have_run);
        return;
    }
    if (waiting_.size() >= limits_.max_waiting_requests)
    {
        refuse(it.request_id, reason::overloaded, verdict::may_have_run,
               default_retry_after);
        return;
    }

    order.requests.push_back(it.request_id);
    add_waiting(it, false);
    waiting_.at(it.request_id).repeat |= order.may_have_run_before;
}

void order_coordinator::start_ticket_order(order_requested const& it)
{
    auto const parsed = parse_ticket(it.key.text);
    if (!parsed)
    {
        refuse(it.request_id, reason::malformed_request, verdict::not_run);
        return;
    }
    if (parsed->owner != self_)
    {
        auto const reachable =
            !it.forwarded && parsed->owner.host != self_.host;
        if (!reachable)
        {
            refuse(it.request_id, reason::ticket_unknown,
                   verdict::may_have_run);
            return;
        }
        if (waiting_.size() >= limits_.max_waiting_requests)
        {
            refuse(it.request_id, reason::overloaded, verdict::may_have_run,
                   default_retry_after);
            return;
        }
        add_waiting(it, true);
        forward_to_owner(it.request_id, waiting_.at(it.request_id), it.call,
                         parsed->owner);
        return;
    }
    auto expires = time_point{};
    switch (tickets_.redeem(it.key, *parsed, now_, expires))
    {
    case redeem_result::not_authentic:
        refuse(it.request_id, reason::ticket_unknown, verdict::not_run);
        return;
    case redeem_result::expired:
        refuse(it.request_id, reason::ticket_expired, verdict::may_have_run);
        return;
    case redeem_result::used:
        refuse(it.request_id, reason::outcome_unknown, verdict::may_have_run);
        return;
    case redeem_result::valid:
        break;
    }
    // The ticket is redeemed now and cannot be redeemed again.
    auto const send_before = std::min(it.deadline, expires);
    if (!has_capacity(it) || now_ >= send_before)
    {
        auto const late = now_ >= send_before;
        auto refusal = reply{};
        refusal.ran = verdict::not_run;
        refusal.code = late ? reason::deadline_expired : reason::overloaded;
        refusal.retry_after =
            late ? std::nullopt : std::optional{default_retry_after};
        outcomes_.insert(it.key, {fingerprint_of(*it.call), refusal});
        out_.emplace_back(send_reply{it.request_id, refusal});
        return;
    }
    send_dispatch(add_pending(it, send_before, dispatching{}));
}

void order_coordinator::start_chosen_key_order(order_requested const& it)
{
    if (!is_valid_chosen_key(it.key.text))
    {
        refuse(it.request_id, reason::malformed_request, verdict::not_run);
        return;
    }
    if (it.forwarded)
    {
        refuse(it.request_id, reason::outcome_unknown, verdict::may_have_run);
        return;
    }
    // Callers do not always mark a repeat, so own earlier claims count too.
    auto const may_have_run_before = claimed_before_.may_contain(it.key);
    auto const ran = verdict_if_not_run_here(it.repeat || may_have_run_before);

    if (now_ >= it.deadline)
    {
        refuse(it.request_id, reason::deadline_expired, ran);
        return;
    }
    if (!platform_up_ ||
        unresolved_.size() + pending_.size() >= limits_.max_unresolved_claims)
    {
        refuse(it.request_id, reason::platform_unavailable, ran,
               default_retry_after);
        return;
    }
    if (!has_capacity(it))
    {
        refuse(it.request_id, reason::overloaded, ran, default_retry_after);
        return;
    }
    if (!rate_limiter_.try_acquire(now_))
    {
        refuse(it.request_id, reason::overloaded, ran,
               rate_limiter_.time_to_next_call());
        return;
    }
    auto const claim =
        add_pending(it, it.deadline, claiming{claim_nonce{random_()}});
    claim->second.may_have_run_before = may_have_run_before;
    waiting_.at(it.request_id).repeat |= may_have_run_before;

    claimed_before_.add(it.key);
    send_claim(claim);
}

auto order_coordinator::has_capacity(order_requested const& it) const -> bool
{
    return pending_.size() < limits_.max_pending &&
           waiting_.size() < limits_.max_waiting_requests &&
           pending_bytes_ + it.call->body.size() <= limits_.max_pending_bytes;
}

auto order_coordinator::add_pending(order_requested const& it,
                                    time_point send_before,
                                    std::variant<claiming, dispatching> phase)
    -> pending_map::iterator
{
    auto order = pending_order{it.call,
                               fingerprint_of(*it.call),
                               send_before,
                               {it.request_id},
                               std::move(phase)};
    pending_bytes_ += it.call->body.size();
    add_waiting(it, false);
    return pending_.emplace(it.key, std::move(order)).first;
}

void order_coordinator::forward_to_owner(
    order_request_id request, waiting_request& waiting,
    std::shared_ptr<target_call const> call, process_id owner)
{
    waiting.forwarded_to_owner = true;
    out_.emplace_back(forward{request, waiting.key, std::move(call),
                              std::move(owner), waiting.deadline,
                              waiting.repeat});
}

void order_coordinator::add_waiting(order_requested const& it,
                                    bool forwarded_to_owner)
{
    waiting_[it.request_id] = waiting_request{it.key, it.deadline, it.repeat,
                                              it.forwarded, forwarded_to_owner};
    deadlines_.emplace(it.deadline, it.request_id);
}

void order_coordinator::finish_request(order_request_id request,
                                       reply const& content)
{
    auto const it = waiting_.find(request);
    if (it == waiting_.end())
    {
        return;
    }
    deadlines_.erase({it->second.deadline, request});
    waiting_.erase(it);
    out_.emplace_back(send_reply{request, content});
}

void order_coordinator::refuse(order_request_id request, reason why,
                               verdict ran, std::optional<duration> retry_after)
{
    auto refusal = reply{};
    refusal.ran = ran;
    refusal.code = why;
    refusal.retry_after = retry_after;
    out_.emplace_back(send_reply{request, std::move(refusal)});
}

void order_coordinator::on(caller_disconnected const& it)
{
    auto const found = waiting_.find(it.request_id);
    if (found == waiting_.end())
    {
        return;
    }
    if (auto const order = pending_.find(found->second.key);
        order != pending_.end())
    {
        std::erase(order->second.requests, it.request_id);
    }
    deadlines_.erase({found->second.deadline, it.request_id});
    waiting_.erase(found);
}

void order_coordinator::on(forward_completed const& it)
{
    auto const found = waiting_.find(it.request_id);
    if (found != waiting_.end() && found->second.forwarded_to_owner)
    {
        finish_request(it.request_id, it.owner_reply);
    }
}

void order_coordinator::on(forward_failed const& it)
{
    auto const found = waiting_.find(it.request_id);
    if (found != waiting_.end() && found->second.forwarded_to_owner)
    {
        auto refusal = reply{};
        refusal.code = has_ticket_prefix(found->second.key.text)
                           ? reason::ticket_unknown
                           : reason::claim_taken;
        finish_request(it.request_id, refusal);
    }
}

void order_coordinator::on(timer_due const& /*it*/)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now_)
    {
        on_deadline(deadlines_.begin()->second);
    }
}

void order_coordinator::on_deadline(order_request_id request)
{
    auto const key = waiting_.at(request).key;
    auto const order = pending_.find(key);
    if (!waiting_.at(request).forwarded_to_owner && order != pending_.end())
    {
        auto const* const sending =
            std::get_if<dispatching>(&order->second.phase);
        auto const unsent = sending == nullptr || !sending->permitted;
        if (unsent && now_ >= order->second.send_before)
        {
            finish_unsent(order, reason::deadline_expired);
            return;
        }
        std::erase(order->second.requests, request);
    }
    auto refusal = reply{};
    refusal.code = reason::deadline_expired;
    finish_request(request, refusal);
}

void order_coordinator::on(platform_up const& /*it*/)
{
    platform_up_ = true;
}

void order_coordinator::on(platform_down const& /*it*/)
{
    platform_up_ = false;
}

auto order_coordinator::next_timer() const -> std::optional<time_point>
{
    auto first = std::optional<time_point>{};
    if (!deadlines_.empty())
    {
        first = deadlines_.begin()->first;
    }
    if (platform_up_ && !marks_due_.empty())
    {
        auto const mark = marks_due_.begin()->first;
        first = std::min(first.value_or(mark), mark);
    }
    return first;
}

} // namespace primrosedeal::order
