#include "resume_session.hpp"
#include "statistics.hpp"

#include <array>
#include <cstdio>
#include <string_view>

// Each scenario runs with both settings and two baselines over the same
// arrivals. The load is brought up quickly, then held.

using namespace primrosedeal;
using namespace primrosedeal::bench;

namespace
{

constexpr auto targets = 24U;
constexpr auto domains = 3U;
constexpr auto hosts = 8U;
constexpr auto fault_time = time_point{40s};
constexpr auto end_of_run = time_point{80s};
/// Brings 80% of the slots into use by `fault_time`, at the start.
constexpr auto rising_rate = 5.5;
/// Share of these arrivals that is kept after `fault_time`.
constexpr auto kept_share = 0.58;

enum class scenario
{
    none,
    one_engine,
    four_engines,
    three_of_a_domain,
    failure_domain,
    pause_1s,
    pause_5s,
    pause_30s,
    silent_connections,
    slow_engine,
    poison_request,
};

struct named_scenario
{
    scenario what;
    char const* name;
};

constexpr auto scenarios = std::array{
    named_scenario{scenario::none, "no fault"},
    named_scenario{scenario::one_engine, "one engine dies"},
    named_scenario{scenario::four_engines, "four engines die"},
    named_scenario{scenario::three_of_a_domain, "a domain of 3 engines"},
    named_scenario{scenario::failure_domain, "1 domain of 3 lost"},
    named_scenario{scenario::pause_1s, "engine pauses 1 s"},
    named_scenario{scenario::pause_5s, "engine pauses 5 s"},
    named_scenario{scenario::pause_30s, "engine pauses 30 s"},
    named_scenario{scenario::silent_connections, "silent connections"},
    named_scenario{scenario::slow_engine, "engine 10 times slower"},
    named_scenario{scenario::poison_request, "poison request"},
};

constexpr auto kinds =
    std::array{resume_kind::restart, resume_kind::random_target,
               resume_kind::latency, resume_kind::resource};

void strike(resume_world& world, scenario what)
{
    auto& engines = *world.engines;
    switch (what)
    {
    case scenario::none:
    case scenario::poison_request:
        break;
    case scenario::one_engine:
        engines.engine(4).die(true);
        break;
    case scenario::four_engines:
        for (auto const n : {1U, 5U, 9U, 12U})
        {
            engines.engine(n).die(false);
        }
        break;
    case scenario::three_of_a_domain:
        for (auto const n : {1U, 4U, 7U})
        {
            engines.engine(n).die(false);
        }
        break;
    case scenario::failure_domain:
        for (auto n = 1U; n < targets; n += domains)
        {
            engines.engine(n).die(false);
        }
        break;
    case scenario::pause_1s:
        engines.engine(4).pause(1s);
        break;
    case scenario::pause_5s:
        engines.engine(4).pause(5s);
        break;
    case scenario::pause_30s:
        engines.engine(4).pause(30s);
        break;
    case scenario::silent_connections:
        world.hosts[3].silent_before = fault_time;
        break;
    case scenario::slow_engine:
        engines.engine(4).slow_down(10);
        break;
    }
}

auto arrivals() -> std::vector<request>
{
    auto settings = workload_settings{};
    settings.length = end_of_run.time_since_epoch();
    settings.requests_per_second = rising_rate * targets;
    auto all = make_workload(settings);
    auto random = random_source{23};
    std::erase_if(all, [&](request const& it)
                  { return it.at > fault_time && random.unit() > kept_share; });
    return all;
}

void publish(resume_world& world)
{
    world.engines->publish(
        [&](std::uint32_t target, routing::load_report const& report)
        {
            for (auto& it : world.hosts)
            {
                it.router.reported(it.targets[target].id, report);
                it.heard[target] = report.at;
            }
        },
        [](std::uint32_t, cache_batch const&) {});
}

/// A target is suspect while it does not report, and for a moment after it
/// failed a generation.
void watch_targets(resume_world& world)
{
    constexpr auto interval = duration{250ms};
    constexpr auto silence = duration{1s};
    constexpr auto suspicion = duration{2s};
    auto const now = world.queue.now();
    for (auto& it : world.hosts)
    {
        for (auto n = 0U; n < targets; ++n)
        {
            auto const suspect = now - it.heard[n] > silence ||
                                 now - it.suspect_since[n] < suspicion;
            it.targets[n].state = suspect ? routing::target_state::suspect
                                          : routing::target_state::live;
        }
    }
    world.queue.after(interval, [&world] { watch_targets(world); });
}

/// Of `figures`, and the state at the fault.
void print(char const* name, resume_world const& world, double load)
{
    auto const& it = world.figures;
    auto computed = 0.0;
    auto generated = 0.0;
    auto recomputed = 0.0;
    for (auto n = 0U; n < targets; ++n)
    {
        auto const& engine = world.engines->engine(n);
        computed += static_cast<double>(engine.computed_tokens());
        generated += static_cast<double>(engine.generated_tokens());
        recomputed += static_cast<double>(engine.recomputed_tokens());
    }
    auto const wasted = generated - static_cast<double>(it.relayed);
    auto const all = computed + generated;
    auto const max =
        it.latencies.empty() ? 0.0 : *std::ranges::max_element(it.latencies);
    std::printf("%-23s %-14s %3.0f %5zu %5zu %7.3f %7.3f %7.3f %6.2f %6.2f "
                "%7.3f %4zu %5zu\n",
                name, to_string(world.kind).c_str(), 100 * load, it.losses,
                it.latencies.size(), quantile(it.latencies, 0.5),
                quantile(it.latencies, 0.95), max, 100 * recomputed / all,
                100 * wasted / all, quantile(it.first_tokens, 0.95), it.failed,
                it.refused);
}

void run(named_scenario const& what, resume_kind kind,
         std::vector<request> const& all)
{
    auto world = resume_world{};
    world.kind = kind;
    world.fault_at = fault_time;
    auto settings = fleet_settings{};
    settings.targets = targets;
    settings.domains = domains;
    settings.engine.prefill_chunk = 2'048;
    world.engines = std::make_unique<fleet>(world.queue, settings);
    world.hosts.resize(hosts);
    for (auto& it : world.hosts)
    {
        it.targets = world.engines->targets();
        it.heard.resize(targets);
        it.suspect_since.resize(targets, time_point{-1h});
    }
    publish(world);
    watch_targets(world);
    auto poisoned = what.what != scenario::poison_request;
    for (auto const& it : all)
    {
        auto const poison = !poisoned && it.at > fault_time;
        poisoned |= poison;
        world.queue.at(
            it.at, [&world, &it, poison]
            { std::make_shared<resume_session>(world, it, poison)->start(); });
    }
    auto load = 0.0;
    world.queue.at(fault_time,
                   [&]
                   {
                       for (auto n = 0U; n < targets; ++n)
                       {
                           load += world.engines->engine(n).running();
                       }
                       load /= targets * settings.engine.slots;
                       strike(world, what.what);
                   });
    world.queue.run_until(end_of_run);
    print(what.name, world, load);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    std::printf("scenario, way, slots in use at the fault in %%, losses, "
                "resumes, resume latency p50, p95, max in s,\nprompt and "
                "prefix tokens recomputed and tokens generated in vain in %% "
                "of all,\nfirst token p95 of requests after the fault in s, "
                "broken off, refused before output\n");
    auto const all = arrivals();
    auto const wanted = std::string_view{argc > 1 ? argv[1] : ""};
    for (auto const& what : scenarios)
    {
        if (std::string_view{what.name}.find(wanted) == std::string_view::npos)
        {
            continue;
        }
        for (auto const kind : kinds)
        {
            run(what, kind, all);
        }
    }
    return 0;
}
