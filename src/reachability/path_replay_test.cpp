#include "dispatch/attempt_policy.hpp"
#include "dispatch/placement.hpp"
#include "dispatch/replay_engines.hpp"
#include "reachability/direct_path.hpp"
#include "reachability/helper_choice.hpp"
#include "reachability/tunnel_limit.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <vector>

// Hosts of four failure domains, some of which are partitioned from the
// targets of the only service for a while. Requests of callers arrive at each
// host; one that fails is not repeated by its caller.
namespace primrosedeal::reachability
{

namespace
{

constexpr auto cut_at = duration{4s};
constexpr auto cut_end = duration{14s};
constexpr auto end_at = duration{18s};
/// From here on cut hosts have to serve.
constexpr auto settled_at = cut_at + duration{3s};
/// Six connections that time out after each other end sooner.
constexpr auto uncounted = duration{2s};
constexpr auto requests_per_second = 2.0;
constexpr auto request_deadline = duration{4s};
constexpr auto connect_timeout = duration{250ms};
constexpr auto probe_timeout = duration{130ms};
constexpr auto round_trip = duration{1ms};
constexpr auto reset_time = duration{3ms};
constexpr auto answer_time = duration{400ms};
/// Time until all hosts have a digest with a change.
constexpr auto digest_delay = duration{60ms};
constexpr auto tick = duration{50ms};

auto const service = service_id{"s"};

enum class rule
{
    /// Each failed attempt is repeated directly.
    direct_only,
    /// So is the first; after it any host is asked for a tunnel, without a
    /// limit there.
    tunnel_after_failure,
    detected,
};

enum class failing
{
    refused,
    reset,
    hangs,
};

enum class cut_hosts
{
    none,
    one,
    half_of_a_domain,
    whole_domain,
    three_of_eight,
};

enum class cut_targets
{
    none,
    one_domain,
    all,
};

auto name(rule it) -> char const*
{
    switch (it)
    {
    case rule::direct_only:
        return "direct only";
    case rule::tunnel_after_failure:
        return "tunnel after a failure";
    case rule::detected:
        return "detected";
    }
    return "";
}

auto name(failing it) -> char const*
{
    switch (it)
    {
    case failing::refused:
        return "refused";
    case failing::reset:
        return "reset";
    case failing::hangs:
        return "hangs";
    }
    return "";
}

auto name(cut_hosts it) -> char const*
{
    switch (it)
    {
    case cut_hosts::none:
        return "no host";
    case cut_hosts::one:
        return "one host";
    case cut_hosts::half_of_a_domain:
        return "half of a domain";
    case cut_hosts::whole_domain:
        return "a domain";
    case cut_hosts::three_of_eight:
        return "3 of 8";
    }
    return "";
}

struct scenario
{
    std::size_t hosts = 8;
    cut_hosts cut = cut_hosts::none;
    cut_targets lost_targets = cut_targets::none;
    failing how = failing::reset;
    /// Event loops of hosts are late, so that they open no tunnels: of every
    /// second one of each domain.
    bool late_helpers = false;
    /// Fraction of connections that targets reset for lack of capacity.
    double busy_fraction = 0;
    /// Hosts and targets of the first domain reach, and are reached from,
    /// nobody outside of it.
    bool domain_partitioned = false;
    direct_path_limits limits{};
    std::uint64_t seed = 1;
};

struct served_count
{
    int requests = 0;
    int served = 0;

