#include "routing_policies.hpp"

#include <memory>
#include <utility>

namespace primrosedeal::bench
{

namespace
{

auto empty_policy(std::string name) -> routing_policy
{
    auto it = routing_policy{};
    it.name = std::move(name);
    it.dispatched = [](auto, auto, auto const&) {
    };
    it.finished = [](auto, auto) {
    };
    it.reported = [](auto, auto) {
    };
    it.cached = [](auto, auto const&) {
    };
    return it;
}

auto make_random(fleet& all) -> routing_policy
{
    auto it = empty_policy("random");
    auto const random = std::make_shared<random_source>(11);
    it.choose = [random, &all](request const&)
    {
        return static_cast<std::uint32_t>(random->below(all.size()));
    };
    return it;
}

auto make_round_robin(fleet& all, std::uint32_t hosts) -> routing_policy
{
    auto it = empty_policy("round robin");
    auto const next = std::make_shared<std::vector<std::uint32_t>>(hosts);
    it.choose = [next, &all](request const& item)
    {
        return (*next)[item.host]++ % all.size();
    };
    return it;
}

auto make_least_reported(fleet& all) -> routing_policy
{
    auto it = empty_policy("least reported");
    auto const loads = std::make_shared<std::vector<std::uint32_t>>(all.size());
    auto const random = std::make_shared<random_source>(12);
    it.reported =
        [loads](std::uint32_t target, routing::load_report const& report)
    {
        (*loads)[target] = report.running + report.waiting;
    };
    it.choose = [loads, random](request const&)
    {
        auto const n = loads->size();
        auto best = random->below(n);
        auto const first = best;
        for (auto k = std::size_t{0}; k < n; ++k)
        {
            auto const other = (first + k) % n;
            best = (*loads)[other] < (*loads)[best] ? other : best;
        }
        return static_cast<std::uint32_t>(best);
    };
    return it;
}

/// Delay until the first token, from the engine's true state.
auto true_delay(engine_model& engine, request const& item) -> double
{
    constexpr auto tokens_per_second = 20'000.0;
    constexpr auto slots = 96.0;
    constexpr auto seconds_at_full_batch = 0.06;
    constexpr auto seconds_per_waiting = 0.3;
    auto const held = engine.cache().match(*item.prompt);
    auto const missing =
        static_cast<double>(item.prompt->size() - held) * tokens_per_block;
    auto const backlog = static_cast<double>(engine.prefill_backlog());
    auto const load = engine.running() + engine.waiting();
    return (missing + backlog) / tokens_per_second +
           load / slots * seconds_at_full_batch +
           std::max(load - slots, 0.0) * seconds_per_waiting;
}

auto make_perfect(fleet& all) -> routing_policy
{
    auto it = empty_policy("perfect knowledge");
    it.choose = [&all](request const& item)
    {
        auto best = 0U;
        auto least = true_delay(all.engine(0), item);
        for (auto n = 1U; n < all.size(); ++n)
        {
            auto const delay = true_delay(all.engine(n), item);
            best = delay < least ? n : best;
            least = std::min(delay, least);
        }
        return best;
    };
    return it;
}

struct product_state
{
    std::vector<routing::router> routers;
    random_source random{13};
};

auto work_of(request const& item, std::uint32_t domains)
    -> routing::routing_request
{
    auto it = routing::routing_request{};
    it.model = model_id{"fitting"};
    it.version = model_version{"1"};
    it.blocks = *item.prompt;
    it.priority = item.priority;
    it.own_domain = domain_of(item.host, domains);
    return it;
}

auto make_product(fleet& all, event_queue& queue, std::uint32_t hosts,
                  std::uint32_t domains) -> routing_policy
{
    auto it = empty_policy("primrosedeal");
    auto const state = std::make_shared<product_state>();
    for (auto n = 0U; n < hosts; ++n)
    {
        state->routers.emplace_back(routing::router_settings{});
    }
    it.choose = [=, &all, &queue](request const& item)
    {
        auto const made = state->routers[item.host].choose(
            work_of(item, domains), all.targets(), queue.now(), state->random);
        auto const* yes = std::get_if<routing::choice>(&made);
        return yes == nullptr ? all.size() : all.index(yes->target);
    };
    it.dispatched = [=, &all, &queue](std::uint32_t host, std::uint32_t target,
                                      request const& item)
    {
        state->routers[host].dispatched(all.targets()[target].id,
                                        work_of(item, domains), queue.now());
    };
    it.finished = [=, &all, &queue](std::uint32_t host, std::uint32_t target)
    {
        state->routers[host].finished(all.targets()[target].id, queue.now());
    };
    it.reported =
        [=, &all](std::uint32_t target, routing::load_report const& report)
    {
        for (auto& each : state->routers)
        {
            each.reported(all.targets()[target].id, report);
        }
    };
    it.cached = [=, &all](std::uint32_t target, cache_batch const& batch)
    {
        auto events = std::vector<routing::cache_event>{};
        for (auto const& each : batch.changes)
        {
            events.push_back({each.stored, each.block});
        }
        for (auto& each : state->routers)
        {
            each.cache_events(all.targets()[target].id, events, batch.gap);
        }
    };
    return it;
}

} // namespace

auto policy_kinds() -> std::vector<policy_kind> const&
{
    static auto const all =
        std::vector{policy_kind::random, policy_kind::round_robin,
                    policy_kind::least_reported, policy_kind::perfect,
                    policy_kind::product};
    return all;
}

auto make_policy(policy_kind kind, fleet& all, event_queue& queue,
                 std::uint32_t hosts, std::uint32_t domains) -> routing_policy
{
    switch (kind)
    {
    case policy_kind::random:
        return make_random(all);
    case policy_kind::round_robin:
        return make_round_robin(all, hosts);
    case policy_kind::least_reported:
        return make_least_reported(all);
    case policy_kind::perfect:
        return make_perfect(all);
    case policy_kind::product:
        break;
    }
    return make_product(all, queue, hosts, domains);
}

} // namespace primrosedeal::bench
