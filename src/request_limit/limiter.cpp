#include "request_limit/limiter.hpp"

#include "core/part_of.hpp"

#include <algorithm>

namespace primrosedeal::request_limit
{

namespace
{

/// Time for which unused requests are saved up, but for one at least.
constexpr auto saving_seconds = 0.5;

/// Least time, and the time after which some host has room again if this one
/// has no share.
constexpr auto min_retry_after = duration{100ms};
constexpr auto share_period = duration{1s};

} // namespace

void limiter::update(limit_table const& limits,
                     std::vector<directory::listed_target> const& targets,
                     host_group const& hosts, time_point now)
{
    for (auto i = std::size_t{0}; i < targets.size(); ++i)
    {
        auto const& target = targets[i];
        auto const limit = limits.find(target.id, target.process_start);
        if (!limit)
        {
            buckets_.erase(target.id);
            continue;
        }
        auto const rate =
            share_of(*limit, {i, targets.size()}, hosts, now).value();
        auto& it =
            buckets_.try_emplace(target.id, bucket{rate, 0, now}).first->second;
        it = {rate, rate > 0 ? tokens_at(it, now) : 0, now};
    }
}

auto limiter::tokens_at(bucket const& it, time_point now) -> double
{
    auto const most = std::max(it.rate * saving_seconds, 1.0);
    return std::min(it.tokens + it.rate * to_seconds(now - it.filled_at), most);
}

auto limiter::permits(target_id const& id, time_point now) const -> bool
{
    auto const it = buckets_.find(id);
    return it == buckets_.end() || tokens_at(it->second, now) >= 1;
}

auto limiter::wait_for(target_id const& id, time_point now) const
    -> std::optional<duration>
{
    auto const it = buckets_.find(id);
    if (it == buckets_.end())
    {
        return duration{};
    }
    if (it->second.rate <= 0)
    {
        return std::nullopt;
    }
    auto const missing = std::max(1 - tokens_at(it->second, now), 0.0);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{missing / it->second.rate});
}

void limiter::sent(target_id const& id, time_point now)
{
    auto const it = buckets_.find(id);
    if (it != buckets_.end())
    {
        it->second.tokens = tokens_at(it->second, now) - 1;
        it->second.filled_at = now;
    }
}

void limiter::remove_target(target_id const& id)
{
    buckets_.erase(id);
}

void limiter::clear()
{
    buckets_.clear();
}

auto retry_after(limiter const& it,
                 std::vector<directory::listed_target> const& targets,
                 random_source& random, time_point now)
    -> std::optional<duration>
{
    auto wait = std::optional<duration>{};
    for (auto const& target : targets)
    {
        if (!it.permits(target.id, now))
        {
            auto const own = it.wait_for(target.id, now).value_or(share_period);
            wait = std::min(wait.value_or(own), own);
        }
    }
    if (!wait)
    {
        return std::nullopt;
    }
    auto const least = std::max(*wait, min_retry_after);
    return least + part_of(least, random.unit());
}

} // namespace primrosedeal::request_limit