    [[nodiscard]] auto share() const -> double
    {
        return requests == 0 ? 1 : static_cast<double>(served) / requests;
    }
};

struct outcome
{
    /// Requests that arrive while the cut lasts, later than `settled_at`.
    served_count at_cut_hosts;
    served_count at_others;
    /// Requests before that, from the cut on.
    served_count early_at_cut_hosts;
    served_count early_at_others;
    int attempts_at_cut_hosts = 0;
    duration waits{};
    /// From the first request that arrives at a cut host until one is served.
    duration longest_until_served{};
    duration longest_until_direct{};
    int tunnels = 0;
    /// Opened by hosts that are not cut.
    int needless_tunnels = 0;
    int refused_tunnels = 0;
    int most_tunnels_a_second = 0;
    std::size_t most_open = 0;
};

auto targets_for(std::size_t hosts) -> std::vector<directory::listed_target>
{
    auto out = dispatch::replay_engines();
    auto const base = out.size();
    constexpr auto many = std::size_t{96};
    for (auto i = base; hosts > 8 && i < many; ++i)
    {
        auto it = out[i % base];
        it.id = target_id{"t" + std::to_string(i)};
        it.domain =
            domain_id{"d" + std::to_string(i % dispatch::replay_domains)};
        out.push_back(it);
    }
    return out;
}

struct simulated_host
{
    host_id id;
    domain_id domain;
    bool cut = false;
    /// What the digests that others have of it say.
    bool reported = false;
    dispatch::failure_detector detector{};
    direct_path path{};
    helper_backoff backoff;
    tunnel_limit limit{0};
    std::map<host_id, std::uint32_t> tunnels;
    std::map<std::int64_t, int> admitted;
    std::optional<time_point> first_arrival;
    std::optional<time_point> first_served;
};

struct simulated_request
{
    std::size_t at = 0;
    time_point arrived;
    std::uint32_t refusals = 0;
    std::uint32_t attempts = 0;
    std::vector<target_id> tried;
    std::vector<host_id> tried_helpers;
};

class replay
{
public:
    replay(scenario const& its, rule by)
        : scenario_(its), rule_(by), random_(its.seed),
          targets_(targets_for(its.hosts))
    {
        for (auto i = std::size_t{0}; i < its.hosts; ++i)
        {
            auto it = simulated_host{};
            it.id = host_id{"h" + std::to_string(i)};
            it.domain =
                domain_id{"d" + std::to_string(i % dispatch::replay_domains)};
            it.cut = is_cut(i);
            it.path = direct_path{its.limits};
            hosts_.push_back(std::move(it));
        }
    }

    auto run() -> outcome
    {
        for (auto i = std::size_t{0}; i < hosts_.size(); ++i)
        {
            schedule_arrival(i);
            after(tick, [=, this] { check(i); });
        }
        while (!events_.empty() && events_.begin()->first < time_point{end_at})
        {
            auto const next = events_.extract(events_.begin());
            now_ = next.key();
            next.mapped()();
        }
        for (auto const& it : hosts_)
        {
            auto const none = time_point{end_at};
            auto const first = it.first_served.value_or(none) -
                               it.first_arrival.value_or(none);
            out_.longest_until_served =
                std::max(out_.longest_until_served, it.cut ? first : 0s);
            for (auto const& [second, n] : it.admitted)
            {
                out_.most_tunnels_a_second =
                    std::max(out_.most_tunnels_a_second, n);
            }
            BOOST_TEST((its_busy() || !it.path.unreachable(service)));
        }
        return out_;
    }

private:
    using target = directory::listed_target;

    [[nodiscard]] auto is_cut(std::size_t i) const -> bool
    {
        constexpr auto domains = dispatch::replay_domains;
        switch (scenario_.cut)
        {
        case cut_hosts::none:
            return false;
        case cut_hosts::one:
            return i == 0;
        case cut_hosts::half_of_a_domain:
            return i % (2 * domains) == 0;
        case cut_hosts::whole_domain:
            return i % domains == 0;
        case cut_hosts::three_of_eight:
            return i % 8 < 3;
        }
        return false;
    }

    [[nodiscard]] auto its_busy() const -> bool
    {
        return scenario_.busy_fraction > 0;
    }

    [[nodiscard]] auto disrupted() const -> bool
    {
        return now_ >= time_point{cut_at} && now_ < time_point{cut_end};
    }

    void after(duration pause, std::function<void()> what)
    {
        events_.emplace(now_ + pause, std::move(what));
    }

    void schedule_arrival(std::size_t host)
    {
        auto const pause = duration{static_cast<duration::rep>(
            -std::log(1 - random_.unit()) / requests_per_second * 1e6)};
        after(pause,
              [=, this]
              {
                  arrive(host);
                  schedule_arrival(host);
              });
    }

    void arrive(std::size_t host)
    {
        auto it = simulated_request{};
        it.at = host;
        it.arrived = now_;
        if (auto* const count = count_for(it))
        {
            ++count->requests;
        }
        auto& first = hosts_[host].first_arrival;
        if (now_ >= time_point{cut_at} && !first)
        {
            first = now_;
        }
        attempt(std::move(it));
    }

    /// Requests late in the cut, whose answers fall after it, are not counted.
    auto count_for(simulated_request const& it) -> served_count*
    {
        auto const arrived = it.arrived.time_since_epoch();
        if (arrived < cut_at || arrived + uncounted >= cut_end)
        {
            return nullptr;
        }
        auto const cut = hosts_[it.at].cut;
        if (arrived < settled_at)
        {
            return cut ? &out_.early_at_cut_hosts : &out_.early_at_others;
        }
        return cut ? &out_.at_cut_hosts : &out_.at_others;
    }

