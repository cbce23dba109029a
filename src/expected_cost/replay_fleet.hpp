#pragma once

#include "dispatch/placement.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

/// Test support: prompts at many hosts and at targets of unequal speed, which
/// prefill one prompt at a time beside their streams. Hosts hear of each
/// other's load by late digests. The same arrivals are placed by outstanding
/// prefill (the baseline) or by expected cost.
namespace primrosedeal::expected_cost
{

constexpr auto domains = std::size_t{4};
constexpr auto slots = 16U;
constexpr auto memory = std::uint64_t{200000};
constexpr auto objective = duration{4500ms};
constexpr auto tokens_per_second = 5000.0;
constexpr auto event_us = 30000.0;

struct scenario
{
    std::size_t hosts = 8;
    std::size_t targets = 36;
    /// Prompts a second for each target.
    double rate = 0.35;
    bool uneven_speeds = false;
    bool uneven_demand = false;
    /// One target in 12 turns four times slower.
    bool turns_slow = false;
    /// Interval between the digests of a host.
    duration digest_period = 100ms;
    duration length = 20s;
};

struct result
{
    double mean = 0;
    double p99 = 0;
    double in_objective = 0;
    double crossing = 0;
};

auto to_duration(double seconds) -> duration
{
    return duration{static_cast<duration::rep>(seconds * 1e6)};
}

class replay
{
public:
    replay(scenario const& its, bool by_cost)
        : its_(its), by_cost_(by_cost), hosts_(its.hosts), state_(its.targets)
    {
        for (auto i = std::size_t{0}; i < its.targets; ++i)
        {
            auto it = directory::listed_target{};
            it.id = target_id{"t" + std::to_string(i)};
            it.domain = domain_of(i);
            it.slots = slots;
            targets_.push_back(it);
            constexpr auto speeds = std::array{0.6, 1.0, 1.6};
            state_[i].speed =
                its.uneven_speeds ? speeds.at(i / domains % speeds.size()) : 1;
        }
        for (auto i = std::size_t{0}; i < its.hosts; ++i)
        {
            hosts_[i].id = host_id{"h" + std::to_string(i)};
            hosts_[i].domain = domain_of(i);
            at(to_duration(random_.unit() * to_seconds(its.digest_period)),
               [this, i] { send_digest(i); });
        }
        at(duration{}, [this] { arrive(); });
        at(its.length / 2, [this] { turn_slow(); });
    }

    auto run() -> result
    {
        while (!queue_.empty())
        {
            auto const it = queue_.top();
            queue_.pop();
            now_ = it.at;
            it.run();
        }
        std::sort(times_.begin(), times_.end());
        auto const count = static_cast<double>(times_.size());
        auto out = result{};
        for (auto const it : times_)
        {
            out.mean += it / count;
            out.in_objective += it <= to_seconds(objective) ? 1 / count : 0;
        }
        out.p99 = times_[times_.size() * 99 / 100];
        out.crossing = static_cast<double>(crossed_) / count;
        return out;
    }

private:
    struct event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> run;

        friend auto operator<(event const& a, event const& b) -> bool
        {
            return std::tie(a.at, a.order) > std::tie(b.at, b.order);
        }
    };

    struct prompt
    {
        std::size_t host = 0;
        std::size_t target = 0;
        dispatch::work_size size;
        std::uint64_t events_left = 0;
        std::uint64_t events = 0;
        stated_output stated;
        time_point arrived;
        expected_cost::run cost;
    };

    struct replay_host
    {
        host_id id;
        domain_id domain;
        std::uint64_t sequence = 0;
        std::uint64_t sent_change = 0;
        std::map<target_id, dispatch::target_load> sent;
        dispatch::load_tracker loads;
        fleet::fleet_view others;
        service_estimates costs;
        std::uint64_t requests = 0;
    };

    struct target_state
    {
        double speed = 1;
        bool busy = false;
        std::uint32_t running = 0;
        std::deque<std::shared_ptr<prompt>> waiting;
    };

