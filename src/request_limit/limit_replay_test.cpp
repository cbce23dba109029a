#include "core/overloaded.hpp"
#include "core/random.hpp"
#include "request_limit/limiter.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

// Replays requests at many hosts and four targets, the first of which states a
// limit. Hosts learn of it by their own responses and by digests, and one rule
// of several divides it.
namespace primrosedeal::request_limit
{

namespace
{

constexpr auto process = incarnation{1};
constexpr auto step = duration{10ms};
constexpr auto limited_at = time_point{5s};
constexpr auto end = time_point{35s};
constexpr auto response_time = duration{30ms};
/// Time until a digest with an observation has reached all hosts.
constexpr auto digest_time = duration{800ms};
/// From then on the arrivals from all hosts count.
constexpr auto known_at = limited_at + 2 * digest_time;
constexpr auto window = duration{4s};
constexpr auto contact_time = duration{3s};

/// Each host may use the whole limit.
struct whole_limit
{
};

/// Each host may use an equal part of the limit, and one request at once.
struct equal_parts
{
};

/// Each host may use the part of the limit that it has of all requests of the
/// last seconds, and one request at once.
struct parts_by_demand
{
};

/// `limiter`.
struct shares_in_a_ring
{
};

using rule =
    std::variant<whole_limit, equal_parts, parts_by_demand, shares_in_a_ring>;

/// What happens to the hosts meanwhile.
enum class disturbance
{
    none,
    /// The hosts are parted into two halves for some time.
    partition,
    /// One host after the other is restarted.
    restarts,
};

struct scenario
{
    std::size_t hosts = 8;
    double limit = 2;
    /// Over all hosts.
    double requests_a_second = 28;
    disturbance with = disturbance::none;
};

struct outcome
{
    /// Most arrivals in a window.
    std::size_t most = 0;
    /// Arrivals a second while it is in force.
    double used = 0;
};

auto operator<<(std::ostream& os, outcome const& it) -> std::ostream&
{
    return os << it.most << " (" << it.used << " a second)";
}

struct replay_host
{
    limit_table limits;
    limiter shares;
    double tokens = 1;
    time_point filled_at{};
    std::deque<time_point> requests;
    /// In a partition, and while it has not received any digest.
    std::size_t side = 0;
    time_point started_at{-10s};
};

class replay
{
public:
    replay(rule by, scenario const& it, std::uint64_t seed)
        : by_(by), scenario_(it), random_(seed), hosts_(it.hosts)
    {
        for (auto i = std::size_t{0}; i < 4; ++i)
        {
            targets_.emplace_back();
            targets_.back().id = target_id{"t" + std::to_string(i)};
            targets_.back().process_start = process;
        }
        for (auto i = std::size_t{0}; i < it.hosts; ++i)
        {
            ids_.emplace_back("edge-" + std::to_string(i));
        }
    }

    auto run() -> outcome
    {
        for (auto now = time_point{}; now < end; now += step)
        {
            disturb(now);
            deliver(now);
            auto const mean = scenario_.requests_a_second * to_seconds(step);
            for (auto left = mean; left > 0; --left)
            {
                if (random_.unit() < left)
                {
                    arrive(random_.below(hosts_.size()), now);
                }
            }
        }
        return result();
    }

private:
    struct pending_response
    {
        std::size_t host = 0;
        time_point sent_at{};
        time_point at{};
    };

    void disturb(time_point now)
    {
        if (scenario_.with == disturbance::partition)
        {
            auto const parted = now >= time_point{12s} && now < time_point{24s};
            for (auto i = std::size_t{0}; i < hosts_.size(); ++i)
            {
                hosts_[i].side = parted ? i % 2 : 0;
            }
        }
        constexpr auto restart_gap = duration{500ms};
        if (scenario_.with == disturbance::restarts && now > time_point{8s} &&
            now.time_since_epoch() % restart_gap == duration{})
        {
            auto& it = hosts_[restarted_++ % hosts_.size()];
            it = {};
            it.started_at = now;
        }
    }

    /// Whether `a` has a current digest of `b`.
    [[nodiscard]] auto live(replay_host const& a, replay_host const& b,
                            time_point now) const -> bool
    {
        return a.side == b.side && now - a.started_at >= digest_time &&
               now - b.started_at >= digest_time;
    }

    void deliver(time_point now)
    {
        while (!responses_.empty() && responses_.front().at <= now)
        {
            auto const it = responses_.front();
            responses_.pop_front();
            auto& host = hosts_[it.host];
            if (host.started_at > it.sent_at)
            {
                continue;
            }
            host.limits.observe({targets_.front().id, process,
                                 request_rate{scenario_.limit}, it.sent_at},
                                now);
            reports_.push_back({it.host, now, now + digest_time});
        }
        while (!reports_.empty() && reports_.front().at <= now)
        {
            auto const it = reports_.front();
            reports_.pop_front();
            for (auto& host : hosts_)
            {
                if (live(host, hosts_[it.host], now))
                {
                    host.limits.merge(
                        {targets_.front().id,
                         {process, request_rate{scenario_.limit}, it.sent_at},
                         {}},
                        now);
                }
            }
        }
    }

    void arrive(std::size_t n, time_point now)
    {
        auto& host = hosts_[n];
        host.requests.push_back(now);
        while (host.requests.front() < now - window)
        {
            host.requests.pop_front();
        }
        auto const usable =
            permits(n, now) ? targets_.size() : targets_.size() - 1;
        if (random_.below(usable) != usable - 1 || usable < targets_.size())
        {
            return;
        }
        if (!host.limits.empty())
        {
            host.tokens -= 1;
        }
        host.shares.sent(targets_.front().id, now);
        if (now < limited_at)
        {
            return;
        }
        // A restart excuses the host for as long as others may take to
        // reach it.
        if (now - host.started_at >= contact_time)
        {
            arrivals_.push_back(now);
        }
        responses_.push_back({n, now, now + response_time});
    }

