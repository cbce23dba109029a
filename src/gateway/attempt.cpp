#include "gateway/attempt.hpp"

#include "core/overloaded.hpp"
#include "gateway/response_body.hpp"

#include <utility>

// A response is streamed if its route is streaming and its status is a success;
// any other response is buffered and validated as a whole. Only complete events
// are forwarded, so the client never sees part of an event from a target that
// fails in the middle of it.
namespace primrosedeal::gateway
{

namespace
{

using dispatch::attempt_failure;

constexpr auto misdirected_request = 421;
constexpr auto first_client_error = 400;
constexpr auto first_server_error = 500;
constexpr auto first_redirect = 300;
/// Bytes of a stream in which an event with data must end.
constexpr auto max_event_bytes = std::size_t{1} << 20U;
/// Time after which a run that no target could take over is checked again.
constexpr auto move_check_period = duration{100ms};
/// How soon a target is watched again after its answer has been read on.
constexpr auto paused_check_period = duration{100ms};

/// Statuses by which a client is told that its request did not run.
auto states_not_run(int status) -> bool
{
    constexpr auto request_timeout = 408;
    constexpr auto too_many_requests = 429;
    constexpr auto unavailable = 503;
    return status == request_timeout || status == too_many_requests ||
           status == unavailable;
}

auto classify_failure(http1::response_head const& head,
                      response_metadata const& metadata)
    -> std::optional<attempt_failure>
{
    // A refusal of another request says nothing about this one.
    if (metadata.request_id_mismatch)
    {
        return attempt_failure::damaged;
    }
    if (head.status == misdirected_request)
    {
        return attempt_failure::misdirected;
    }
    if (metadata.not_executed && head.status >= first_client_error)
    {
        return attempt_failure::not_executed;
    }
    if (metadata.not_executed || states_not_run(head.status) ||
        metadata.encoded || !metadata.is_signed)
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
    state(net::event_loop& on, protocol const& adapter, connect_prober& probes,
          attempt_plan it, attempt_events handlers)
        : loop(on), wire(adapter), prober(probes), plan(std::move(it)),
          events(std::move(handlers))
    {
    }

    net::event_loop& loop;
    protocol const& wire;
    connect_prober& prober;
    attempt_plan plan;
    attempt_events events;
    std::unique_ptr<http1::client_call> call;
    net::timer timeout_timer;
    std::optional<http1::response_head> head;
    response_body body;
    http1::event_splitter splitter;
    /// For the unfinished event.
    buffer_share rest_share;
    /// Bytes of whole events since the last one that had data.
    std::size_t bytes_without_data = 0;
    std::optional<time_point> unanswered_since;
    std::optional<time_point> may_run_until;
    bool refused = false;
    bool target_timed_out = false;
    bool connection_reported = false;
    bool streams = false;
    bool has_event = false;
    bool awaits_answer = false;
    bool standstill_reported = false;
    bool reading_paused = false;
    bool ended = false;

    void start()
    {
        auto handlers = http1::call_events{};
        handlers.on_connected = [this]
        {
            on_connected(net::event_loop::now());
        };
        handlers.on_refused = [this]
        {
            refused = true;
            report_answered();
            report_connection(connection_outcome::refused);
        };
        handlers.on_tunnel_refused = [this](http1::tunnel_refusal why)
        {
            on_tunnel_refused(why);
        };
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
            std::move(handlers), plan.path);
        if (!plan.streaming && plan.response_timeout)
        {
            timeout_timer =
                loop.after_input(*plan.response_timeout,
                                 [this] { fail(attempt_failure::silent); });
        }
    }

    [[nodiscard]] auto is_direct() const -> bool
    {
        return std::holds_alternative<http1::direct_connection>(plan.path);
    }

    void report_answered() const
    {
        if (is_direct() && events.on_connection_answered)
        {
            events.on_connection_answered();
        }
    }

    void report_connection(connection_outcome it)
    {
        if (std::exchange(connection_reported, true))
        {
            return;
        }
        if (events.on_connection_result)
        {
            events.on_connection_result(it);
        }
    }