    static auto domain_of(std::size_t i) -> domain_id
    {
        return domain_id{"d" + std::to_string(i % domains)};
    }

    void at(duration after, std::function<void()> run)
    {
        queue_.push({now_ + after, ++order_, std::move(run)});
    }

    /// About log-normal.
    static auto noise(random_source& random, double spread) -> double
    {
        return std::exp(spread * (random.unit() + random.unit() - 1) * 2.4);
    }

    void turn_slow()
    {
        for (auto i = std::size_t{8}; its_.turns_slow && i < its_.targets;
             i += 12)
        {
            state_[i].speed /= 4;
        }
    }

    void arrive()
    {
        if (now_ > time_point{its_.length})
        {
            return;
        }
        auto const rate = its_.rate * static_cast<double>(its_.targets);
        at(to_duration(-std::log(1 - random_.unit()) / rate),
           [this] { arrive(); });
        auto it = std::make_shared<prompt>();
        it->host = random_.below(its_.hosts);
        // The first domain has 0.55 of the demand.
        if (its_.uneven_demand && random_.unit() < 0.4)
        {
            it->host -= it->host % domains;
        }
        it->size = {token_count{3500 + random_.below(3000)}, token_count{8400}};
        auto const is_long = random_.unit() < 0.05;
        it->events = is_long ? 1400 : 80 + random_.below(120);
        it->events_left = it->events;
        it->stated = {
            it->size.output,
            token_count{static_cast<std::uint64_t>(std::min(
                8400.0, 6 * static_cast<double>(it->events) *
                            noise(random_, random_.unit() < 0.2 ? 2 : 0.2)))}};
        it->arrived = now_;
        send(it);
    }

    void send(std::shared_ptr<prompt> const& it)
    {
        auto& host = hosts_[it->host];
        ++host.requests;
        host.costs.arrived(static_cast<double>(it->size.prompt.value()), now_);
        host.costs.others = {host.others.live_hosts(),
                             host.others.request_rate(service_id{"s"}, now_),
                             std::clamp(host.others.mean_age(now_),
                                        duration{20ms}, duration{800ms})};
        auto request = dispatch::placement_request{};
        request.size = it->size;
        request.own_domain = host.domain;
        request.target_memory = memory;
        request.expected_output = host.costs.model.expected({}, it->stated);
        request.objective_left = objective;
        auto const found = dispatch::place({targets_, healthy_, host.loads,
                                            host.others, no_limits_, no_gate_,
                                            by_cost_ ? &host.costs : nullptr},
                                           request, now_, placement_random_);
        if (!found)
        {
            times_.push_back(2 * to_seconds(objective));
            return;
        }
        it->target = std::stoul(found->id.value().substr(1));
        crossed_ += found->domain == host.domain ? 0 : 1;
        auto const pending = pending_at(host, found->id);
        it->cost = host.costs.begin(
            *found, static_cast<double>(it->size.prompt.value()),
            request.expected_output, false, pending, now_);
        host.loads.sent(found->id, it->size);
        state_[it->target].waiting.push_back(it);
        prefill_next(it->target);
    }

    static auto pending_at(replay_host const& host, target_id const& id)
        -> pending_tokens
    {
        return {host.loads.at_target(id).pending_prefill_tokens,
                host.others.load_of(id).pending_prefill_tokens};
    }

    void prefill_next(std::size_t target)
    {
        auto& state = state_[target];
        if (state.busy || state.waiting.empty())
        {
            return;
        }
        state.busy = true;
        auto const it = state.waiting.front();
        state.waiting.pop_front();
        auto const seconds = static_cast<double>(it->size.prompt.value()) /
                             tokens_per_second / state.speed *
                             noise(noise_random_, 0.15);
        at(to_duration(seconds), [this, it] { prefilled(it); });
    }

