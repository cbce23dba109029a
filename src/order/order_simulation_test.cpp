#include "order/order_coordinator.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// Load pattern: the order coordinators of several hosts, a key-value service, a
// target that counts executions, and a network that delays, duplicates and
// loses messages, simulated in virtual time from one seed.

namespace primrosedeal::order
{
namespace
{

struct recorded_reply
{
    idempotency_key key;
    process_id answered_by;
    bool repeat = false;
    /// Sent in the same step in which the request arrived.
    bool immediate = false;
    reply content;
};

struct simulation_report
{
    /// Executions at the target: by key, and by key and dispatching process.
    std::map<idempotency_key, int> executions;
    std::map<std::pair<idempotency_key, std::string>, int> executions_by;
    std::vector<recorded_reply> replies;
    std::map<std::string, int> event_counts;
    std::size_t pending_at_end = 0;
    std::size_t unresolved_at_end = 0;
    std::size_t unanswered = 0;
};

auto process_name(process_id const& it) -> std::string
{
    return it.host.value() + "/" + std::to_string(it.start.value());
}

constexpr std::size_t host_count = 3;
constexpr std::size_t key_count = 24;
constexpr auto end_of_faults = time_point{30s};
constexpr auto end_of_pauses = end_of_faults + 10s;
constexpr auto end_of_run = time_point{90s};
auto const organisation = organisation_id{"kigali"};

class simulation
{
public:
    explicit simulation(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < host_count; ++i)
        {
            start_process(i);
        }
        schedule_faults();
        schedule_requests();
    }

    auto run() -> simulation_report
    {
        while (!steps_.empty() && steps_.begin()->first <= end_of_run)
        {
            auto const it = steps_.begin();
            now_ = it->first;
            auto const work = std::move(it->second);
            steps_.erase(it);
            work();
        }
        for (auto const& each : hosts_)
        {
            report_.pending_at_end += each.coordinator->pending();
            report_.unresolved_at_end += each.coordinator->unresolved();
        }
        for (auto const& [request, waiting] : waiting_)
        {
            auto const& host = hosts_[waiting.host];
            report_.unanswered += host.self == waiting.process ? 1U : 0U;
        }
        return std::move(report_);
    }

private:
    struct process
    {
        process_id self;
        std::unique_ptr<order_coordinator> coordinator;
        time_point paused_until;
    };

    struct waiting_request
    {
        std::size_t host = 0;
        process_id process;
        idempotency_key key;
        bool repeat = false;
        std::function<void(reply const&)> on_reply;
    };

    auto chance(std::uint64_t percent) -> bool
    {
        return random_.below(100) < percent;
    }

    auto random_delay(duration most) -> duration
    {
        return duration{static_cast<duration::rep>(
            random_.below(static_cast<std::uint64_t>(most.count())))};
    }

    auto random_host() -> std::size_t
    {
        return random_.below(host_count);
    }

    void schedule(time_point when, std::function<void()> work)
    {
        steps_.emplace(when, std::move(work));
    }

    void count_event(std::string const& what)
    {
        ++report_.event_counts[what];
    }

    void start_process(std::size_t i)
    {
        auto const start = next_incarnation_++;
        auto const id = process_id{host_id{"host-" + std::to_string(i)},
                                   incarnation{start}};
        auto limits = order_limits{};
        limits.platform_call_limits = {30, 20};
        limits.tickets.lifetime = 8s;
        limits.outcomes.max_outcomes = 6;
        auto secret = ticket_secret{};
        secret[0] = static_cast<unsigned char>(start);
        hosts_.resize(host_count);
        hosts_[i] = process{id,
                            std::make_unique<order_coordinator>(
                                id, secret, limits, random_source{random_()}),
                            {}};
        tick(i, id);
    }

    /// Runs `work` in process `id` now or when its pause ends; not at all if
    /// the process was restarted.
    void run_in_process(std::size_t i, process_id const& id,
                        std::function<void()> const& work)
    {
        if (hosts_[i].self != id)
        {
            return;
        }
        if (hosts_[i].paused_until > now_)
        {
            schedule(hosts_[i].paused_until,
                     [this, i, id, work] { run_in_process(i, id, work); });
            return;
        }
        work();
    }

    void tick(std::size_t i, process_id const& id)
    {
        run_in_process(i, id,
                       [this, i, id]
                       {
                           feed(i, timer_due{});
                           schedule(now_ + 50ms,
                                    [this, i, id] { tick(i, id); });
                       });
    }

