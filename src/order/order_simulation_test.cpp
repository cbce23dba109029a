#include "order/order_coordinator.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

// Several hosts' order books, a key-value service, a target that counts
// executions and a network that delays, repeats and loses, all in virtual
// time from one seed.

namespace primrosedeal::order
{
namespace
{

struct told
{
    call_key key;
    process_id by;
    bool repeat = false;
    /// Told in the same step as the ask arrived there.
    bool at_once = false;
    reply what;
};

struct world_report
{
    /// Executions at the target: by key, and by key and dispatching process.
    std::map<call_key, int> executions;
    std::map<std::pair<call_key, std::string>, int> executions_by;
    std::vector<told> answers;
    std::map<std::string, int> seen;
    std::size_t left_pending = 0;
    std::size_t left_unresolved = 0;
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
constexpr auto end_of_world = time_point{90s};
auto const organisation = organisation_id{"kigali"};

class world
{
public:
    explicit world(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < host_count; ++i)
        {
            start_process(i);
        }
        plan_faults();
        plan_asks();
    }

    auto run() -> world_report
    {
        while (!steps_.empty() && steps_.begin()->first <= end_of_world)
        {
            auto const it = steps_.begin();
            now_ = it->first;
            auto const work = std::move(it->second);
            steps_.erase(it);
            work();
        }
        for (auto const& each : hosts_)
        {
            report_.left_pending += each.book->pending();
            report_.left_unresolved += each.book->unresolved();
        }
        for (auto const& [ask, open] : open_)
        {
            auto const& host = hosts_[open.host];
            report_.unanswered += host.self == open.process ? 1U : 0U;
        }
        return std::move(report_);
    }

private:
    struct process
    {
        process_id self;
        std::unique_ptr<order_book> book;
        time_point paused_until;
    };

    struct open_ask
    {
        std::size_t host = 0;
        process_id process;
        call_key key;
        bool repeat = false;
        std::function<void(reply const&)> back;
    };

    auto chance(std::uint64_t percent) -> bool
    {
        return random_.below(100) < percent;
    }

    auto delay(duration most) -> duration
    {
        return duration{static_cast<duration::rep>(
            random_.below(static_cast<std::uint64_t>(most.count())))};
    }

    auto a_host() -> std::size_t
    {
        return random_.below(host_count);
    }

    void at(time_point when, std::function<void()> work)
    {
        steps_.emplace(when, std::move(work));
    }

    void seen(std::string const& what)
    {
        ++report_.seen[what];
    }

    void start_process(std::size_t i)
    {
        auto const start = next_incarnation_++;
        auto const id = process_id{host_id{"host-" + std::to_string(i)},
                                   incarnation{start}};
        auto limits = book_limits{};
        limits.platform_calls = {30, 20};
        limits.tickets.lifetime = 8s;
        limits.outcomes.max_outcomes = 6;
        auto secret = ticket_secret{};
        secret[0] = static_cast<unsigned char>(start);
        hosts_.resize(host_count);
        hosts_[i] = process{id,
                            std::make_unique<order_book>(
                                id, secret, limits, random_source{random_()}),
                            {}};
        tick(i, id);
    }

    /// Runs `work` in process `id` now or when its pause ends; never if that
    /// process is gone.
    void in_process(std::size_t i, process_id const& id,
                    std::function<void()> const& work)
    {
        if (hosts_[i].self != id)
        {
            return;
        }
        if (hosts_[i].paused_until > now_)
        {
            at(hosts_[i].paused_until,
               [this, i, id, work] { in_process(i, id, work); });
            return;
        }
        work();
    }

    void tick(std::size_t i, process_id const& id)
    {
        in_process(i, id,
                   [this, i, id]
                   {
                       feed(i, timer_due{});
                       at(now_ + 50ms, [this, i, id] { tick(i, id); });
                   });
    }

