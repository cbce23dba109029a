#include "order/order_coordinator.hpp"

#include <algorithm>

// A claim whose answer was lost is read back. If the record is absent, the
// lost write may still be on its way, so the same record is written again: it
// is created at most once, whichever copy arrives first. Only the record with
// our own nonce, seen with our own eyes, opens the way to dispatch.
//
// A claim given up is marked by leaving an abandoned record. Where there is
// none yet, that record stops a late copy of the first write as well.

namespace primrosedeal::order
{

auto order_book::find_claiming(call_key const& key, claim_nonce nonce)
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

void order_book::send_claim(pending_map::iterator it)
{
    auto& phase = std::get<claiming>(it->second.phase);
    ++phase.calls;
    out_.emplace_back(
        write_claim{it->first, claim_record{self_, phase.nonce, false}});
}

void order_book::on(claim_answered const& it)
{
    if (auto const found = find_claiming(it.key, it.nonce);
        found != pending_.end())
    {
        on_claim_found(found, it.found);
    }
}

void order_book::on(claim_lost const& it)
{
    if (auto const found = find_claiming(it.key, it.nonce);
        found != pending_.end())
    {
        read_or_give_up(found);
    }
}

void order_book::on(claim_unread const& it)
{
    if (auto const found = find_claiming(it.key, it.nonce);
        found != pending_.end())
    {
        read_or_give_up(found);
    }
}

void order_book::on(claim_read_back const& it)
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
    if (phase.calls >= limits_.max_claim_calls || !budget_.take(now_))
    {
        give_up_claim(found, reason::claim_unresolved);
        return;
    }
    send_claim(found);
}

void order_book::read_or_give_up(pending_map::iterator it)
{
    auto& phase = std::get<claiming>(it->second.phase);
    if (phase.calls >= limits_.max_claim_calls || !budget_.take(now_))
    {
        give_up_claim(it, reason::claim_unresolved);
        return;
    }
    ++phase.calls;
    out_.emplace_back(read_claim{it->first, phase.nonce});
}

void order_book::on_claim_found(pending_map::iterator it,
                                claim_record const& found)
{
    auto const nonce = std::get<claiming>(it->second.phase).nonce;
    if (found == claim_record{self_, nonce, false})
    {
        it->second.phase = dispatching{nonce, attempt_id{1}, {}, false};
        if (now_ >= it->second.send_before)
        {
            close_unsent(it, reason::deadline_expired);
            return;
        }
        send_dispatch(it);
        return;
    }
    if (found.abandoned)
    {
        auto what = reply{};
        what.ran = verdict::not_run;
        what.code = reason::claim_unresolved;
        finish(it, what);
        return;
    }
    on_claim_taken(it, found.owner);
}

void order_book::on_claim_taken(pending_map::iterator it,
                                process_id const& owner)
{
    auto const asks = it->second.asks;
    auto const call = it->second.call;
    erase(it);
    auto const own = owner.host == self_.host;
    for (auto const ask : asks)
    {
        auto& who = asks_.at(ask);
        if (!own && !who.forwarded)
        {
            hand_over(ask, who, call, owner);
            continue;
        }
        auto what = reply{};
        what.code = own ? reason::outcome_unknown : reason::claim_taken;
        end_ask(ask, what);
    }
}

void order_book::give_up_claim(pending_map::iterator it, reason why)
{
    auto const asks = it->second.asks;
    auto const nonce = std::get<claiming>(it->second.phase).nonce;
    give_up(it->first, {nonce, false, it->second.run_before});

    erase(it);
    for (auto const ask : asks)
    {
        auto what = reply{};
        what.ran =
            asks_.at(ask).repeat ? verdict::may_have_run : verdict::not_run;
        what.code = why;
        end_ask(ask, what);
    }
}

void order_book::on(abandon_answered const& it)
{
    auto const claim = unresolved_.find(it.key);
    if (claim == unresolved_.end() || claim->second.nonce != it.nonce)
    {
        return;
    }
    unresolved_.erase(claim);
}

void order_book::on(abandon_lost const& it)
{
    auto const claim = unresolved_.find(it.key);
    if (claim == unresolved_.end() || claim->second.nonce != it.nonce)
    {
        return;
    }
    marks_.emplace(now_ + limits_.mark_retry, it.key);
}

void order_book::give_up(call_key const& key, given_up_claim claim)
{
    unresolved_[key] = claim;

    marks_.emplace(now_, key);
}

void order_book::mark_when_due()
{
    while (platform_up_ && !marks_.empty() && marks_.begin()->first <= now_)
    {
        auto const key = marks_.begin()->second;
        marks_.erase(marks_.begin());
        if (!budget_.take(now_))
        {
            marks_.emplace(now_ + limits_.mark_retry, key);
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