    void feed(std::size_t i, event const& it)
    {
        auto const id = hosts_[i].self;
        auto const* const request = std::get_if<order_requested>(&it);
        auto const submitting =
            request != nullptr ? request->request_id : order_request_id{0};
        perform(i, id, hosts_[i].coordinator->on_event(it, now_), submitting);
    }

    void feed_later(std::size_t i, process_id const& id, duration after,
                    event const& it)
    {
        schedule(now_ + after, [this, i, id, it]
                 { run_in_process(i, id, [this, i, it] { feed(i, it); }); });
    }

    void perform(std::size_t i, process_id const& id, actions const& all,
                 order_request_id submitting = order_request_id{0})
    {
        for (auto const& each : all)
        {
            if (auto const* const it = std::get_if<send_reply>(&each))
            {
                record_reply(*it, submitting);
            }
            else
            {
                std::visit([&](auto const& what) { send(i, id, what); }, each);
            }
        }
    }

    void record_reply(send_reply const& it, order_request_id submitting)
    {
        auto const found = waiting_.find(it.request_id);
        if (found == waiting_.end())
        {
            count_event("replied twice");
            return;
        }
        auto const waiting = found->second;
        waiting_.erase(found);
        count_event(std::string{to_string(it.content.ran)});
        report_.replies.push_back(
            recorded_reply{waiting.key, waiting.process, waiting.repeat,
                           it.request_id == submitting, it.content});
        if (waiting.on_reply)
        {
            waiting.on_reply(it.content);
        }
    }

    void send(std::size_t /*i*/, process_id const& /*id*/,
              send_reply const& /**/)
    {
    }

    // ---- the key-value service -------------------------------------------

    /// One call to the service: `apply` runs unless the request is lost, and
    /// its event is lost, late or in time. A failure is reported at the
    /// timeout.
    void platform_call(std::size_t i, process_id const& id,
                       std::function<event()> const& apply, event const& failed)
    {
        constexpr auto timeout = duration{400ms};
        if (chance(15) || (platform_down_ && chance(80)))
        {
            feed_later(i, id, timeout, failed);
            return;
        }
        auto const request_delay = random_delay(chance(20) ? 2s : 100ms);
        schedule(now_ + request_delay,
                 [=, this]
                 {
                     auto const result = apply();
                     auto const lost = chance(30);
                     auto const late = request_delay >= timeout;
                     if (!lost || late)
                     {
                         feed_later(i, id, 10ms, result);
                     }
                     if (lost && !late)
                     {
                         count_event("response lost after the write");
                         feed_later(i, id, timeout - request_delay, failed);
                     }
                 });
        if (request_delay >= timeout)
        {
            feed_later(i, id, timeout, failed);
        }
    }

    void send(std::size_t i, process_id const& id, write_claim const& it)
    {
        platform_call(
            i, id,
            [this, it]() -> event
            {
                auto const stored = claims_.emplace(it.key, it.record).first;
                return claim_write_completed{it.key, it.record.nonce,
                                             stored->second};
            },
            claim_write_failed{it.key, it.record.nonce});
    }

    void send(std::size_t i, process_id const& id, read_claim const& it)
    {
        platform_call(
            i, id,
            [this, it]() -> event
            {
                auto const stored = claims_.find(it.key);
                auto found = std::optional<claim_record>{};
                if (stored != claims_.end())
                {
                    found = stored->second;
                    count_event("claim read back");
                }
                return claim_read_completed{it.key, it.nonce, found};
            },
            claim_read_failed{it.key, it.nonce});
    }

    void send(std::size_t i, process_id const& id, mark_abandoned const& it)
    {
        platform_call(
            i, id,
            [this, it]() -> event
            {
                auto& stored = claims_.emplace(it.key, it.record).first->second;
                if (stored.owner == it.record.owner &&
                    stored.nonce == it.record.nonce)
                {
                    count_event("marked abandoned");
                    stored = it.record;
                }
                return abandon_completed{it.key, it.record.nonce};
            },
            abandon_failed{it.key, it.record.nonce});
    }

    // ---- the target ------------------------------------------------------