    void feed(std::size_t i, event const& it)
    {
        auto const id = hosts_[i].self;
        auto const* const ask = std::get_if<asked>(&it);
        auto const asking = ask != nullptr ? ask->ask : ask_id{0};
        carry_out(i, id, hosts_[i].book->on_event(it, now_), asking);
    }

    void feed_later(std::size_t i, process_id const& id, duration after,
                    event const& it)
    {
        at(now_ + after, [this, i, id, it]
           { in_process(i, id, [this, i, it] { feed(i, it); }); });
    }

    void carry_out(std::size_t i, process_id const& id, actions const& all,
                   ask_id asking = ask_id{0})
    {
        for (auto const& each : all)
        {
            if (auto const* const it = std::get_if<answer>(&each))
            {
                tell(*it, asking);
            }
            else
            {
                std::visit([&](auto const& what) { send(i, id, what); }, each);
            }
        }
    }

    void tell(answer const& it, ask_id asking)
    {
        auto const found = open_.find(it.ask);
        if (found == open_.end())
        {
            seen("answered twice");
            return;
        }
        auto const open = found->second;
        open_.erase(found);
        seen(std::string{to_string(it.what.ran)});
        report_.answers.push_back(told{open.key, open.process, open.repeat,
                                       it.ask == asking, it.what});
        if (open.back)
        {
            open.back(it.what);
        }
    }

    void send(std::size_t /*i*/, process_id const& /*id*/, answer const& /**/)
    {
    }

    // ---- the key-value service -------------------------------------------

    /// One call there and back: `apply` runs unless the request is lost, and
    /// its event is lost, late, or in time. A failure is told at a timeout.
    void platform_call(std::size_t i, process_id const& id,
                       std::function<event()> const& apply, event const& failed)
    {
        constexpr auto timeout = duration{400ms};
        if (chance(15) || (platform_down_ && chance(80)))
        {
            feed_later(i, id, timeout, failed);
            return;
        }
        auto const there = delay(chance(20) ? 2s : 100ms);
        at(now_ + there,
           [=, this]
           {
               auto const result = apply();
               auto const lost = chance(30);
               auto const late = there >= timeout;
               if (!lost || late)
               {
                   feed_later(i, id, 10ms, result);
               }
               if (lost && !late)
               {
                   seen("answer lost after the write");
                   feed_later(i, id, timeout - there, failed);
               }
           });
        if (there >= timeout)
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
                auto const stands = claims_.emplace(it.key, it.record).first;
                return claim_answered{it.key, it.record.nonce, stands->second};
            },
            claim_lost{it.key, it.record.nonce});
    }

    void send(std::size_t i, process_id const& id, read_claim const& it)
    {
        platform_call(
            i, id,
            [this, it]() -> event
            {
                auto const stands = claims_.find(it.key);
                auto found = std::optional<claim_record>{};
                if (stands != claims_.end())
                {
                    found = stands->second;
                    seen("claim read back");
                }
                return claim_read_back{it.key, it.nonce, found};
            },
            claim_unread{it.key, it.nonce});
    }

    void send(std::size_t i, process_id const& id, mark_abandoned const& it)
    {
        platform_call(
            i, id,
            [this, it]() -> event
            {
                auto& stands = claims_.emplace(it.key, it.record).first->second;
                if (stands.owner == it.record.owner &&
                    stands.nonce == it.record.nonce)
                {
                    seen("marked abandoned");
                    stands = it.record;
                }
                return abandon_answered{it.key, it.record.nonce};
            },
            abandon_lost{it.key, it.record.nonce});
    }

    // ---- the target ------------------------------------------------------

    void send(std::size_t i, process_id const& id, dispatch const& it)
    {
        if (chance(8))
        {
            feed_later(i, id, 10ms,
                       dispatch_outcome{it.key, it.attempt, no_target{}});
            return;
        }
        at(now_ + delay(chance(15) ? 4s : 100ms), [this, i, id, it]
           { in_process(i, id, [this, i, id, it] { connect(i, id, it); }); });
    }

