#include "admission/admitter.hpp"
#include "event_queue.hpp"
#include "fleet.hpp"
#include "routing/router.hpp"
#include "statistics.hpp"
#include "workload.hpp"

#include <cstdio>
#include <deque>
#include <malloc.h>
#include <map>
#include <string>

// Part one: one organisation asks for three times its limits through eight
// hosts; the balancer is even, then sends all to one host, then two halves are
// cut off from each other. Part two: engines under one and two times their
// capacity, with and without early refusal.

using namespace primrosedeal;
using namespace primrosedeal::bench;

namespace
{

constexpr auto hosts = 8U;
constexpr auto digest_interval = duration{250ms};
constexpr auto digest_delay = duration{100ms};

auto host_name(std::uint32_t n) -> host_id
{
    return host_id{"host-" + std::to_string(n)};
}

/// Hosts that tell each other their usage, unless a cut is between them.
class gossip
{
public:
    explicit gossip(event_queue& queue) : queue_(queue)
    {
        auto settings = admission::admitter_settings{};
        settings.sharing.hosts = hosts;
        for (auto n = 0U; n < hosts; ++n)
        {
            admitters_.emplace_back(settings);
            queue_.after(digest_interval * n / hosts, [this, n] { tell(n); });
        }
    }

    auto at(std::uint32_t n) -> admission::admitter&
    {
        return admitters_[n];
    }

    void cut(bool it)
    {
        cut_ = it;
    }

private:
    void tell(std::uint32_t from)
    {
        auto const it = admitters_[from].make_digest(queue_.now());
        for (auto n = 0U; n < hosts; ++n)
        {
            auto const apart = cut_ && n % 2 != from % 2;
            if (n != from && !apart)
            {
                queue_.after(digest_delay,
                             [this, n, from, it] {
                                 admitters_[n].on_digest(host_name(from), it,
                                                         queue_.now());
                             });
            }
        }
        queue_.after(digest_interval, [this, from] { tell(from); });
    }

    event_queue& queue_;
    std::deque<admission::admitter> admitters_;
    bool cut_ = false;
};

class limit_run
{
public:
    void play(double concurrency, double tokens_per_second)
    {
        limits_ = {concurrency, tokens_per_second, 1};
        queue_.after(1s, [this] { arrive(); });
        phase("even balancer", 20s);
        one_host_ = true;
        auto const moved = queue_.now();
        full_at_.reset();
        phase("all at one host", 20s);
        std::printf("  at 90%% of the limit again after %.2f s\n",
                    full_at_ ? to_seconds(*full_at_ - moved) : -1.0);
        one_host_ = false;
        phase("even again", 20s);
        all_.cut(true);
        phase("cut in two", 60s);
        all_.cut(false);
        phase("healed", 20s);
    }

private:
    void phase(char const* name, duration length)
    {
        most_ = 0;
        spent_.clear();
        most_spent_ = 0;
        queue_.run_until(queue_.now() + length);
        std::printf("  %-16s most in flight %.3f, most tokens in 10 s %.3f, "
                    "last 10 s: in flight %.3f, tokens %.3f of the limit\n",
                    name, most_ / limits_.concurrency,
                    most_spent_ / 10 / limits_.tokens_per_second,
                    in_flight_ / limits_.concurrency,
                    window() / 10 / limits_.tokens_per_second);
    }

    [[nodiscard]] auto last_second() const -> double
    {
        auto sum = 0.0;
        for (auto const& it : spent_)
        {
            sum += it.first > queue_.now() - 1s ? it.second : 0;
        }
        return sum;
    }

    auto window() -> double
    {
        auto sum = 0.0;
        while (!spent_.empty() && spent_.front().first < queue_.now() - 10s)
        {
            spent_.pop_front();
        }
        for (auto const& it : spent_)
        {
            sum += it.second;
        }
        return sum;
    }