    void send(std::size_t i, process_id const& id, dispatch const& it)
    {
        if (chance(8))
        {
            feed_later(i, id, 10ms,
                       dispatch_completed{it.key, it.attempt, no_target{}});
            return;
        }
        schedule(now_ + random_delay(chance(15) ? 4s : 100ms),
                 [this, i, id, it] {
                     run_in_process(i, id,
                                    [this, i, id, it] { connect(i, id, it); });
                 });
    }

    void connect(std::size_t i, process_id const& id, dispatch const& it)
    {
        auto then = actions{};
        auto const granted =
            hosts_[i].coordinator->permit_send(it.key, it.attempt, now_, then);
        perform(i, id, then);
        if (!granted)
        {
            count_event("send not permitted");
            return;
        }
        if (chance(25))
        {
            auto const target =
                target_id{"t" + std::to_string(it.attempt.value())};
            feed_later(
                i, id, random_delay(200ms),
                dispatch_completed{it.key, it.attempt, not_connected{target}});
            return;
        }
        // Bytes may be sent long after the permission, while the process is
        // paused, and even if it was restarted by then.
        schedule(
            now_ + random_delay(chance(20) ? 6s : 20ms),
            [this, i, id, it]
            {
                ++report_.executions[it.key];
                ++report_.executions_by[{it.key, process_name(id)}];
                auto const lost = chance(30);
                auto const outcome =
                    lost ? dispatch_result{call_interrupted{}}
                         : dispatch_result{target_response{200, "done"}};
                for (auto copies = 1 + random_.below(2); copies > 0; --copies)
                {
                    feed_later(i, id, random_delay(chance(20) ? 5s : 200ms),
                               dispatch_completed{it.key, it.attempt, outcome});
                }
            });
    }

    // ---- callers and other hosts -----------------------------------------

    void submit(std::size_t i, idempotency_key const& key, time_point deadline,
                bool repeat, bool forwarded,
                std::function<void(reply const&)> on_reply = {})
    {
        auto const request = order_request_id{next_request_++};
        waiting_[request] = waiting_request{i, hosts_[i].self, key, repeat,
                                            std::move(on_reply)};
        feed(i,
             order_requested{request, key, call_, deadline, repeat, forwarded});
    }

    void send(std::size_t i, process_id const& id, forward const& it)
    {
        count_event("forwarded");
        auto const owner =
            static_cast<std::size_t>(it.owner.host.value().back() - '0');
        feed_later(i, id, 3s, forward_failed{it.request_id});
        if (chance(20))
        {
            return;
        }
        auto const on_reply = [this, i, id, it](reply const& what)
        {
            if (!chance(20))
            {
                feed_later(i, id, random_delay(200ms),
                           forward_completed{it.request_id, what});
            }
        };
        for (auto copies = 1 + random_.below(2); copies > 0; --copies)
        {
            schedule(now_ + random_delay(chance(20) ? 5s : 100ms),
                     [this, it, owner, on_reply]
                     {
                         run_in_process(owner, it.owner,
                                        [this, it, owner, on_reply] {
                                            submit(owner, it.key, it.deadline,
                                                   it.repeat, true, on_reply);
                                        });
                     });
        }
    }

    void schedule_requests()
    {
        for (std::size_t n = 0; n < key_count; ++n)
        {
            schedule(time_point{random_delay(20s)},
                     [this, n] { start_order(n); });
        }
    }

    void start_order(std::size_t n)
    {
        auto key = idempotency_key{organisation, "order-" + std::to_string(n)};
        if (n % 2 == 0)
        {
            auto const given = hosts_[random_host()].coordinator->issue_ticket(
                organisation, now_, {});
            key.text = given.value();
        }
        for (auto copies = 1 + random_.below(5); copies > 0; --copies)
        {
            auto const repeat = chance(50);
            auto const i = random_host();
            schedule(now_ + random_delay(chance(30) ? 9s : 300ms),
                     [this, i, key, repeat]
                     {
                         run_in_process(
                             i, hosts_[i].self,
                             [this, i, key, repeat]
                             {
                                 auto const wait = 1s + random_delay(3s);
                                 submit(i, key, now_ + wait, repeat, false);
                             });
                     });
        }
    }