    void attempt(simulated_request it)
    {
        auto& host = hosts_[it.at];
        if (it.refusals >= dispatch::max_refusals ||
            now_ - it.arrived > request_deadline)
        {
            return;
        }
        auto request = dispatch::placement_request{};
        request.own_domain = host.domain;
        request.tried = it.tried;
        auto const to =
            dispatch::place({targets_, host.detector, loads_, no_others_,
                             dispatch::no_limits, dispatch::no_gate},
                            request, now_, random_);
        BOOST_REQUIRE(to);
        ++it.attempts;
        auto const through_helper =
            rule_ == rule::detected
                ? host.path.lost(service)
                : rule_ == rule::tunnel_after_failure && it.refusals > 0;
        if (through_helper)
        {
            open_tunnel(std::move(it), *to);
        }
        else
        {
            it.tried.push_back(to->id);
            connect_directly(std::move(it), *to);
        }
    }

    struct connection
    {
        connection_result result = connection_result::accepted;
        duration takes{};
    };

    auto connect(simulated_host const& from, target const& to, duration limit)
        -> connection
    {
        auto const dead = scenario_.lost_targets == cut_targets::all ||
                          (scenario_.lost_targets == cut_targets::one_domain &&
                           to.domain == domain_id{"d1"});
        auto const first = domain_id{"d0"};
        auto const apart = scenario_.domain_partitioned &&
                           (from.domain == first) != (to.domain == first);
        if (disrupted() && (from.cut || dead || apart))
        {
            switch (scenario_.how)
            {
            case failing::refused:
                return {connection_result::refused, round_trip};
            case failing::reset:
                return {connection_result::refused, reset_time};
            case failing::hangs:
                return {connection_result::timed_out, limit};
            }
        }
        if (random_.unit() < scenario_.busy_fraction)
        {
            return {connection_result::refused, round_trip};
        }
        return {connection_result::accepted, round_trip};
    }

    /// Applies the end of a connection that `host` began itself. Returns
    /// whether a failure is put down to the path.
    auto observe(std::size_t host, target const& to, connection_result result,
                 time_point begun_at) -> bool
    {
        auto& it = hosts_[host];
        if (rule_ != rule::detected)
        {
            return false;
        }
        auto const others =
            reported_ - (it.reported ? 1 : 0) < hosts_.size() - 1;
        auto const was_unreachable = it.path.unreachable(service);
        auto const change =
            it.path.observe(service, to.id, to.domain, result, begun_at,
                            targets_.size(), others, now_);
        auto const is_unreachable = it.path.unreachable(service);
        if (is_unreachable != was_unreachable)
        {
            after(digest_delay, [=, this] { report(host, is_unreachable); });
        }
        if (change)
        {
            if (auto const* const found = std::get_if<path_lost>(&*change))
            {
                for (auto const& [id, domain] : found->evidence)
                {
                    it.detector.withdraw_unreachable(id, domain, now_);
                }
            }
            else if (it.cut && now_ >= time_point{cut_end})
            {
                out_.longest_until_direct =
                    std::max(out_.longest_until_direct,
                             now_.time_since_epoch() - cut_end);
            }
        }
        return it.path.explains_failure(service, begun_at);
    }

    void report(std::size_t host, bool is_unreachable)
    {
        auto& it = hosts_[host];
        reported_ += static_cast<std::size_t>(is_unreachable) -
                     static_cast<std::size_t>(it.reported);
        it.reported = is_unreachable;
    }

    void connect_directly(simulated_request it, target const& to)
    {
        hosts_[it.at].detector.sent_to(to.domain, now_);
        auto const done = connect(hosts_[it.at], to, connect_timeout);
        after(done.takes,
              [=, this, begun_at = now_, it = std::move(it)]() mutable
              { end_direct(std::move(it), to, done.result, begun_at); });
    }

    void end_direct(simulated_request it, target const& to,
                    connection_result result, time_point begun_at)
    {
        auto& host = hosts_[it.at];
        auto const explained = observe(it.at, to, result, begun_at);
        if (result == connection_result::accepted)
        {
            host.detector.report(to.id, to.domain,
                                 dispatch::observation::answered, now_);
            serve(it);
            return;
        }
        if (!explained)
        {
            ++it.refusals;
            host.detector.report(to.id, to.domain,
                                 dispatch::observation::unreachable, now_);
        }
        attempt(std::move(it));
    }

