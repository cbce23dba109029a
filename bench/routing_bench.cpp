#include "routing_policies.hpp"
#include "statistics.hpp"

#include <cstdio>

// Each way to route gets the same arrivals on a fresh fleet. First tokens
// count from the arrival, after the caches have had time to fill.

using namespace primrosedeal;
using namespace primrosedeal::bench;

namespace
{

constexpr auto hosts = 8U;
constexpr auto run_length = duration{150s};
constexpr auto warm_up = duration{40s};
constexpr auto requests_per_second_and_target = 2.8;

struct figures
{
    std::vector<double> first_tokens;
    std::vector<std::uint32_t> dispatched;
    std::size_t crossings = 0;
    std::size_t refused = 0;
};

class run
{
public:
    run(std::uint32_t targets, std::uint32_t domains, duration lag,
        policy_kind kind)
        : domains_(domains), all_(queue_, settings(targets, domains, lag)),
          policy_(make_policy(kind, all_, queue_, hosts, domains))
    {
        figures_.dispatched.resize(targets);
    }

    void play(std::vector<request> const& arrivals)
    {
        all_.publish(policy_.reported, policy_.cached);
        for (auto const& it : arrivals)
        {
            queue_.at(it.at, [this, &it] { arrive(it); });
        }
        queue_.run_until(time_point{run_length + 20s});
    }

    void print(double lag) const
    {
        auto const& it = figures_;
        auto sum = 0.0;
        for (auto const n : it.dispatched)
        {
            sum += n;
        }
        auto const worst = *std::ranges::max_element(it.dispatched);
        std::printf("%3zu %5.1f  %-18s %6.1f %8.3f %8.3f %8.2f %7.1f %6zu\n",
                    it.dispatched.size(), lag, policy_.name.c_str(),
                    100 * all_.hit_rate(), quantile(it.first_tokens, 0.5),
                    quantile(it.first_tokens, 0.95), 100 * worst / sum,
                    100 * static_cast<double>(it.crossings) / sum, it.refused);
    }

private:
    static auto settings(std::uint32_t targets, std::uint32_t domains,
                         duration lag) -> fleet_settings
    {
        auto it = fleet_settings{};
        it.targets = targets;
        it.domains = domains;
        it.report_lag = lag;
        return it;
    }

    void arrive(request const& item)
    {
        auto const target = policy_.choose(item);
        if (target >= all_.size())
        {
            ++figures_.refused;
            return;
        }
        ++figures_.dispatched[target];
        auto const domain = all_.targets()[target].domain;
        figures_.crossings += domain != domain_of(item.host, domains_) ? 1 : 0;
        policy_.dispatched(item.host, target, item);
        auto work = engine_work{};
        work.key = item.key;
        work.prompt = item.prompt;
        work.length = item.length;
        work.priority = item.priority;
        all_.engine(target).submit(
            work, [this, &item, target](engine_event what, std::uint32_t offset)
            { on_event(item, target, what, offset); });
    }

    void on_event(request const& item, std::uint32_t target, engine_event what,
                  std::uint32_t offset)
    {
        if (what == engine_event::finished)
        {
            policy_.finished(item.host, target);
        }
        auto const counts = item.at > time_point{warm_up};
        if (what == engine_event::token && offset == 0 && counts)
        {
            figures_.first_tokens.push_back(to_seconds(queue_.now() - item.at));
        }
    }

    std::uint32_t domains_;
    event_queue queue_;
    fleet all_;
    routing_policy policy_;
    figures figures_;
};

void compare(std::uint32_t targets, std::uint32_t domains, duration lag,
             std::vector<policy_kind> const& kinds)
{
    auto settings = workload_settings{};
    settings.length = run_length;
    settings.requests_per_second = requests_per_second_and_target * targets;
    auto const arrivals = make_workload(settings);
    for (auto const kind : kinds)
    {
        auto it = run{targets, domains, lag, kind};
        it.play(arrivals);
        it.print(to_seconds(lag));
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto const only_product = argc > 1 && argv[1] == std::string{"product"};
    auto const kinds =
        only_product ? std::vector{policy_kind::product} : policy_kinds();
    std::printf("targets, report lag in s, policy, hit rate in %%, first token "
                "p50 and p95 in s,\nworst target's share in %%, dispatched "
                "across failure domains in %%, refused\n");
    for (auto const lag : {duration{0}, duration{500ms}, duration{2s}})
    {
        compare(24, 3, lag, kinds);
        compare(36, 4, lag, kinds);
    }
    return 0;
}