    void schedule_faults()
    {
        for (auto n = random_.below(8); n > 0; --n)
        {
            auto const i = random_host();
            auto const pause = random_delay(6s);
            schedule(time_point{random_delay(30s)}, [this, i, pause]
                     { hosts_[i].paused_until = now_ + pause; });
        }
        for (auto n = random_.below(4); n > 0; --n)
        {
            auto const i = random_host();
            schedule(time_point{random_delay(30s)},
                     [this, i] { start_process(i); });
        }
        for (auto n = random_.below(3); n > 0; --n)
        {
            auto const from = time_point{random_delay(25s)};
            schedule(from, [this] { set_platform_up(false); });
            schedule(std::min(from + random_delay(10s), end_of_faults),
                     [this] { set_platform_up(true); });
        }
        // Notifications of two outages may overtake each other; this last one
        // is correct.
        schedule(end_of_pauses, [this] { set_platform_up(true); });
    }

    void set_platform_up(bool up)
    {
        platform_down_ = !up;
        for (std::size_t i = 0; i < host_count; ++i)
        {
            feed_later(i, hosts_[i].self, random_delay(500ms),
                       up ? event{platform_up{}} : event{platform_down{}});
        }
    }

    random_source random_;
    time_point now_{};
    std::multimap<time_point, std::function<void()>> steps_;
    std::vector<process> hosts_;
    std::map<idempotency_key, claim_record> claims_;
    bool platform_down_ = false;
    std::map<order_request_id, waiting_request> waiting_;
    std::uint64_t next_request_ = 1;
    std::uint64_t next_incarnation_ = 1;
    std::shared_ptr<target_call const> call_ =
        std::make_shared<target_call const>(target_call{
            service_id{"bookings"}, "/bookings", "booth 4", "text/plain"});
    simulation_report report_;
};

/// Whether the process that sent `it` will not dispatch the key later.
auto ends_claim_in_that_process(recorded_reply const& it) -> bool
{
    return !it.immediate || it.content.code == reason::claim_unresolved;
}

/// Describes the guarantee that `it` violates; empty if there is none.
auto find_violation(simulation_report const& results, recorded_reply const& it)
    -> std::string
{
    auto const found = results.executions.find(it.key);
    auto const runs = found == results.executions.end() ? 0 : found->second;
    if (it.content.ran == verdict::ran && runs != 1)
    {
        return "replied ran without one execution: " + it.key.text;
    }
    if (it.content.ran != verdict::not_run || runs == 0)
    {
        return {};
    }
    if (has_ticket_prefix(it.key.text) || it.repeat)
    {
        return "replied not_run, but the key ran: " + it.key.text;
    }
    auto const run_there = std::pair{it.key, process_name(it.answered_by)};
    if (ends_claim_in_that_process(it) &&
        results.executions_by.contains(run_there))
    {
        return "replied not_run, but that process ran the key: " + it.key.text;
    }
    return {};
}

auto find_violation(simulation_report const& results) -> std::string
{
    for (auto const& [key, runs] : results.executions)
    {
        if (runs > 1)
        {
            return "ran more than once: " + key.text;
        }
    }
    for (auto const& each : results.replies)
    {
        if (auto violation = find_violation(results, each); !violation.empty())
        {
            return violation;
        }
    }
    if (results.event_counts.contains("replied twice") ||
        results.unanswered != 0)
    {
        return "not exactly one reply to each request";
    }
    auto const left = results.unresolved_at_end + results.pending_at_end;
    return left == 0 ? "" : "claims or orders still pending at the end";
}

BOOST_AUTO_TEST_SUITE(under_simulated_faults)

BOOST_AUTO_TEST_CASE(an_order_runs_at_most_once_and_not_run_is_correct)
{
    BOOST_TEST(rc::check("orders among hosts",
                         []
                         {
                             auto const seed = *rc::gen::noShrink(
                                 rc::gen::arbitrary<std::uint64_t>());
                             auto const report = simulation{mix64(seed)}.run();
                             RC_ASSERT(find_violation(report) == "");
                         }));
}

BOOST_AUTO_TEST_CASE(the_simulation_reaches_every_kind_of_event)
{
    auto event_counts = std::map<std::string, int>{};
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        auto const report = simulation{seed}.run();
        BOOST_TEST(find_violation(report) == "",
                   "seed " << seed << ": " << find_violation(report));
        for (auto const& [what, n] : report.event_counts)
        {
            event_counts[what] += n;
        }
    }
    for (auto const* const what :
         {"ran", "may_have_run", "not_run", "claim read back", "forwarded",
          "response lost after the write", "marked abandoned",
          "send not permitted"})
    {
        BOOST_TEST(event_counts[what] > 10,
                   what << " seen " << event_counts[what]);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace primrosedeal::order