    void on_tunnel_refused(http1::tunnel_refusal why)
    {
        if (events.on_tunnel_refused)
        {
            events.on_tunnel_refused(why);
        }
        if (why == http1::tunnel_refusal::target_refused)
        {
            report_connection(connection_outcome::refused);
        }
        else if (why == http1::tunnel_refusal::target_timed_out)
        {
            target_timed_out = true;
            report_connection(connection_outcome::timed_out);
        }
    }

    /// Until then only the connect timeout applies to a stream.
    void on_connected(time_point now)
    {
        report_answered();
        report_connection(connection_outcome::accepted);
        if (plan.streaming)
        {
            plan.stream_timing.connected_at = now;
            schedule_check(0s);
        }
    }

    /// Ends the attempt and reports `how`; no callback runs afterwards.
    void fail(attempt_failure how, std::optional<target_response> response = {})
    {
        auto const held = shared_from_this();
        auto const unsent =
            how == attempt_failure::silent && call && !call->may_have_sent();
        may_run_until = call ? call->may_run_until() : std::nullopt;
        stop();
        auto const reported = unsent ? attempt_failure::not_connected : how;
        if (unsent && !is_direct())
        {
            on_tunnel_refused(http1::tunnel_refusal::no_answer);
        }
        // A helper's silence says nothing of the target.
        if (reported == attempt_failure::not_connected && !refused &&
            (is_direct() || target_timed_out))
        {
            unanswered_since = plan.stream_timing.sent_at;
            report_connection(connection_outcome::timed_out);
        }
        auto const report = std::move(events.on_failure);
        report(reported, std::move(response));
    }

    void stop()
    {
        ended = true;
        timeout_timer.cancel();
        call.reset();
        body.take();
        // An assignment would keep the memory of the unfinished event.
        std::exchange(splitter, {});
        rest_share.release();
    }

    void on_head(http1::response_head it)
    {
        auto const held = shared_from_this();
        auto const metadata = wire.read_response(it, plan.id);
        if (events.on_response_head && it.status != misdirected_request &&
            !metadata.request_id_mismatch)
        {
            events.on_response_head(metadata);
        }
        streams = plan.streaming && plan.message.method != "HEAD" &&
                  it.status < first_redirect && !classify_failure(it, metadata);
        head = std::move(it);
    }