    void connect(std::size_t i, process_id const& id, dispatch const& it)
    {
        auto then = actions{};
        auto const granted =
            hosts_[i].book->permit_send(it.key, it.attempt, now_, then);
        carry_out(i, id, then);
        if (!granted)
        {
            seen("send not permitted");
            return;
        }
        if (chance(25))
        {
            auto const target =
                target_id{"t" + std::to_string(it.attempt.value())};
            feed_later(
                i, id, delay(200ms),
                dispatch_outcome{it.key, it.attempt, not_connected{target}});
            return;
        }
        // Bytes may leave long after the permission, while the process is
        // paused, and even if it is gone by then.
        at(now_ + delay(chance(20) ? 6s : 20ms),
           [this, i, id, it]
           {
               ++report_.executions[it.key];
               ++report_.executions_by[{it.key, process_name(id)}];
               auto const lost = chance(30);
               auto const outcome =
                   lost ? outcome_of_dispatch{broken{}}
                        : outcome_of_dispatch{target_answer{200, "done"}};
               for (auto copies = 1 + random_.below(2); copies > 0; --copies)
               {
                   feed_later(i, id, delay(chance(20) ? 5s : 200ms),
                              dispatch_outcome{it.key, it.attempt, outcome});
               }
           });
    }

    // ---- callers and other hosts -----------------------------------------

    void arrive(std::size_t i, call_key const& key, time_point deadline,
                bool repeat, bool forwarded,
                std::function<void(reply const&)> back = {})
    {
        auto const ask = ask_id{next_ask_++};
        open_[ask] = open_ask{i, hosts_[i].self, key, repeat, std::move(back)};
        feed(i, asked{ask, key, call_, deadline, repeat, forwarded});
    }

    void send(std::size_t i, process_id const& id, forward const& it)
    {
        seen("forwarded");
        auto const owner =
            static_cast<std::size_t>(it.owner.host.value().back() - '0');
        feed_later(i, id, 3s, forward_lost{it.ask});
        if (chance(20))
        {
            return;
        }
        auto const back = [this, i, id, it](reply const& what)
        {
            if (!chance(20))
            {
                feed_later(i, id, delay(200ms), forward_answered{it.ask, what});
            }
        };
        for (auto copies = 1 + random_.below(2); copies > 0; --copies)
        {
            at(now_ + delay(chance(20) ? 5s : 100ms),
               [this, it, owner, back]
               {
                   in_process(owner, it.owner,
                              [this, it, owner, back] {
                                  arrive(owner, it.key, it.deadline, it.repeat,
                                         true, back);
                              });
               });
        }
    }

    void plan_asks()
    {
        for (std::size_t n = 0; n < key_count; ++n)
        {
            at(time_point{delay(20s)}, [this, n] { begin_order(n); });
        }
    }

    void begin_order(std::size_t n)
    {
        auto key = call_key{organisation, "order-" + std::to_string(n)};
        if (n % 2 == 0)
        {
            auto const given =
                hosts_[a_host()].book->give_ticket(organisation, now_, {});
            key.text = given.value();
        }
        for (auto copies = 1 + random_.below(5); copies > 0; --copies)
        {
            auto const repeat = chance(50);
            auto const i = a_host();
            at(now_ + delay(chance(30) ? 9s : 300ms),
               [this, i, key, repeat]
               {
                   in_process(i, hosts_[i].self,
                              [this, i, key, repeat]
                              {
                                  auto const wait = 1s + delay(3s);
                                  arrive(i, key, now_ + wait, repeat, false);
                              });
               });
        }
    }

    void plan_faults()
    {
        for (auto n = random_.below(8); n > 0; --n)
        {
            auto const i = a_host();
            auto const pause = delay(6s);
            at(time_point{delay(30s)},
               [this, i, pause] { hosts_[i].paused_until = now_ + pause; });
        }
        for (auto n = random_.below(4); n > 0; --n)
        {
            auto const i = a_host();
            at(time_point{delay(30s)}, [this, i] { start_process(i); });
        }
        for (auto n = random_.below(3); n > 0; --n)
        {
            auto const from = time_point{delay(25s)};
            at(from, [this] { set_platform(false); });
            at(std::min(from + delay(10s), end_of_faults),
               [this] { set_platform(true); });
        }
        // News of two outages may cross; the last news is true.
        at(end_of_pauses, [this] { set_platform(true); });
    }

