#include "order/order_coordinator.hpp"

#include <algorithm>

// Until a byte may have been sent, the order may be dispatched to another
// target or end as `not_run`. Once `permit_send` has returned true, only
// `not_connected` proves that nothing was sent; any other result is final.

namespace primrosedeal::order
{

auto order_coordinator::permit_send(idempotency_key const& key,
                                    attempt_id attempt, time_point now,
                                    actions& then) -> bool
{
    now_ = now;
    out_.clear();
    then.clear();
    auto const it = pending_.find(key);
    if (it == pending_.end())
    {
        return false;
    }
    auto* const phase = std::get_if<dispatching>(&it->second.phase);
    if (phase == nullptr || phase->attempt != attempt || phase->permitted)
    {
        return false;
    }
    if (now >= it->second.send_before)
    {
        finish_unsent(it, reason::deadline_expired);
        then = std::exchange(out_, {});
        return false;
    }
    phase->permitted = true;
    return true;
}

void order_coordinator::send_dispatch(pending_map::iterator it)
{
    auto const& phase = std::get<dispatching>(it->second.phase);
    out_.emplace_back(dispatch{it->first, phase.attempt, it->second.call,
                               phase.tried, it->second.send_before});
}

void order_coordinator::on(dispatch_completed const& it)
{
    auto const found = pending_.find(it.key);
    if (found == pending_.end())
    {
        return;
    }
    auto const* const phase = std::get_if<dispatching>(&found->second.phase);
    if (phase != nullptr && phase->attempt == it.attempt)
    {
        on_dispatch_result(found, it.outcome);
    }
}

void order_coordinator::on_dispatch_result(pending_map::iterator it,
                                           dispatch_result const& reported)
{
    if (auto const* const failed = std::get_if<not_connected>(&reported))
    {
        try_another_target(it, failed->target);
        return;
    }
    auto const sent = std::get<dispatching>(it->second.phase).permitted;
    if (std::holds_alternative<no_target>(reported) && !sent)
    {
        finish_unsent(it, reason::no_target);
        return;
    }
    auto result = reply{};
    if (auto const* const answered = std::get_if<target_response>(&reported))
    {
        result.ran = verdict::ran;
        result.status = answered->status;
        result.body = answered->body;
    }
    else
    {
        result.code = reason::target_failed;
    }
    finish(it, result);
}

void order_coordinator::try_another_target(pending_map::iterator it,
                                           target_id const& failed)
{
    auto& phase = std::get<dispatching>(it->second.phase);
    if (now_ >= it->second.send_before)
    {
        finish_unsent(it, reason::deadline_expired);
        return;
    }
    phase.tried.push_back(failed);
    if (phase.tried.size() >= limits_.max_attempts)
    {
        finish_unsent(it, reason::target_failed);
        return;
    }
    phase.attempt = attempt_id{phase.attempt.value() + 1};
    phase.permitted = false;
    send_dispatch(it);
}

void order_coordinator::finish_unsent(pending_map::iterator it, reason why)
{
    auto const* const phase = std::get_if<dispatching>(&it->second.phase);
    if (phase == nullptr)
    {
        abandon_claim(it, why);
        return;
    }
    if (phase->nonce)
    {
        // Tells other processes that read the claim that it was not dispatched.
        abandon(it->first, {*phase->nonce, true, false});
    }
    auto refusal = reply{};
    refusal.ran = verdict::not_run;
    refusal.code = why;
    finish(it, refusal);
}

void order_coordinator::finish(pending_map::iterator it, reply const& content)
{
    auto const requests = it->second.requests;
    outcomes_.insert(it->first, {it->second.fingerprint, content});
    erase(it);
    for (auto const request : requests)
    {
        finish_request(request, content);
    }
}

void order_coordinator::erase(pending_map::iterator it)
{
    pending_bytes_ -= it->second.call->body.size();
    pending_.erase(it);
}

} // namespace primrosedeal::order
