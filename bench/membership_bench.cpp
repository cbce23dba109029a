#include "membership/virtual_fleet.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

// Gossip of 8 to 360 hosts in virtual time over the real decisions and codec.
// Bytes hold the frames of HTTP/2 and the headers of TCP and IP. Processor
// time holds the fake network too, so it is an upper bound. The first column
// of each row is the number of hosts.
namespace
{

using namespace primrosedeal;
using namespace primrosedeal::membership;

constexpr auto seed = std::uint64_t{20261203};
constexpr auto domains = std::size_t{8};
/// The runs with loss are long; larger fleets do without them.
constexpr auto largest_with_loss = std::size_t{128};
constexpr auto load_bytes = std::size_t{100};

auto cpu_seconds() -> double
{
    auto it = rusage{};
    getrusage(RUSAGE_SELF, &it);
    constexpr auto us = 1e6;
    return static_cast<double>(it.ru_utime.tv_sec + it.ru_stime.tv_sec) +
           static_cast<double>(it.ru_utime.tv_usec + it.ru_stime.tv_usec) / us;
}

auto resident_kib() -> long
{
    auto it = rusage{};
    getrusage(RUSAGE_SELF, &it);
    return it.ru_maxrss;
}

void start_all(virtual_fleet& fleet)
{
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        fleet.start(n);
    }
}

auto all_alive(virtual_fleet& fleet) -> bool
{
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        auto const members = fleet.at(n).protocol->members();
        if (members.size() != fleet.size())
        {
            return false;
        }
        for (auto const& it : members)
        {
            if (it.state != host_state::alive || it.start.value() == 0)
            {
                return false;
            }
        }
    }
    return true;
}

auto run_until_alive(virtual_fleet& fleet) -> duration
{
    auto const begun = fleet.now();
    while (!all_alive(fleet) && fleet.now() - begun < 120s)
    {
        fleet.run_for(500ms);
    }
    return fleet.now() - begun;
}

auto a_record(topic kind, std::size_t host, std::uint64_t version,
              urgency level, std::size_t bytes) -> record
{
    auto it = record{};
    it.key = {kind, virtual_fleet::name(host).value()};
    it.version = {1, version};
    it.urgency = level;
    it.payload = std::string(bytes, 'x');
    it.lifetime = std::chrono::hours{1};
    return it;
}

/// How long one urgent record takes to each host.
struct spread_times
{
    std::vector<double> each;
    std::vector<double> whole;
};

class experiment
{
public:
    experiment(std::size_t hosts, double loss)
        : fleet_(hosts, std::min(domains, hosts / 2), seed), random_(seed)
    {
        fleet_.loss = loss;
        fleet_.on_action = [this](std::size_t, action const& it)
        {
            auto const* got = std::get_if<deliver>(&it);
            if (got != nullptr &&
                got->update.key.topic == topic::target_leaving)
            {
                arrivals_.push_back(fleet_.now());
            }
        };
    }

    auto fleet() -> virtual_fleet&
    {
        return fleet_;
    }

    /// Marks that some host hadn't when the next one was published.
    [[nodiscard]] auto missed() const -> std::size_t
    {
        return missed_;
    }

    /// Every host publishes its load every `load_period`; each three seconds
    /// one host publishes an urgent mark.
    auto run_steady(duration span, duration load_period) -> spread_times
    {
        auto times = spread_times{};
        auto version = std::uint64_t{0};
        auto const end = fleet_.now() + span;
        auto published_at = fleet_.now();
        while (fleet_.now() < end)
        {
            if (fleet_.now() - published_at >= 3s)
            {
                note(times, published_at);
                published_at = fleet_.now();
                publish_mark(++version);
            }
            publish_loads(load_period, ++version);
            fleet_.run_for(100ms);
        }
        return times;
    }

private:
    void publish_mark(std::uint64_t version)
    {
        auto const from = random_.below(fleet_.size());
        auto it = a_record(topic::target_leaving, version, version,
                           urgency::urgent, 0);
        fleet_.send_event(from, publish{it});
    }

    void publish_loads(duration period, std::uint64_t version)
    {
        for (auto n = std::size_t{0}; n < fleet_.size(); ++n)
        {
            auto const per_period =
                static_cast<std::uint64_t>(period / duration{100ms});
            if (random_.below(per_period) == 0)
            {
                fleet_.send_event(n,
                                  publish{a_record(topic::load, n, version,
                                                   urgency::bulk, load_bytes)});
            }
        }
    }

    void note(spread_times& times, time_point published_at)
    {
        auto last = 0.0;
        for (auto const& it : arrivals_)
        {
            times.each.push_back(to_seconds(it - published_at));
            last = std::max(last, times.each.back());
        }
        if (arrivals_.size() == fleet_.size())
        {
            times.whole.push_back(last);
        }
        else if (!arrivals_.empty())
        {
            ++missed_;
        }
        arrivals_.clear();
    }

    std::size_t missed_ = 0;
    virtual_fleet fleet_;
    random_source random_;
    std::vector<time_point> arrivals_;
};

auto median(std::vector<double> it) -> double
{
    if (it.empty())
    {
        return -1;
    }
    std::sort(it.begin(), it.end());
    return it[it.size() / 2];
}

