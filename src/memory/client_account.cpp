#include "memory/client_account.hpp"

#include <algorithm>
#include <tuple>

namespace primrosedeal::memory
{

auto to_string(client_group it) -> std::string_view
{
    switch (it)
    {
    case client_group::small:
        return "small_request";
    case client_group::sized_body:
        return "sized_body";
    case client_group::chunked_body:
        return "chunked_body";
    case client_group::slow_reader:
        return "slow_reader";
    }
    return "unknown";
}

void client_account::set_limits(account_limits const& it)
{
    limits_ = it;
}

void client_account::opened(connection_number id, client_address from)
{
    entries_[id].from = from;
}

void client_account::closed(connection_number id)
{
    auto const it = entries_.find(id);
    if (it == entries_.end())
    {
        return;
    }
    ended(id);
    usage_.unsent -= it->second.unsent;
    entries_.erase(it);
}

auto client_account::group_of(entry const& it) -> client_group
{
    return it.reserved == 0 && it.wanted == 0 ? client_group::small
           : it.chunked                       ? client_group::chunked_body
                                              : client_group::sized_body;
}

auto client_account::group(connection_number id) const -> client_group
{
    auto const it = entries_.find(id);
    return it == entries_.end() ? client_group::small : group_of(it->second);
}

auto client_account::reserved(connection_number id) const -> std::size_t
{
    auto const it = entries_.find(id);
    return it == entries_.end() ? 0 : it->second.reserved;
}

auto client_account::fits(std::size_t wanted) const -> bool
{
    auto const most = limits_.bytes.bodies;
    return usage_.bodies == 0 ||
           (wanted <= most && usage_.bodies <= most - wanted);
}

auto client_account::held_by(client_address it) const -> std::size_t
{
    auto const found = held_by_.find(it);
    return found == held_by_.end() ? 0 : found->second;
}

void client_account::hold(entry& it, std::size_t small, std::size_t reserved)
{
    usage_.small_requests = usage_.small_requests - it.small + small;
    usage_.bodies = usage_.bodies - it.reserved + reserved;
    auto const by = held_by_.try_emplace(it.from).first;
    by->second = by->second - it.small - it.reserved + small + reserved;
    if (by->second == 0)
    {
        held_by_.erase(by);
    }
    it.small = small;
    it.reserved = reserved;
}

void client_account::await(entry& it, std::size_t wanted, time_point now)
{
    ++usage_.waiting;
    waiting_bodies_ += wanted > 0 ? 1U : 0U;
    it.now = phase::waiting;
    it.wanted = wanted;
    it.waiting_since = now;
}

void client_account::stop_waiting(entry& it)
{
    if (it.now == phase::waiting)
    {
        --usage_.waiting;
        waiting_bodies_ -= it.wanted > 0 ? 1U : 0U;
    }
    it.now = phase::receiving;
    it.wanted = 0;
}

auto client_account::received(connection_number id, request_progress const& it,
                              time_point now) -> bool
{
    auto const found = entries_.find(id);
    if (found == entries_.end())
    {
        return true;
    }
    auto& to = found->second;
    if (to.now == phase::waiting)
    {
        return false;
    }
    if (!to.begun())
    {
        to.begun_at = now;
        to.progressed_at = now;
        to.window_at = now;
        to.received = 0;
        to.window_received = 0;
    }
    to.chunked = it.chunked;
    if (it.held > to.received)
    {
        to.received = it.held;
        to.progressed_at = now;
    }
    if (to.reserved > 0)
    {
        return true;
    }
    auto const large =
        it.held > small_request || it.announced.value_or(0) > small_request;
    if (!large)
    {
        hold(to, it.held, 0);
        if (usage_.small_requests <= limits_.bytes.small_requests)
        {
            return true;
        }
        await(to, 0, now);
        return false;
    }
    auto const wanted =
        std::max(it.held, std::min(it.announced.value_or(limits_.largest_body),
                                   limits_.largest_body));
    if (waiting_bodies_ == 0 && fits(wanted))
    {
        hold(to, 0, wanted);
        return true;
    }
    hold(to, it.held, 0);
    await(to, wanted, now);
    return false;
}

void client_account::complete(connection_number id, std::size_t bytes)
{
    auto const found = entries_.find(id);
    if (found == entries_.end())
    {
        return;
    }
    auto& it = found->second;
    stop_waiting(it);
    it.now = phase::kept;
    bytes <= small_request ? hold(it, bytes, 0) : hold(it, 0, bytes);
}

void client_account::ended(connection_number id)
{
    auto const found = entries_.find(id);
    if (found != entries_.end())
    {
        stop_waiting(found->second);
        hold(found->second, 0, 0);
    }
}

void client_account::measure_progress(time_point now,
                                      unread_query const& has_unread)
{
    for (auto& [id, it] : entries_)
    {
        if (it.now != phase::receiving || !it.begun())
        {
            continue;
        }
        if (now - it.window_at >= limits_.stall_time)
        {
            it.last_progress = it.received - it.window_received;
            it.slow = it.last_progress < limits_.least_progress;
            it.window_at = now;
            it.window_received = it.received;
        }
        auto const silent = now - it.progressed_at >= limits_.stall_time;
        it.stalled = (silent || it.slow) && !has_unread(id);
    }
}

auto client_account::waiters(bool large) -> std::vector<item*>
{
    auto out = std::vector<item*>{};
    for (auto& it : entries_)
    {
        if (it.second.now == phase::waiting && (it.second.wanted > 0) == large)
        {
            out.push_back(&it);
        }
    }
    auto const rank = [this](item const* it)
    {
        return std::tuple{held_by(it->second.from), it->second.waiting_since,
                          it->first};
    };
    std::sort(out.begin(), out.end(),
              [&](item const* a, item const* b) { return rank(a) < rank(b); });
    return out;
}

template <class Predicate>
auto client_account::candidates(Predicate matches) -> std::vector<item*>
{
    auto out = std::vector<item*>{};
    for (auto& it : entries_)
    {
        if (matches(it.second))
        {
            out.push_back(&it);
        }
    }
    auto const rank = [this](item const* it)
    {
        auto const& e = it->second;
        return std::tuple{held_by(e.from), ~e.last_progress,
                          time_point::max() - e.begun_at};
    };
    std::sort(out.begin(), out.end(),
              [&](item const* a, item const* b) { return rank(a) < rank(b); });
    return out;
}

void client_account::resume(item& it, time_point now,
                            std::vector<decision>& out)
{
    auto& to = it.second;
    out.push_back({it.first, group_of(to), resume_reading{}});
    stop_waiting(to);
    // It was not read meanwhile.
    to.progressed_at = now;
    to.window_at = now;
    to.window_received = to.received;
    to.slow = false;
}

void client_account::end(item& it, action const& what,
                         std::vector<decision>& out)
{
    out.push_back({it.first, group_of(it.second), what});
    ended(it.first);
}

void client_account::admit_bodies(time_point now, std::vector<decision>& out)
{
    auto const waiting = waiters(true);
    if (waiting.empty())
    {
        return;
    }
    auto stalled = candidates(
        [](entry const& it) {
            return it.now == phase::receiving && it.reserved > 0 && it.stalled;
        });
    auto blocked = false;
    for (auto* const it : waiting)
    {
        auto& to = it->second;
        while (!blocked && !fits(to.wanted) && !stalled.empty())
        {
            end(*stalled.back(), close_stalled{}, out);
            stalled.pop_back();
        }
        blocked = blocked || !fits(to.wanted);
        if (!blocked)
        {
            hold(to, 0, to.wanted);
            resume(*it, now, out);
        }
        else if (now - to.waiting_since >= limits_.longest_wait)
        {
            end(*it, reject_request{}, out);
        }
    }
}

void client_account::admit_small_requests(time_point now,
                                          std::vector<decision>& out)
{
    auto const waiting = waiters(false);
    if (waiting.empty())
    {
        return;
    }
    auto leaving =
        candidates([](entry const& it)
                   { return it.now == phase::waiting && it.wanted > 0; });
    auto const stalled = candidates(
        [](entry const& it)
        { return it.now == phase::receiving && it.small > 0 && it.stalled; });
    leaving.insert(leaving.end(), stalled.begin(), stalled.end());
    // What the resumed ones may still receive.
    auto resumed = std::size_t{0};
    auto const full = [&]
    {
        return usage_.small_requests + resumed > limits_.bytes.small_requests;
    };
    for (auto* const it : waiting)
    {
        while (full() && !leaving.empty())
        {
            auto& last = *leaving.back();
            leaving.pop_back();
            end(last,
                last.second.now == phase::waiting ? action{reject_request{}}
                                                  : action{close_stalled{}},
                out);
        }
        if (!full())
        {
            resumed +=
                small_request - std::min(small_request, it->second.small);
            resume(*it, now, out);
        }
        else if (now - it->second.waiting_since >= limits_.longest_wait)
        {
            end(*it, reject_request{}, out);
        }
    }
}

auto client_account::step(time_point now, unread_query const& has_unread)
    -> std::vector<decision>
{
    auto out = std::vector<decision>{};
    if (busy())
    {
        measure_progress(now, has_unread);
        admit_bodies(now, out);
        admit_small_requests(now, out);
    }
    return out;
}

} // namespace primrosedeal::memory
