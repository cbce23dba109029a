#pragma once

#include "core/random.hpp"
#include "rollout/rollout_table.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Test support: the tables of all hosts of a fleet, with demand, digests, the
/// status in the store and targets of two versions, without a network.
namespace primrosedeal::rollout
{

/// How the new version is bad.
struct bad_version
{
    /// Part of its responses that is bad; zero: it is good.
    double part = 0;
    /// Bad responses take this many times as long; zero: they fail.
    double slower = 0;
    /// Bad only from this time after the order on.
    duration from{};
    /// Bad only while it gets more than this share of the requests.
    double above_share = 0;
    /// Bad only on this route.
    std::string route;
};

struct replay_options
{
    std::size_t hosts = 8;
    duration length = 16s;
    double requests_per_host = 6;
    bad_version bad;
    /// Part of the digests that are lost.
    double lost_digests = 0;
    /// Hosts of the first of three domains neither hear the others nor reach
    /// the store in this time after the order.
    duration cut_from{};
    duration cut_until{};
    /// Part of the responses of both versions that fail.
    double usual_failures = 0;
    std::uint64_t seed = 1;
};

struct replay_result
{
    std::uint64_t requests = 0;
    /// Until the deadline, or the end of the replay before it.
    std::uint64_t requests_until_deadline = 0;
    std::uint64_t sent_to_new = 0;
    std::uint64_t bad_responses = 0;
    /// Requests sent to the new version before the first host evaluated it.
    std::uint64_t sent_before_evaluation = 0;
    std::optional<duration> fiftieth_bad_at;
    std::optional<duration> last_sent_to_new_at;
    std::optional<duration> final_at;
    std::optional<state> status;
    /// Requests outstanding at old targets when the status became completed.
    int outstanding_at_completion = 0;
    /// The status changed after it had been final.
    bool regressed = false;
};

class replay_fleet
{
public:
    explicit replay_fleet(replay_options its)
        : options_(std::move(its)), random_(options_.seed)
    {
        for (auto i = std::size_t{0}; i < options_.hosts; ++i)
        {
            hosts_.push_back(std::make_unique<host>());
            hosts_.back()->id = host_id{"h" + std::to_string(1000 + i)};
            hosts_.back()->table.apply(service, the_order(), start);
            // Hosts see the order and their ticks at different times.
            hosts_.back()->next_tick = start + duration{random_.below(250'000)};
            hosts_.back()->next_digest =
                start + duration{random_.below(250'000)};
        }
    }

    auto run() -> replay_result
    {
        auto const end = start + 2 * options_.length;
        for (now_ = start; now_ < end && !settled(); now_ += step)
        {
            deliver_status();
            end_requests();
            for (auto i = std::size_t{0}; i < hosts_.size(); ++i)
            {
                run_host(i);
            }
        }
        return result_;
    }

private:
    static constexpr auto step = duration{10ms};
    static constexpr auto start = time_point{100s};
    static inline auto const service = service_id{"s"};
    static inline auto const old_version = software_version{"v1"};
    static inline auto const new_version = software_version{"v2"};

    struct host
    {
        host_id id;
        rollout_table table{rollout_bounds{}};
        time_point next_tick{};
        time_point next_digest{};
        int outstanding = 0;
        /// As reported in the digests of the others, and when they came.
        std::map<std::size_t, std::pair<int, time_point>> heard;
        bool evaluated = false;
    };

    struct open_request
    {
        time_point at;
        std::size_t host = 0;
        bool is_new = false;
        /// The end of a stream, whose first event was observed before.
        bool is_end = false;
        observation it;
        duration rest{};

        friend auto operator<(open_request const& a, open_request const& b)
            -> bool
        {
            return a.at > b.at;
        }
    };

    [[nodiscard]] auto the_order() const -> order
    {
        return {entry_revision{10}, new_version, options_.length};
    }

    [[nodiscard]] auto is_cut(std::size_t n) const -> bool
    {
        constexpr auto domains = std::size_t{3};
        return n % domains == 0 && now_ >= start + options_.cut_from &&
               now_ < start + options_.cut_until;
    }

    /// All hosts have known the final status for some time.
    [[nodiscard]] auto settled() const -> bool
    {
        return result_.final_at &&
               now_ - start > std::max(*result_.final_at, options_.cut_until) +
                                  duration{3s};
    }

    void deliver_status()
    {
        if (!result_.status)
        {
            return;
        }
        for (auto i = std::size_t{0}; i < hosts_.size(); ++i)
        {
            if (!is_cut(i) && now_ >= status_at_ + 50ms &&
                !status_seen_.contains(i))
            {
                status_seen_.insert(i);
                hosts_[i]->table.apply(
                    service,
                    status{*result_.status, new_version, status_revision_},
                    now_);
            }
        }
    }

    void end_requests()
    {
        while (!open_.empty() && open_.top().at <= now_)
        {
            auto it = open_.top();
            open_.pop();
            auto& at = *hosts_[it.host];
            if (!it.is_end)
            {
                at.table.observe(service, it.is_new ? new_version : old_version,
                                 it.it, now_);
            }
            if (it.rest > 0s)
            {
                it.at = now_ + it.rest;
                it.rest = {};
                it.is_end = true;
                open_.push(it);
            }
            else if (!it.is_new)
            {
                --at.outstanding;
            }
        }
    }

    void run_host(std::size_t n)
    {
        auto& it = *hosts_[n];
        if (now_ >= it.next_digest)
        {
            it.next_digest += 500ms;
            send_digest(n);
        }
        if (now_ >= it.next_tick)
        {
            it.next_tick += 250ms;
            tick(n);
        }
        auto const expected = options_.requests_per_host * to_seconds(step);
        for (auto left = expected; left > 0; left -= 1)
        {
            if (random_.unit() < std::min(left, 1.0))
            {
                ask(n);
            }
        }
    }

    void send_digest(std::size_t n)
    {
        auto const reports = hosts_[n]->table.reports(now_);
        for (auto i = std::size_t{0}; i < hosts_.size(); ++i)
        {
            if (i == n || is_cut(i) != is_cut(n) ||
                random_.unit() < options_.lost_digests)
            {
                continue;
            }
            hosts_[i]->heard[n] = {hosts_[n]->outstanding, now_};
            hosts_[i]->table.merge(hosts_[n]->id, reports, now_);
        }
    }

    void tick(std::size_t n)
    {
        auto& it = *hosts_[n];
        auto fleet = fleet_state{};
        auto view = service_view{true, {old_version}, 0};
        fleet.known_hosts = hosts_.size();
        fleet.rank = n;
        fleet.may_write = !is_cut(n);
        fleet.all_heard = true;
        view.outstanding_at_others = static_cast<std::uint64_t>(it.outstanding);
        for (auto i = std::size_t{0}; i < hosts_.size(); ++i)
        {
            if (i == n)
            {
                continue;
            }
            auto const found = it.heard.find(i);
            auto const at =
                found == it.heard.end() ? start : found->second.second;
            if (found != it.heard.end() && now_ - at <= 2500ms)
            {
                fleet.heard.push_back(hosts_[i]->id);
                fleet.hosts_ahead += i < n ? 1 : 0;
                view.outstanding_at_others +=
                    static_cast<std::uint64_t>(found->second.first);
            }
            else
            {
                fleet.all_heard &= now_ - at >= 5s;
            }
        }
        it.table.update(service, view, fleet, now_);
        for (auto const& each : it.table.take_changes())
        {
            evaluated_ |= !std::holds_alternative<waiting>(each.to) &&
                          !std::holds_alternative<limited>(each.to);
        }
        for (auto const& each : it.table.next_writes(fleet, now_))
        {
            write(n, each);
        }
    }

    void write(std::size_t n, status_write const& it)
    {
        // The condition on the revision of the status holds only for a host
        // that has seen the last write.
        if (result_.status && !status_seen_.contains(n))
        {
            return;
        }
        result_.regressed |=
            result_.status && *result_.status != state::in_progress;
        result_.status = it.what;
        status_revision_ = entry_revision{status_revision_.value() + 1};
        status_at_ = now_;
        status_seen_.clear();
        if (it.what != state::in_progress)
        {
            result_.final_at = now_ - start;
        }
        if (it.what == state::completed)
        {
            for (auto const& each : hosts_)
            {
                result_.outstanding_at_completion += each->outstanding;
            }
        }
    }

    [[nodiscard]] auto is_bad(std::string const& route) const -> bool
    {
        auto const& bad = options_.bad;
        return now_ >= start + bad.from &&
               (bad.route.empty() || bad.route == route) &&
               recent_new_ >= bad.above_share * recent_all_ && bad.part > 0;
    }

    void ask(std::size_t n)
    {
        auto& at = *hosts_[n];
        ++result_.requests;
        auto const in_time = now_ < start + options_.length;
        result_.requests_until_deadline += in_time ? 1 : 0;
        at.table.request(service);
        auto const to = at.table.permitted(service, {old_version, new_version});
        auto const is_new = to.preferred.contains(new_version);
        constexpr auto memory = 0.99;
        recent_all_ = memory * recent_all_ + 1;
        recent_new_ = memory * recent_new_ + (is_new ? 1 : 0);
        at.table.sent(service, is_new ? new_version : old_version);
        auto it = open_request{};
        it.host = n;
        it.is_new = is_new;
        constexpr auto rare = 0.2;
        constexpr auto streamed = 0.3;
        it.it.route = random_.unit() < rare ? "rare" : "common";
        it.it.failed = random_.unit() < options_.usual_failures;
        // The sum of uniform numbers is about normal; a spread of 0.5.
        auto sum = 0.0;
        for (auto i = 0; i < 12; ++i)
        {
            sum += random_.unit() - 0.5;
        }
        auto seconds = 0.1 * std::exp(0.5 * sum);
        if (is_new)
        {
            ++result_.sent_to_new;
            result_.sent_before_evaluation += evaluated_ ? 0 : 1;
            result_.last_sent_to_new_at = now_ - start;
            if (is_bad(it.it.route) && random_.unit() < options_.bad.part)
            {
                it.it.failed |= options_.bad.slower == 0;
                seconds *= std::max(options_.bad.slower, 1.0);
                count_bad();
            }
        }
        else
        {
            ++at.outstanding;
        }
        it.it.took = duration{static_cast<duration::rep>(seconds * 1e6)};
        it.at = now_ + it.it.took;
        it.rest = random_.unit() < streamed
                      ? duration{3s} + duration{random_.below(4'000'000)}
                      : duration{};
        open_.push(std::move(it));
    }

    void count_bad()
    {
        constexpr auto fiftieth = 50U;
        if (++result_.bad_responses == fiftieth)
        {
            result_.fiftieth_bad_at = now_ - start;
        }
    }

    replay_options options_;
    random_source random_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::priority_queue<open_request> open_;
    time_point now_{};
    entry_revision status_revision_{10};
    time_point status_at_{};
    std::set<std::size_t> status_seen_;
    bool evaluated_ = false;
    double recent_all_ = 0;
    double recent_new_ = 0;
    replay_result result_;
};

} // namespace primrosedeal::rollout