auto largest(std::vector<double> const& it) -> double
{
    return it.empty() ? -1 : *std::max_element(it.begin(), it.end());
}

void measure_cost(std::size_t hosts)
{
    auto const kib_before = resident_kib();
    auto run = experiment{hosts, 0.0};
    auto& fleet = run.fleet();
    start_all(fleet);
    auto const ready = run_until_alive(fleet);
    fleet.run_for(20s);
    auto bytes = std::vector<std::uint64_t>{};
    for (auto n = std::size_t{0}; n < hosts; ++n)
    {
        bytes.push_back(fleet.at(n).bytes_sent);
    }
    constexpr auto span = duration{61s};
    auto const cpu_before = cpu_seconds();
    auto const load_period =
        std::max<duration>(2s, 50ms * static_cast<int>(hosts));
    auto const times = run.run_steady(span, load_period);
    auto const cpu = cpu_seconds() - cpu_before;
    auto sum = 0.0;
    auto most = 0.0;
    auto links = std::size_t{0};
    auto held = std::size_t{0};
    for (auto n = std::size_t{0}; n < hosts; ++n)
    {
        auto const sent =
            static_cast<double>(fleet.at(n).bytes_sent - bytes[n]) /
            to_seconds(span);
        sum += sent;
        most = std::max(most, sent);
        links = std::max(links, fleet.at(n).protocol->link_count());
        held = std::max(held, fleet.at(n).protocol->store().bytes());
    }
    auto const count = static_cast<double>(hosts);
    std::printf("cost %zu: all alive %.1f s, bytes/s mean %.0f max %.0f, "
                "core %.3f%%, links max %zu, store KiB %zu, "
                "resident KiB/host %ld, load period %.1f s\n",
                hosts, to_seconds(ready), sum / count, most,
                100 * cpu / to_seconds(span) / count, links, held / 1024,
                (resident_kib() - kib_before) / static_cast<long>(hosts),
                to_seconds(load_period));
    std::printf("spread %zu: to a host p50 %.2f s max %.2f s, to all p50 "
                "%.2f s max %.2f s, whole %zu, missed %zu\n",
                hosts, median(times.each), largest(times.each),
                median(times.whole), largest(times.whole), times.whole.size(),
                run.missed());
}

auto deaths_in(virtual_fleet& fleet) -> std::uint64_t
{
    auto count = std::uint64_t{0};
    for (auto n = std::size_t{0}; n < fleet.size(); ++n)
    {
        count += fleet.at(n).protocol->counters().deaths_declared;
    }
    return count;
}

void measure_loss(std::size_t hosts, double loss)
{
    auto run = experiment{hosts, loss};
    auto& fleet = run.fleet();
    start_all(fleet);
    run_until_alive(fleet);
    auto const before = deaths_in(fleet);
    auto const times = run.run_steady(301s, 10s);
    std::printf("loss %zu: %.0f%% of messages, 300 s, false deaths %llu, "
                "spread to all p50 %.2f s max %.2f s, missed %zu\n",
                hosts, 100 * loss,
                static_cast<unsigned long long>(deaths_in(fleet) - before),
                median(times.whole), largest(times.whole), run.missed());
}

void measure_cut(std::size_t hosts)
{
    auto run = experiment{hosts, 0.01};
    auto& fleet = run.fleet();
    start_all(fleet);
    run_until_alive(fleet);
    auto const before = deaths_in(fleet);
    for (auto n = std::size_t{1}; n < std::min<std::size_t>(hosts, 16); ++n)
    {
        fleet.partition(0, n, true);
        fleet.run_for(20s);
        fleet.partition(0, n, false);
    }
    std::printf("cut %zu: one link at a time, 20 s each, 1%% loss, false "
                "deaths %llu\n",
                hosts,
                static_cast<unsigned long long>(deaths_in(fleet) - before));
}

void measure_death(std::size_t hosts)
{
    auto run = experiment{hosts, 0.0};
    auto& fleet = run.fleet();
    start_all(fleet);
    run_until_alive(fleet);
    fleet.run_for(20s);
    fleet.stop(2);
    auto const begun = fleet.now();
    auto known = std::size_t{0};
    while (known + 1 < hosts && fleet.now() - begun < 120s)
    {
        fleet.run_for(100ms);
        known = 0;
        for (auto n = std::size_t{0}; n < hosts; ++n)
        {
            known += n != 2 && fleet.view(n, 2) == "dead" ? 1 : 0;
        }
    }
    std::printf("death %zu: known to all after %.1f s\n", hosts,
                to_seconds(fleet.now() - begun));
}

} // namespace

/// Arguments: numbers of hosts; none means all sizes.
auto main(int argc, char** argv) -> int
{
    auto sizes = std::vector<std::size_t>{};
    for (auto n = 1; n < argc; ++n)
    {
        sizes.push_back(std::stoul(argv[n]));
    }
    if (sizes.empty())
    {
        sizes = {8, 32, 128, 360};
    }
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    for (auto const hosts : sizes)
    {
        measure_cost(hosts);
        measure_death(hosts);
        if (hosts <= largest_with_loss)
        {
            measure_loss(hosts, 0.01);
            measure_loss(hosts, 0.05);
            measure_cut(hosts);
        }
    }
    return 0;
}