    void arrive()
    {
        auto const n =
            one_host_ ? 0U : static_cast<std::uint32_t>(random_.below(hosts));
        auto it = admission::admission_request{};
        it.organisation = organisation_id{"org"};
        it.limits = limits_;
        it.estimated = token_count{200 + random_.below(1600)};
        it.deadline = queue_.now() + 10s;
        if (std::holds_alternative<admission::admitted>(
                all_.at(n).admit(it, queue_.now())))
        {
            begin(n, it);
        }
        queue_.after(duration{random_.below(10'000)}, [this] { arrive(); });
    }

    void begin(std::uint32_t n, admission::admission_request const& it)
    {
        in_flight_ += 1;
        most_ = std::max(most_, in_flight_);
        spent_.emplace_back(queue_.now(),
                            static_cast<double>(it.estimated.value()));
        auto const full = in_flight_ >= 0.9 * limits_.concurrency ||
                          last_second() >= 0.9 * limits_.tokens_per_second;
        if (!full_at_ && full)
        {
            full_at_ = queue_.now();
        }
        most_spent_ = std::max(most_spent_, window());
        auto const length = duration{200'000 + random_.below(2'000'000)};
        queue_.after(length,
                     [this, n, it]
                     {
                         in_flight_ -= 1;
                         all_.at(n).finished(it.organisation, it.estimated,
                                             it.estimated, queue_.now());
                     });
    }

    event_queue queue_;
    gossip all_{queue_};
    random_source random_{31};
    admission::organisation_limits limits_;
    bool one_host_ = false;
    double in_flight_ = 0;
    double most_ = 0;
    double most_spent_ = 0;
    std::optional<time_point> full_at_;
    std::deque<std::pair<time_point, double>> spent_;
};

struct overload_figures
{
    std::vector<double> first_tokens;
    std::map<std::string, std::size_t> refusals;
    std::size_t good = 0;
    std::size_t asked = 0;
    std::vector<double> admitted;
    std::vector<double> asked_of;
};

/// Engines behind eight hosts; a request is good if its first token comes
/// within the time that a caller waits.
class overload_run
{
public:
    overload_run(double load, bool refuse_early)
        : refuse_early_(refuse_early), engines_(queue_, settings())
    {
        figures_.admitted.resize(organisation_weights().size());
        figures_.asked_of.resize(organisation_weights().size());
        routers_.resize(hosts, routing::router{routing::router_settings{}});
        auto workload = workload_settings{};
        workload.length = run_length;
        workload.requests_per_second = capacity * load;
        workload.long_share = 0;
        arrivals_ = make_workload(workload);
    }

    void play()
    {
        engines_.publish(
            [this](std::uint32_t target, routing::load_report const& report)
            {
                for (auto& it : routers_)
                {
                    it.reported(engines_.targets()[target].id, report);
                }
            },
            [](std::uint32_t, cache_batch const&) {});
        for (auto const& it : arrivals_)
        {
            queue_.at(it.at, [this, &it] { arrive(it); });
        }
        queue_.at(time_point{warm_up}, [this] { sample(); });
        queue_.run_until(time_point{run_length});
    }

    void print(double load) const
    {
        auto const& it = figures_;
        std::printf("%4.1f %-5s asked %5zu good %5zu a second %6.1f first "
                    "token p95 %6.2f",
                    load, refuse_early_ ? "early" : "never", it.asked, it.good,
                    static_cast<double>(it.good) /
                        to_seconds(run_length - warm_up),
                    quantile(it.first_tokens, 0.95));
        for (auto const& [why, n] : it.refusals)
        {
            std::printf(" %s %zu", why.c_str(), n);
        }
        std::printf("\n     slots in use in %%: %.0f", 100 * busy_ / samples_);
        std::printf("\n     admitted share by organisation in %%:");
        for (auto n = 0U; n < it.admitted.size(); ++n)
        {
            std::printf(" %.0f", 100 * it.admitted[n] / it.asked_of[n]);
        }
        std::printf("\n");
    }

private:
    static constexpr auto run_length = duration{240s};
    static constexpr auto warm_up = duration{80s};
    static constexpr auto patience = duration{4s};
    /// Requests a second that the engines of this run can serve.
    static constexpr auto capacity = 26.0;

    static auto settings() -> fleet_settings
    {
        auto it = fleet_settings{};
        it.targets = 6;
        it.engine.prefill_chunk = 2'048;
        return it;
    }

    void sample()
    {
        for (auto n = 0U; n < engines_.size(); ++n)
        {
            busy_ += engines_.engine(n).running() /
                     static_cast<double>(settings().engine.slots);
            samples_ += 1;
        }
        queue_.after(1s, [this] { sample(); });
    }

    void arrive(request const& item)
    {
        auto const counts = item.at > time_point{warm_up};
        auto& its = figures_;
        its.asked += counts ? 1 : 0;
        its.asked_of[item.organisation] += counts ? 1 : 0;
        auto ask = admission::admission_request{};
        ask.organisation =
            organisation_id{organisation_name(item.organisation)};
        ask.limits = {10'000, 1e9, 1};
        ask.estimated =
            token_count{item.prompt->size() * tokens_per_block + item.length};
        ask.priority = item.priority;
        ask.deadline = item.at + patience;
        auto& door = all_.at(item.host);
        auto& router = routers_[item.host];
        if (refuse_early_)
        {
            door.set_target_backlog(pressure_of(router));
            auto const made = door.admit(ask, queue_.now());
            if (auto const* no = std::get_if<admission::refused>(&made))
            {
                its.refusals[std::string{to_string(no->code)}] += counts;
                return;
            }
        }
        dispatch(item, ask, counts);
    }

    void dispatch(request const& item, admission::admission_request const& ask,
                  bool counts)
    {
        auto& router = routers_[item.host];
        auto work = routing::routing_request{};
        work.model = model_id{"fitting"};
        work.version = model_version{"1"};
        work.blocks = *item.prompt;
        work.priority = item.priority;
        work.own_domain = domain_of(item.host, 3);
        work.resume = !refuse_early_;
        auto const made =
            router.choose(work, engines_.targets(), queue_.now(), random_);
        auto const* yes = std::get_if<routing::choice>(&made);
        if (yes == nullptr)
        {
            figures_.refusals["no room at targets"] += counts ? 1 : 0;
            all_.at(item.host).finished(ask.organisation, ask.estimated,
                                        token_count{0}, queue_.now());
            return;
        }
        figures_.admitted[item.organisation] += counts ? 1 : 0;
        auto const target = yes->target;
        router.dispatched(target, work, queue_.now());
        auto to = engine_work{};
        to.key = item.key;
        to.prompt = item.prompt;
        to.length = item.length;
        to.priority = item.priority;
        engines_.engine(engines_.index(target))
            .submit(to, [this, &item, ask, target, counts](engine_event what,
                                                           std::uint32_t offset)
                    { on_engine(item, ask, target, counts, what, offset); });
    }

    void on_engine(request const& item, admission::admission_request const& ask,
                   target_id const& target, bool counts, engine_event what,
                   std::uint32_t offset)
    {
        auto const now = queue_.now();
        if (what == engine_event::finished)
        {
            routers_[item.host].finished(target, now);
            all_.at(item.host).finished(ask.organisation, ask.estimated,
                                        ask.estimated, now);
        }
        if (what == engine_event::token && offset == 0 && counts)
        {
            figures_.first_tokens.push_back(to_seconds(now - item.at));
            figures_.good += now - item.at <= patience ? 1 : 0;
        }
    }

    auto pressure_of(routing::router const& router) -> admission::target_backlog
    {
        auto it = admission::target_backlog{};
        it.service_time = 11s;
        for (auto const& target : engines_.targets())
        {
            auto const load = router.load().expected(target.id, queue_.now());
            it.waiting += std::max(load - target.slots, 0.0);
            it.slots += target.slots;
        }
        return it;
    }

    bool refuse_early_;
    event_queue queue_;
    gossip all_{queue_};
    fleet engines_;
    std::vector<routing::router> routers_;
    std::vector<request> arrivals_;
    random_source random_{41};
    double busy_ = 0;
    double samples_ = 0;
    overload_figures figures_;
};

/// Heap that an admitter takes for each organisation that is active on all
/// hosts.
void print_memory()
{
    constexpr auto organisations = 8'000U;
    auto settings = admission::admitter_settings{};
    settings.sharing.hosts = hosts;
    auto const before = mallinfo2().uordblks;
    auto it = admission::admitter{settings};
    auto told = admission::usage_digest{};
    for (auto n = 0U; n < organisations; ++n)
    {
        auto ask = admission::admission_request{};
        ask.organisation = organisation_id{organisation_name(n)};
        ask.estimated = token_count{100};
        ask.deadline = time_point{10s};
        it.admit(ask, time_point{1s});
        told.usages.push_back({ask.organisation, 1, 100, false, false});
    }
    auto const alone = mallinfo2().uordblks - before;
    for (auto n = 1U; n < hosts; ++n)
    {
        it.on_digest(host_name(n), told, time_point{1s});
    }
    auto const told_size = organisations * sizeof(told.usages[0]);
    auto const all = mallinfo2().uordblks - before - told_size;
    std::printf("bytes for each active organisation: %zu alone, %zu with "
                "usage of %u other hosts (%zu tracked)\n",
                alone / organisations - sizeof(told.usages[0]),
                all / organisations, hosts - 1, it.tracked_organisations());
}

} // namespace

auto main() -> int
{
    print_memory();
    std::printf("concurrency limit 64\n");
    limit_run{}.play(64, 1e9);
    std::printf("token limit 40000 a second\n");
    limit_run{}.play(1e9, 40'000);
    for (auto const early : {false, true})
    {
        for (auto const load : {0.5, 1.0, 2.0})
        {
            auto it = overload_run{load, early};
            it.play();
            it.print(load);
        }
    }
    return 0;
}