    void open_tunnel(simulated_request it, target const& to)
    {
        auto& host = hosts_[it.at];
        auto const helper = choose(it);
        if (!helper)
        {
            // As without tunnels, the request may still reach a target.
            it.tried.push_back(to.id);
            ++it.refusals;
            connect_directly(std::move(it), to);
            return;
        }
        it.tried_helpers.push_back(hosts_[*helper].id);
        ++host.tunnels[hosts_[*helper].id];
        after(round_trip, [=, this, it = std::move(it)]() mutable
              { accept_tunnel(std::move(it), to, *helper); });
    }

    auto choose(simulated_request const& it) -> std::optional<std::size_t>
    {
        auto const& host = hosts_[it.at];
        if (rule_ == rule::tunnel_after_failure)
        {
            auto const n = random_.below(hosts_.size() - 1);
            return n < it.at ? n : n + 1;
        }
        auto candidates = std::vector<helper_candidate>{};
        for (auto const& each : hosts_)
        {
            if (each.id == host.id)
            {
                continue;
            }
            auto const tried =
                std::find(it.tried_helpers.begin(), it.tried_helpers.end(),
                          each.id) != it.tried_helpers.end();
            auto const tunnels = host.tunnels.find(each.id);
            auto const apart = scenario_.domain_partitioned && disrupted() &&
                               (each.domain == domain_id{"d0"}) !=
                                   (host.domain == domain_id{"d0"});
            candidates.push_back(
                {each.id, each.domain,
                 tunnels == host.tunnels.end() ? 0 : tunnels->second,
                 each.reported || apart || host.backoff.excluded(each.id, now_),
                 tried});
        }
        auto const id = choose_helper(candidates, host.domain, random_);
        auto const found =
            std::find_if(hosts_.begin(), hosts_.end(),
                         [&](auto const& each) { return id == each.id; });
        return id ? std::optional{static_cast<std::size_t>(found -
                                                           hosts_.begin())}
                  : std::nullopt;
    }

    void accept_tunnel(simulated_request it, target const& to,
                       std::size_t helper)
    {
        auto& host = hosts_[helper];
        auto work = tunnel_limit::own_work{};
        if (scenario_.late_helpers &&
            helper / dispatch::replay_domains % 2 == 1)
        {
            work.loop_delay = 2 * max_loop_delay;
        }
        if (rule_ == rule::detected && !host.limit.admit(work, now_))
        {
            ++out_.refused_tunnels;
            after(round_trip,
                  [=, this, it = std::move(it)]() mutable
                  {
                      hosts_[it.at].backoff.failed(hosts_[helper].id, now_);
                      tunnel_failed(std::move(it), helper);
                  });
            return;
        }
        ++out_.tunnels;
        out_.needless_tunnels += hosts_[it.at].cut && disrupted() ? 0 : 1;
        ++host.admitted[now_.time_since_epoch() / duration{1s}];
        out_.most_open = std::max(out_.most_open, host.limit.open());
        auto const done = connect(host, to, connect_timeout);
        auto const begun_at = now_;
        after(done.takes,
              [=, this, it = std::move(it)]() mutable
              {
                  observe(helper, to, done.result, begun_at);
                  if (done.result != connection_result::accepted)
                  {
                      hosts_[helper].limit.closed();
                      it.tried.push_back(to.id);
                      if (rule_ == rule::detected)
                      {
                          // The helper or the target is at fault; a helper
                          // finds out by itself if it is the one.
                          hosts_[it.at].detector.report(
                              to.id, to.domain,
                              dispatch::observation::unreachable, now_);
                      }
                      tunnel_failed(std::move(it), helper);
                      return;
                  }
                  auto& from = hosts_[it.at];
                  from.detector.report(to.id, to.domain,
                                       dispatch::observation::answered, now_);
                  from.backoff.succeeded(hosts_[helper].id);
                  serve(it);
                  after(answer_time,
                        [=, this, at = it.at]
                        {
                            hosts_[helper].limit.closed();
                            --hosts_[at].tunnels[hosts_[helper].id];
                        });
              });
    }

    void tunnel_failed(simulated_request it, std::size_t helper)
    {
        auto& host = hosts_[it.at];
        --host.tunnels[hosts_[helper].id];
        ++it.refusals;
        attempt(std::move(it));
    }

