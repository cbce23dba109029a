#include "order/order_coordinator.hpp"

#include <algorithm>

// When the response to a claim's write is lost, the claim is read back. If the
// record is absent, the write may still be in flight, so the same record is
// written again: it is created at most once, whichever write arrives first. A
// key is dispatched only after the service returned its record with the claim's
// own nonce.
//
// An abandoned claim is marked by storing an abandoned record. If the key has
// no record yet, this one also blocks a late write of the claim.

namespace primrosedeal::order
{

auto order_coordinator::find_claiming(idempotency_key const& key,
                                      claim_nonce nonce)
    -> pending_map::iterator
{
    auto const it = pending_.find(key);
    if (it == pending_.end())
    {
        return it;
    }
    auto const* const phase = std::get_if<claiming>(&it->second.phase);
    return phase != nullptr && phase->nonce == nonce ? it : pending_.end();
}

void order_coordinator::send_claim(pending_map::iterator it)
{
    auto& phase = std::get<claiming>(it->second.phase);
    ++phase.calls;
    out_.emplace_back(
        write_claim{it->first, claim_record{self_, phase.nonce, false}});
}

void order_coordinator::on(claim_write_completed const& it)
{
    if (auto const found = find_claiming(it.key, it.nonce);
        found != pending_.end())
    {
        on_claim_found(found, it.found);
    }
}

void order_coordinator::on(claim_write_failed const& it)
{
    if (auto const found = find_claiming(it.key, it.nonce);
        found != pending_.end())
    {
        read_or_abandon_claim(found);
    }
}

void order_coordinator::on(claim_read_failed const& it)
{
    if (auto const found = find_claiming(it.key, it.nonce);
        found != pending_.end())
    {
        read_or_abandon_claim(found);
    }
}

void order_coordinator::on(claim_read_completed const& it)
{
    auto const found = find_claiming(it.key, it.nonce);
    if (found == pending_.end())
    {
        return;
    }
    if (it.found)
    {
        on_claim_found(found, *it.found);
        return;
    }
    auto const& phase = std::get<claiming>(found->second.phase);
    if (phase.calls >= limits_.max_claim_calls ||
        !rate_limiter_.try_acquire(now_))
    {
        abandon_claim(found, reason::claim_unresolved);
        return;
    }
    send_claim(found);
}

void order_coordinator::read_or_abandon_claim(pending_map::iterator it)
{
    auto& phase = std::get<claiming>(it->second.phase);
    if (phase.calls >= limits_.max_claim_calls ||
        !rate_limiter_.try_acquire(now_))
    {
        abandon_claim(it, reason::claim_unresolved);
        return;
    }
    ++phase.calls;
    out_.emplace_back(read_claim{it->first, phase.nonce});
}

void order_coordinator::on_claim_found(pending_map::iterator it,
                                       claim_record const& found)
{
    auto const nonce = std::get<claiming>(it->second.phase).nonce;
    if (found == claim_record{self_, nonce, false})
    {
        it->second.phase = dispatching{nonce, attempt_id{1}, {}, false};
        if (now_ >= it->second.send_before)
        {
            finish_unsent(it, reason::deadline_expired);
            return;
        }
        send_dispatch(it);
        return;
    }
    if (found.abandoned)
    {
        auto refusal = reply{};
        refusal.ran = verdict::not_run;
        refusal.code = reason::claim_unresolved;
        finish(it, refusal);
        return;
    }
    on_claim_taken(it, found.owner);
}

void order_coordinator::on_claim_taken(pending_map::iterator it,
                                       process_id const& owner)
{
    auto const requests = it->second.requests;
    auto const call = it->second.call;
    erase(it);
    auto const own = owner.host == self_.host;
    for (auto const request : requests)
    {
        auto& waiting = waiting_.at(request);
        if (!own && !waiting.forwarded)
        {
            forward_to_owner(request, waiting, call, owner);
            continue;
        }
        auto refusal = reply{};
        refusal.code = own ? reason::outcome_unknown : reason::claim_taken;
        finish_request(request, refusal);
    }
}

void order_coordinator::abandon_claim(pending_map::iterator it, reason why)
{
    auto const requests = it->second.requests;
    auto const nonce = std::get<claiming>(it->second.phase).nonce;
    abandon(it->first, {nonce, false, it->second.may_have_run_before});

    erase(it);
    for (auto const request : requests)
    {
        auto refusal = reply{};
        refusal.ran = waiting_.at(request).repeat ? verdict::may_have_run
                                                  : verdict::not_run;
        refusal.code = why;
        finish_request(request, refusal);
    }
}

void order_coordinator::on(abandon_completed const& it)
{
    auto const claim = unresolved_.find(it.key);
    if (claim == unresolved_.end() || claim->second.nonce != it.nonce)
    {
        return;
    }
    unresolved_.erase(claim);
}

void order_coordinator::on(abandon_failed const& it)
{
    auto const claim = unresolved_.find(it.key);
    if (claim == unresolved_.end() || claim->second.nonce != it.nonce)
    {
        return;
    }
    marks_due_.emplace(now_ + limits_.abandon_retry_interval, it.key);
}

void order_coordinator::abandon(idempotency_key const& key,
                                abandoned_claim claim)
{
    unresolved_[key] = claim;

    marks_due_.emplace(now_, key);
}

void order_coordinator::send_due_marks()
{
    while (platform_up_ && !marks_due_.empty() &&
           marks_due_.begin()->first <= now_)
    {
        auto const key = marks_due_.begin()->second;
        marks_due_.erase(marks_due_.begin());
        if (!rate_limiter_.try_acquire(now_))
        {
            marks_due_.emplace(now_ + limits_.abandon_retry_interval, key);
            continue;
        }
        auto const claim = unresolved_.find(key);
        if (claim != unresolved_.end())
        {
            out_.emplace_back(mark_abandoned{
                key, claim_record{self_, claim->second.nonce, true}});
        }
    }
}

} // namespace primrosedeal::order