    void on_body(std::string_view bytes)
    {
        if (!streams)
        {
            if (!body.append(bytes))
            {
                fail(attempt_failure::damaged);
            }
            return;
        }
        auto const held = shared_from_this();
        for (auto& event : splitter.feed(bytes))
        {
            plan.stream_timing.last_event = net::event_loop::now();
            plan.stream_timing.unreachable_since.reset();
            awaits_answer = false;
            standstill_reported = false;
            bytes_without_data =
                event.has_data ? 0 : bytes_without_data + event.bytes.size();
            if (plan.resumed && !event.id)
            {
                // Only an id tells what of the stream the client has.
                if (event.has_data)
                {
                    fail(attempt_failure::damaged);
                    return;
                }
                continue;
            }
            has_event = true;
            events.on_event(*head, std::move(event));
            if (ended)
            {
                return;
            }
        }
        if (bytes_without_data + splitter.rest().size() > max_event_bytes ||
            !rest_share.resize(splitter.rest().size()))
        {
            fail(attempt_failure::damaged);
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
        auto const failed =
            classify_failure(*head, wire.read_response(*head, plan.id));
        auto response = target_response{std::move(*head), body.take()};
        if (failed == attempt_failure::target_error)
        {
            fail(*failed, std::move(response));
        }
        else if (failed)
        {
            fail(*failed);
        }
        else
        {
            stop();
            auto const report = std::move(events.on_response);
            report(std::move(response));
        }
    }

    void end_stream()
    {
        if (!splitter.rest().empty() || !has_event)
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

    void pause_reading(bool on, time_point now)
    {
        if (ended || !call || reading_paused == on)
        {
            return;
        }
        reading_paused = on;
        call->pause_reading(on);
        if (plan.stream_timing.last_event)
        {
            plan.stream_timing.last_event = now;
        }
    }

    void check_progress(time_point now)
    {
        if (reading_paused)
        {
            schedule_check(paused_check_period);
            return;
        }
        auto& facts = plan.stream_timing;
        auto step =
            dispatch::check_stream(dispatch::watch_limits{}, facts, now);
        auto const leaving =
            std::holds_alternative<dispatch::end_attempt>(step) ||
            std::holds_alternative<dispatch::await_answer>(step);
        if (leaving && events.can_move && !events.can_move())
        {
            auto const last_run = std::exchange(facts.last_run, true);
            step = dispatch::check_stream(dispatch::watch_limits{}, facts, now);
            facts.last_run = last_run;
            if (auto* const it = std::get_if<dispatch::keep_waiting>(&step))
            {
                it->until = std::min(it->until, now + move_check_period);
            }
        }
        std::visit(overloaded{[&](dispatch::keep_waiting const& it)
                              { schedule_check(it.until - now); },
                              [&](dispatch::probe_target const&)
                              { probe(now); },
                              [&](dispatch::await_answer const& it)
                              { await_answer(it, now); },
                              [&](dispatch::end_attempt const&)
                              {
                                  end_for_silence();
                              }},
                   step);
    }

    void end_for_silence()
    {
        if (plan.stream_timing.unreachable_since)
        {
            unanswered_since = plan.stream_timing.probed_at;
        }
        fail(attempt_failure::silent);
    }

    void schedule_check(duration after)
    {
        timeout_timer = loop.after_input(
            after, [this] { check_progress(net::event_loop::now()); });
    }

    void await_answer(dispatch::await_answer const& it, time_point now)
    {
        if (it.probe)
        {
            probe(now);
            return;
        }
        awaits_answer = true;
        schedule_check(it.until - now);
    }

    void on_probed(bool alive, time_point now)
    {
        auto& facts = plan.stream_timing;
        if (alive)
        {
            facts.unreachable_since.reset();
            return;
        }
        facts.unreachable_since = facts.unreachable_since.value_or(now);
        check_progress(now);
    }

    void on_queried(query_result it, http1::response_head const* answer,
                    time_point now)
    {
        if (answer != nullptr && wire.states_leaving(answer->headers) &&
            events.on_leaving)
        {
            events.on_leaving();
        }
        on_probed(it != query_result::unreachable, now);
        if (it == query_result::answered)
        {
            plan.stream_timing.answered_at = now;
            check_progress(now);
        }
        else if (it == query_result::unanswered && awaits_answer &&
                 !std::exchange(standstill_reported, true) &&
                 events.on_standstill)
        {
            events.on_standstill();
        }
    }

    void query()
    {
        prober.query(
            plan.target.address, *plan.status_query,
            [self = weak_from_this()](query_result result,
                                      http1::response_head const* answer)
            {
                auto const it = self.lock();
                if (it && !it->ended)
                {
                    it->on_queried(result, answer, net::event_loop::now());
                }
            },
            plan.path);
        schedule_check(0s);
    }

    void probe(time_point now)
    {
        plan.stream_timing.probed_at = now;
        if (plan.status_query)
        {
            query();
            return;
        }
        prober.probe(
            plan.target.address,
            [self = weak_from_this()](bool alive)
            {
                auto const it = self.lock();
                if (it && !it->ended)
                {
                    it->on_probed(alive, net::event_loop::now());
                }
            },
            plan.path);
        schedule_check(0s);
    }
};

attempt::attempt(net::event_loop& loop, protocol const& wire,
                 connect_prober& prober, attempt_plan plan,
                 attempt_events events, time_point now)
    : state_(std::make_shared<state>(loop, wire, prober, std::move(plan),
                                     std::move(events)))
{
    auto& it = state_->plan;
    it.stream_timing.sent_at = now;
    it.stream_timing.answers_queries = it.status_query.has_value();
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

void attempt::pause_reading(bool paused, time_point now)
{
    state_->pause_reading(paused, now);
}

auto attempt::unanswered_since() const -> std::optional<time_point>
{
    return state_->unanswered_since;
}

auto attempt::may_run_until() const -> std::optional<time_point>
{
    return state_->may_run_until;
}

} // namespace primrosedeal::gateway