    void set_platform(bool up)
    {
        platform_down_ = !up;
        for (std::size_t i = 0; i < host_count; ++i)
        {
            feed_later(i, hosts_[i].self, delay(500ms),
                       up ? event{platform_up{}} : event{platform_down{}});
        }
    }

    random_source random_;
    time_point now_{};
    std::multimap<time_point, std::function<void()>> steps_;
    std::vector<process> hosts_;
    std::map<call_key, claim_record> claims_;
    bool platform_down_ = false;
    std::map<ask_id, open_ask> open_;
    std::uint64_t next_ask_ = 1;
    std::uint64_t next_incarnation_ = 1;
    std::shared_ptr<plain_call const> call_ =
        std::make_shared<plain_call const>(plain_call{
            service_id{"bookings"}, "/bookings", "booth 4", "text/plain"});
    world_report report_;
};

/// Whether `it` ends its claim for good in the process that told it.
auto closes_the_key_there(told const& it) -> bool
{
    return !it.at_once || it.what.code == reason::claim_unresolved;
}

/// What is wrong with an answer; empty if it is true.
auto fault_of(world_report const& world, told const& it) -> std::string
{
    auto const found = world.executions.find(it.key);
    auto const runs = found == world.executions.end() ? 0 : found->second;
    if (it.what.ran == verdict::ran && runs != 1)
    {
        return "told ran: " + it.key.text;
    }
    if (it.what.ran != verdict::not_run || runs == 0)
    {
        return {};
    }
    if (looks_like_ticket(it.key.text) || it.repeat)
    {
        return "told not_run, but the key ran: " + it.key.text;
    }
    auto const by = std::pair{it.key, process_name(it.by)};
    if (closes_the_key_there(it) && world.executions_by.contains(by))
    {
        return "told not_run, but it ran there: " + it.key.text;
    }
    return {};
}

auto fault_of(world_report const& world) -> std::string
{
    for (auto const& [key, runs] : world.executions)
    {
        if (runs > 1)
        {
            return "ran more than once: " + key.text;
        }
    }
    for (auto const& each : world.answers)
    {
        if (auto fault = fault_of(world, each); !fault.empty())
        {
            return fault;
        }
    }
    if (world.seen.contains("answered twice") || world.unanswered != 0)
    {
        return "not exactly one answer to each ask";
    }
    auto const left = world.left_unresolved + world.left_pending;
    return left == 0 ? "" : "claims or orders left open";
}

BOOST_AUTO_TEST_SUITE(in_a_world_of_faults)

BOOST_AUTO_TEST_CASE(an_order_runs_at_most_once_and_not_run_is_true)
{
    BOOST_TEST(rc::check("orders among hosts",
                         []
                         {
                             auto const seed = *rc::gen::noShrink(
                                 rc::gen::arbitrary<std::uint64_t>());
                             auto const report = world{mix64(seed)}.run();
                             RC_ASSERT(fault_of(report) == "");
                         }));
}

BOOST_AUTO_TEST_CASE(the_world_is_as_rough_as_it_should_be)
{
    auto seen = std::map<std::string, int>{};
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
    {
        auto const report = world{seed}.run();
        BOOST_TEST(fault_of(report) == "",
                   "seed " << seed << ": " << fault_of(report));
        for (auto const& [what, n] : report.seen)
        {
            seen[what] += n;
        }
    }
    for (auto const* const what :
         {"ran", "may_have_run", "not_run", "claim read back", "forwarded",
          "answer lost after the write", "marked abandoned",
          "send not permitted"})
    {
        BOOST_TEST(seen[what] > 10, what << " seen " << seen[what]);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace primrosedeal::order