    void serve(simulated_request const& it)
    {
        auto& host = hosts_[it.at];
        if (auto* const count = count_for(it))
        {
            ++count->served;
            if (host.cut)
            {
                out_.waits += now_ - it.arrived;
                out_.attempts_at_cut_hosts += static_cast<int>(it.attempts);
            }
        }
        if (it.arrived >= time_point{cut_at} && !host.first_served)
        {
            host.first_served = now_;
        }
    }

    /// Opens direct probes.
    void check(std::size_t host)
    {
        after(tick, [=, this] { check(host); });
        if (!hosts_[host].path.probe_due(service, now_))
        {
            return;
        }
        after(probe_jitter(random_),
              [=, this]
              {
                  auto const& to = targets_[random_.below(targets_.size())];
                  auto const done = connect(hosts_[host], to, probe_timeout);
                  after(done.takes, [=, this, &to, begun_at = now_]
                        { observe(host, to, done.result, begun_at); });
              });
    }

    scenario scenario_;
    rule rule_;
    random_source random_;
    std::vector<target> targets_;
    dispatch::load_tracker loads_;
    fleet::fleet_view no_others_;
    std::vector<simulated_host> hosts_;
    std::size_t reported_ = 0;
    std::multimap<time_point, std::function<void()>> events_;
    time_point now_{};
    outcome out_;
};

auto milliseconds(duration it) -> std::int64_t
{
    return it / 1ms;
}

auto play(scenario const& its, rule by) -> outcome
{
    auto const out = replay{its, by}.run();
    auto const served = out.at_cut_hosts.served + out.early_at_cut_hosts.served;
    BOOST_TEST_MESSAGE(
        its.hosts << " hosts, " << name(its.cut) << ", " << name(its.how)
                  << ", " << name(by) << ": cut "
                  << out.early_at_cut_hosts.share() << " then "
                  << out.at_cut_hosts.share() << " of "
                  << out.at_cut_hosts.requests << ", others "
                  << out.early_at_others.share() << " then "
                  << out.at_others.share() << ", first served after "
                  << milliseconds(out.longest_until_served) << " ms, mean wait "
                  << (served == 0 ? 0 : milliseconds(out.waits / served))
                  << " ms, direct after "
                  << milliseconds(out.longest_until_direct) << " ms, tunnels "
                  << out.tunnels << " (" << out.needless_tunnels
                  << " needless, " << out.refused_tunnels
                  << " refused), at one helper " << out.most_tunnels_a_second
                  << " a second, " << out.most_open << " open");
    return out;
}

constexpr auto all_failures = {failing::refused, failing::reset,
                               failing::hangs};
constexpr auto all_cuts = {cut_hosts::one, cut_hosts::half_of_a_domain,
                           cut_hosts::whole_domain, cut_hosts::three_of_eight};
constexpr auto needed_fraction = 2.0 / 3;

} // namespace

BOOST_AUTO_TEST_SUITE(hosts_that_are_cut_off_from_all_targets)

BOOST_AUTO_TEST_CASE(serve_as_others_do_at_any_size)
{
    for (auto const hosts : {8U, 69U, 295U, 360U})
    {
        for (auto const cut : all_cuts)
        {
            for (auto const how : all_failures)
            {
                auto its = scenario{};
                its.hosts = hosts;
                its.cut = cut;
                its.how = how;
                auto const it = play(its, rule::detected);
                BOOST_TEST(it.at_cut_hosts.share() >=
                           needed_fraction * it.at_others.share());
                BOOST_TEST(it.early_at_cut_hosts.share() >=
                           needed_fraction * it.early_at_others.share());
                BOOST_TEST(it.at_others.share() == 1);
                BOOST_TEST(it.early_at_others.share() == 1);
                // A probe is due within the longest pause and its jitter.
                BOOST_TEST(it.longest_until_direct <= 1s + 150ms + tick + 2ms);
                BOOST_TEST(it.refused_tunnels == 0);
                // At most a few times what a host's own callers send.
                BOOST_TEST(it.most_tunnels_a_second <= 8 * requests_per_second);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(serve_as_others_do_at_any_seed)
{
    constexpr auto seeds = std::uint64_t{20};
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed)
    {
        for (auto const how : all_failures)
        {
            auto its = scenario{};
            its.cut = cut_hosts::three_of_eight;
            its.how = how;
            its.seed = seed;
            auto const it = play(its, rule::detected);
            BOOST_TEST(it.at_cut_hosts.share() >=
                       needed_fraction * it.at_others.share());
            BOOST_TEST(it.at_others.share() == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(serve_while_the_targets_of_a_domain_are_lost_too)
{
    constexpr auto nearly_all = 0.95;
    for (auto const hosts : {8U, 69U})
    {
        for (auto const how : all_failures)
        {
            auto its = scenario{};
            its.hosts = hosts;
            its.cut = cut_hosts::three_of_eight;
            its.lost_targets = cut_targets::one_domain;
            its.how = how;
            auto const it = play(its, rule::detected);
            BOOST_TEST(it.at_cut_hosts.share() >=
                       nearly_all * it.at_others.share());
            BOOST_TEST(it.early_at_cut_hosts.share() >=
                       nearly_all * it.early_at_others.share());
            BOOST_TEST(it.at_others.share() == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(serve_through_others_if_helpers_have_no_room)
{
    for (auto const hosts : {8U, 69U})
    {
        auto its = scenario{};
        its.hosts = hosts;
        its.cut = cut_hosts::half_of_a_domain;
        its.late_helpers = true;
        auto const it = play(its, rule::detected);
        BOOST_TEST(it.refused_tunnels > 0);
        BOOST_TEST(it.at_cut_hosts.share() >=
                   needed_fraction * it.at_others.share());
    }
}

BOOST_AUTO_TEST_CASE(would_serve_nobody_by_direct_attempts)
{
    for (auto const how : all_failures)
    {
        auto its = scenario{};
        its.cut = cut_hosts::half_of_a_domain;
        its.how = how;
        BOOST_TEST(play(its, rule::direct_only).at_cut_hosts.served == 0);
    }
}

BOOST_AUTO_TEST_CASE(would_wait_for_a_failure_at_each_request_without_memory)
{
    for (auto const cut :
         {cut_hosts::half_of_a_domain, cut_hosts::whole_domain})
    {
        for (auto const hosts : {8U, 69U})
        {
            auto its = scenario{};
            its.hosts = hosts;
            its.cut = cut;
            its.how = failing::hangs;
            auto const naive = play(its, rule::tunnel_after_failure);
            auto const it = play(its, rule::detected);
            BOOST_TEST((it.waits < naive.waits / 2));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(hosts_whose_targets_fail)

BOOST_AUTO_TEST_CASE(open_few_tunnels_if_a_domain_is_lost)
{
    for (auto const hosts : {8U, 69U, 360U})
    {
        for (auto const how : all_failures)
        {
            auto its = scenario{};
            its.hosts = hosts;
            its.lost_targets = cut_targets::one_domain;
            its.how = how;
            auto const naive = play(its, rule::tunnel_after_failure);
            auto const it = play(its, rule::detected);
            BOOST_TEST(it.at_others.share() == 1);
            BOOST_TEST(it.needless_tunnels * 4 <= naive.needless_tunnels);
        }
    }
}

BOOST_AUTO_TEST_CASE(open_none_that_matter_if_all_are_lost)
{
    for (auto const hosts : {8U, 69U})
    {
        for (auto const how : all_failures)
        {
            auto its = scenario{};
            its.hosts = hosts;
            its.lost_targets = cut_targets::all;
            its.how = how;
            auto const naive = play(its, rule::tunnel_after_failure);
            auto const it = play(its, rule::detected);
            BOOST_TEST(it.needless_tunnels * 4 <= naive.needless_tunnels);
        }
    }
}

BOOST_AUTO_TEST_CASE(open_few_tunnels_if_targets_reset_some_connections)
{
    for (auto const fraction : {0.1, 0.3})
    {
        auto its = scenario{};
        its.hosts = 69;
        its.busy_fraction = fraction;
        auto const naive = play(its, rule::tunnel_after_failure);
        auto const it = play(its, rule::detected);
        its.limits.min_targets = 2;
        auto const hasty = play(its, rule::detected);
        BOOST_TEST(it.needless_tunnels * 4 <= naive.needless_tunnels);
        BOOST_TEST(it.needless_tunnels * 2 <= hasty.needless_tunnels);
        BOOST_TEST(it.at_others.share() == 1);
    }
}

BOOST_AUTO_TEST_CASE(serve_as_before_if_domains_are_partitioned)
{
    for (auto const how : all_failures)
    {
        auto its = scenario{};
        its.hosts = 69;
        its.domain_partitioned = true;
        its.how = how;
        auto const naive = play(its, rule::direct_only);
        auto const it = play(its, rule::detected);
        its.limits.min_targets = 2;
        auto const hasty = play(its, rule::detected);
        BOOST_TEST(it.at_others.share() >= naive.at_others.share());
        BOOST_TEST(it.needless_tunnels < hasty.needless_tunnels);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::reachability
