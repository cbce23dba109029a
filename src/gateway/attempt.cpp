#include "gateway/attempt.hpp"

#include "core/overloaded.hpp"

#include <utility>

// An answer streams if its route does and its status is a success; any other
// answer is collected and judged as a whole. Events are passed on only when
// they are whole, so a target that breaks off inside one leaves no trace.
namespace primrosedeal::gateway
{

namespace
{

using dispatch::attempt_failure;

constexpr auto misdirected_request = 421;
constexpr auto first_server_error = 500;
constexpr auto first_redirect = 300;

auto judge(http1::response_head const& head, answer_facts const& facts)
    -> std::optional<attempt_failure>
{
    if (head.status == misdirected_request)
    {
        return attempt_failure::misdirected;
    }
    if (facts.not_executed)
    {
        return attempt_failure::not_executed;
    }
    if (facts.of_another_request || facts.encoded || !facts.is_signed)
    {
        return attempt_failure::damaged;
    }
    if (head.status >= first_server_error)
    {
        return attempt_failure::target_error;
    }
    return std::nullopt;
}

} // namespace

struct attempt::state : std::enable_shared_from_this<state>
{
    state(net::event_loop& on, protocol const& names, connect_prober& probes,
          attempt_plan it, attempt_events handlers)
        : loop(on), wire(names), prober(probes), plan(std::move(it)),
          events(std::move(handlers))
    {
    }

    net::event_loop& loop;
    protocol const& wire;
    connect_prober& prober;
    attempt_plan plan;
    attempt_events events;
    std::unique_ptr<http1::client_call> call;
    net::timer watch;
    std::optional<http1::response_head> head;
    std::string body;
    http1::event_splitter splitter;
    bool streams = false;
    bool over = false;

    void start()
    {
        auto handlers = http1::call_events{};
        handlers.on_head = [this](http1::response_head it)
        {
            on_head(std::move(it));
        };
        handlers.on_body = [this](std::string_view bytes)
        {
            on_body(bytes);
        };
        handlers.on_complete = [this]
        {
            on_complete();
        };
        handlers.on_error = [this](http1::call_error why)
        {
            on_error(why);
        };
        call = std::make_unique<http1::client_call>(
            loop, plan.target.address, plan.message, plan.connect_timeout,
            std::move(handlers));
        if (plan.streaming)
        {
            check(net::event_loop::now());
        }
        else if (plan.patience)
        {
            watch = loop.after(*plan.patience,
                               [this] { fail(attempt_failure::silent); });
        }
    }

    /// Ends with `how`; nothing runs after it.
    void fail(attempt_failure how, std::optional<target_answer> answer = {})
    {
        auto const held = shared_from_this();
        auto const unsent =
            how == attempt_failure::silent && call && !call->may_have_sent();
        stop();
        auto const report = std::move(events.on_failure);
        report(unsent ? attempt_failure::not_connected : how,
               std::move(answer));
    }

    void stop()
    {
        over = true;
        watch.cancel();
        call.reset();
    }

    void on_head(http1::response_head it)
    {
        auto const held = shared_from_this();
        auto const facts = wire.read_answer(it, plan.id);
        streams =
            plan.streaming && it.status < first_redirect && !judge(it, facts);
        head = std::move(it);
    }

    void on_body(std::string_view bytes)
    {
        if (!streams)
        {
            body += bytes;
            return;
        }
        auto const held = shared_from_this();
        for (auto& event : splitter.feed(bytes))
        {
            plan.watch.last_event = net::event_loop::now();
            events.on_event(*head, std::move(event));
            if (over)
            {
                return;
            }
        }
    }

    void on_complete()
    {
        auto const held = shared_from_this();
        if (streams)
        {
            end_stream();
            return;
        }
        auto const failed = judge(*head, wire.read_answer(*head, plan.id));
        auto answer = target_answer{std::move(*head), std::move(body)};
        if (failed == attempt_failure::target_error)
        {
            fail(*failed, std::move(answer));
        }
        else if (failed)
        {
            fail(*failed);
        }
        else
        {
            stop();
            auto const report = std::move(events.on_answer);
            report(std::move(answer));
        }
    }

    void end_stream()
    {
        if (!splitter.rest().empty() || !plan.watch.last_event)
        {
            fail(attempt_failure::broken);
            return;
        }
        stop();
        auto const report = std::move(events.on_stream_end);
        report();
    }

    void on_error(http1::call_error why)
    {
        switch (why)
        {
        case http1::call_error::not_connected:
            fail(attempt_failure::not_connected);
            return;
        case http1::call_error::closed_unanswered:
        case http1::call_error::truncated:
            fail(attempt_failure::broken);
            return;
        case http1::call_error::malformed:
            fail(attempt_failure::damaged);
            return;
        }
    }

    void check(time_point now)
    {
        auto const step =
            dispatch::check_stream(dispatch::watch_limits{}, plan.watch, now);
        std::visit(overloaded{[&](dispatch::keep_waiting const& it)
                              { check_again(it.until - now); },
                              [&](dispatch::probe_target const&)
                              { probe(now); },
                              [&](dispatch::end_attempt const&)
                              {
                                  fail(attempt_failure::silent);
                              }},
                   step);
    }

    void check_again(duration after)
    {
        watch = loop.after(after, [this] { check(net::event_loop::now()); });
    }

    void probe(time_point now)
    {
        plan.watch.probed_at = now;
        prober.probe(plan.target.address,
                     [self = weak_from_this()](bool alive)
                     {
                         auto const it = self.lock();
                         if (it && !it->over && !alive)
                         {
                             it->fail(attempt_failure::silent);
                         }
                     });
        check_again(0s);
    }
};

attempt::attempt(net::event_loop& loop, protocol const& wire,
                 connect_prober& prober, attempt_plan plan,
                 attempt_events events, time_point now)
    : state_(std::make_shared<state>(loop, wire, prober, std::move(plan),
                                     std::move(events)))
{
    state_->plan.watch.sent_at = now;
    state_->start();
}

attempt::~attempt()
{
    state_->stop();
}

auto attempt::may_have_sent() const -> bool
{
    return state_->call && state_->call->may_have_sent();
}

} // namespace primrosedeal::gateway