    void prefilled(std::shared_ptr<prompt> const& it)
    {
        auto& host = hosts_[it->host];
        auto const& target = targets_[it->target];
        host.loads.prefilled(target.id, it->size);
        host.costs.on_event(it->cost, target, running_at(host, target.id),
                            now_);
        times_.push_back(to_seconds(now_ - it->arrived));
        ++state_[it->target].running;
        state_[it->target].busy = false;
        prefill_next(it->target);
        generate(it);
    }

    static auto running_at(replay_host const& host, target_id const& id)
        -> std::uint32_t
    {
        return host.loads.at_target(id).requests +
               host.others.load_of(id).requests;
    }

    void generate(std::shared_ptr<prompt> const& it)
    {
        auto& state = state_[it->target];
        auto const events =
            std::min<std::uint64_t>(events_observed, it->events_left);
        auto const pace = 1 + 0.5 * state.running / slots + state.busy;
        auto const us =
            event_us * pace / state.speed * noise(noise_random_, 0.15);
        at(to_duration(us * static_cast<double>(events) / 1e6),
           [this, it, events]
           {
               auto& host = hosts_[it->host];
               auto const& target = targets_[it->target];
               for (auto i = std::uint64_t{0}; i < events; ++i)
               {
                   host.costs.on_event(it->cost, target,
                                       running_at(host, target.id), now_);
               }
               it->events_left -= events;
               if (it->events_left > 0)
               {
                   generate(it);
                   return;
               }
               host.costs.model.observe({}, it->stated, it->events);
               host.costs.end(it->cost, target.id, now_);
               host.loads.ended(target.id, it->size, true);
               --state_[it->target].running;
           });
    }

    void send_digest(std::size_t from)
    {
        auto& host = hosts_[from];
        if (now_ > time_point{its_.length})
        {
            return;
        }
        at(its_.digest_period, [this, from] { send_digest(from); });
        if (host.sequence > 0 && host.sent_change == host.loads.change_count())
        {
            return;
        }
        auto it = std::make_shared<fleet::digest>();
        it->host = host.id;
        it->process_start = incarnation{1};
        it->sequence = ++host.sequence;
        it->partial = host.sequence > 1;
        it->counts[service_id{"s"}].requests = host.requests;
        host.sent_change = host.loads.change_count();
        for (auto const& [id, load] : host.sent)
        {
            if (!host.loads.all().contains(id))
            {
                it->loads[id] = {};
            }
        }
        for (auto const& [id, load] : host.loads.all())
        {
            auto const& before = host.sent[id];
            if (before.requests != load.requests ||
                before.pending_prefill_tokens != load.pending_prefill_tokens)
            {
                it->loads[id] = load;
            }
        }
        host.sent = host.loads.all();
        at(20ms + to_duration(random_.unit() * 0.02),
           [this, it, from] { receive(*it, from); });
    }

    void receive(fleet::digest const& it, std::size_t from)
    {
        for (auto i = std::size_t{0}; i < hosts_.size(); ++i)
        {
            auto& host = hosts_[i];
            if (i == from || !host.others.apply(it, now_) || !by_cost_)
            {
                continue;
            }
            for (auto const& change : host.others.prefill_changes())
            {
                auto const at = std::stoul(change.at.value().substr(1));
                host.costs.on_digest(
                    {it.host, targets_[at],
                     change.before.pending_prefill_tokens,
                     change.after.pending_prefill_tokens,
                     change.after.requests < change.before.requests},
                    pending_at(host, change.at), now_);
            }
        }
    }

    scenario its_;
    bool by_cost_;
    time_point now_{};
    std::uint64_t order_ = 0;
    random_source random_{20261206};
    random_source noise_random_{11};
    random_source placement_random_{7};
    std::priority_queue<event> queue_;
    std::vector<directory::listed_target> targets_;
    std::vector<replay_host> hosts_;
    std::vector<target_state> state_;
    std::vector<double> times_;
    std::uint64_t crossed_ = 0;
    dispatch::failure_detector healthy_;
    request_limit::limiter no_limits_;
    rejection_limit::gate no_gate_;
};

} // namespace primrosedeal::expected_cost