    /// Whether the host may send to the limited target.
    auto permits(std::size_t n, time_point now) -> bool
    {
        auto& host = hosts_[n];
        if (!host.limits.find(targets_.front().id, process))
        {
            return true;
        }
        if (std::holds_alternative<shares_in_a_ring>(by_))
        {
            auto others = std::vector<host_id>{};
            for (auto i = std::size_t{0}; i < hosts_.size(); ++i)
            {
                if (i != n && live(host, hosts_[i], now))
                {
                    others.push_back(ids_[i]);
                }
            }
            host.shares.update(host.limits, targets_,
                               group_of(ids_[n], others, ids_.size()), now);
            return host.shares.permits(targets_.front().id, now);
        }
        auto const rate = scenario_.limit * part_of_limit(host);
        host.tokens =
            std::min(host.tokens + rate * to_seconds(now - host.filled_at),
                     std::max(1.0, rate));
        host.filled_at = now;
        return host.tokens >= 1;
    }

    [[nodiscard]] auto part_of_limit(replay_host const& host) const -> double
    {
        auto const n = static_cast<double>(hosts_.size());
        return std::visit(
            overloaded{[](whole_limit) { return 1.0; },
                       [&](equal_parts) { return 1 / n; },
                       [&](parts_by_demand)
                       {
                           auto all = std::size_t{0};
                           for (auto const& it : hosts_)
                           {
                               all += it.requests.size();
                           }
                           return static_cast<double>(host.requests.size()) /
                                  static_cast<double>(
                                      std::max(all, std::size_t{1}));
                       },
                       [](shares_in_a_ring)
                       {
                           return 0.0;
                       }},
            by_);
    }

    [[nodiscard]] auto result() const -> outcome
    {
        auto out = outcome{};
        auto recent = std::deque<time_point>{};
        auto counted = std::size_t{0};
        for (auto const at : arrivals_)
        {
            if (at < known_at)
            {
                continue;
            }
            ++counted;
            recent.push_back(at);
            while (recent.front() <= at - window)
            {
                recent.pop_front();
            }
            out.most = std::max(out.most, recent.size());
        }
        out.used = static_cast<double>(counted) / to_seconds(end - known_at);
        return out;
    }

    rule by_;
    scenario scenario_;
    random_source random_;
    std::vector<directory::listed_target> targets_;
    std::vector<host_id> ids_;
    std::vector<replay_host> hosts_;
    std::deque<pending_response> responses_;
    std::deque<pending_response> reports_;
    std::vector<time_point> arrivals_;
    std::size_t restarted_ = 0;
};

/// The worst of some seeds.
auto worst(rule by, scenario const& it) -> outcome
{
    auto out = outcome{};
    constexpr auto seeds = 3U;
    for (auto seed = 1U; seed <= seeds; ++seed)
    {
        auto const each = replay{by, it, seed}.run();
        out.most = std::max(out.most, each.most);
        out.used += each.used / seeds;
    }
    return out;
}

/// What a target with this limit may get in a window.
auto bound(double limit) -> double
{
    return 1.5 * limit * to_seconds(window) + 5;
}

auto const sizes = {std::size_t{8}, std::size_t{69}, std::size_t{360}};
auto const limits = {0.5, 2.0, 10.0, 50.0};

/// Enough for every host to use a limit, if it may.
auto requests_at(std::size_t hosts) -> double
{
    return 4.0 * static_cast<double>(hosts);
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_limit_that_hosts_divide)

BOOST_AUTO_TEST_CASE(is_kept_by_shares_in_a_ring_through_all_disturbances)
{
    for (auto const hosts : sizes)
    {
        for (auto const limit : limits)
        {
            for (auto const with : {disturbance::none, disturbance::partition,
                                    disturbance::restarts})
            {
                auto const it = worst(shares_in_a_ring{},
                                      {hosts, limit, requests_at(hosts), with});
                BOOST_TEST_MESSAGE(hosts << " hosts, limit " << limit << ", "
                                         << static_cast<int>(with) << ": " << it
                                         << " of " << bound(limit));
                BOOST_TEST(static_cast<double>(it.most) <= bound(limit));
                BOOST_TEST(it.used > 0);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(is_exceeded_or_not_used_by_simpler_rules)
{
    for (auto const hosts : sizes)
    {
        for (auto const limit : limits)
        {
            auto const at =
                scenario{hosts, limit, requests_at(hosts), disturbance::none};
            BOOST_TEST_MESSAGE(hosts << " hosts, limit " << limit << ": whole "
                                     << worst(whole_limit{}, at) << ", equal "
                                     << worst(equal_parts{}, at)
                                     << ", by demand "
                                     << worst(parts_by_demand{}, at) << " of "
                                     << bound(limit));
        }
    }
    constexpr auto many = std::size_t{360};
    constexpr auto limit = 2.0;
    auto const at = scenario{many, limit, requests_at(many), disturbance::none};
    BOOST_TEST(static_cast<double>(worst(whole_limit{}, at).most) >
               bound(limit));
    BOOST_TEST(static_cast<double>(worst(equal_parts{}, at).most) >
               bound(limit));
    BOOST_TEST(static_cast<double>(worst(parts_by_demand{}, at).most) >
               bound(limit));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::request_limit
