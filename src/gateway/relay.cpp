#include "gateway/relay.hpp"

#include "core/part_of.hpp"
#include "gateway/log_text.hpp"
#include "gateway/own_link_events.hpp"
#include "gateway/request_limit_events.hpp"
#include "gateway/response_heads.hpp"
#include "gateway/target_events.hpp"
#include "log/log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

// Decisions are made in `admit`, `dispatch` and `routes`; this file executes
// them and logs each one with its inputs.
namespace primrosedeal::gateway
{

namespace
{

using dispatch::attempt_failure;
using dispatch::observation;

constexpr auto success = 200;
/// Fraction of the latency objective after which an idempotent call is retried
/// at another target.
constexpr auto call_timeout_fraction = 0.6;
/// Helpers that may fail to open a tunnel for one request.
constexpr auto max_failed_helpers = std::size_t{3};
/// Range of scheduling priorities at a target.
constexpr auto highest_priority = 0;
constexpr auto lowest_priority = 9;

} // namespace

void relay::start(host_state& host, http1::request message,
                  std::shared_ptr<http1::exchange> client, time_point now)
{
    auto it = std::make_shared<relay>(host, std::move(message),
                                      std::move(client), now);
    host.relays.emplace(it.get(), it);
    it->begin(now);
}

relay::relay(host_state& host, http1::request message,
             std::shared_ptr<http1::exchange> client, time_point now)
    : host_(host), message_(std::move(message)), client_(std::move(client)),
      metadata_(host.wire.read_request(message_)),
      stream_(stream_origin::to_stream_id(
          metadata_.resumes.value_or(metadata_.id))),
      table_(host.table), arrived_at_(now)
{
}

auto relay::streaming() const -> bool
{
    return admitted_.route != nullptr &&
           admitted_.route->kind == routes::request_kind::streaming;
}

void relay::begin(time_point now)
{
    auto const verdict =
        admit(table_.get(), metadata_, message_.target, now, host_.random);
    if (auto const* const no = std::get_if<refusal>(&verdict))
    {
        refuse(*no, now);
        return;
    }
    admitted_ = std::get<admitted>(verdict);
    client_deadline_at_ = admitted_.deadline_at;
    auto const& route = *admitted_.route;
    if (!fits_before_exit(now))
    {
        constexpr auto unavailable = 503;
        refuse({unavailable, refusal_reason::leaving, retry_after_elsewhere},
               now);
        return;
    }
    state_.kind = route.kind;
    state_.resumable = route.resumable;
    state_.max_runs = route.max_attempts;
    last_event_ = metadata_.resume_after;
    if (begun() && !find_origin(now))
    {
        return;
    }
    identify_suspects();
    on_prompt(host_, *admitted_.service, metadata_.size, now);
    host_.request_counts.request(admitted_.service->id, now);
    client_->on_gone(
        [self = weak_from_this()](http1::client_loss how)
        {
            if (auto const it = self.lock())
            {
                it->on_client_disconnected(how, net::event_loop::now());
            }
        });
    client_->on_flow(
        [self = weak_from_this()](bool stopped)
        {
            if (auto const it = self.lock())
            {
                it->on_client_flow(stopped, net::event_loop::now());
            }
        });
    limit_deadline(
        host_.shutdown_started_at
            ? dispatch::final_answer_time(*host_.shutdown_started_at,
                                          host_.settings.shutdown_grace)
            : admitted_.deadline_at,
        now);
    start_next_attempt(now);
}

void relay::limit_deadline(time_point at, time_point now)
{
    admitted_.deadline_at = std::min(admitted_.deadline_at, at);
    state_.deadline_at = admitted_.deadline_at;
    deadline_ =
        host_.loop.after(std::max(admitted_.deadline_at - now, 0us),
                         [this] { on_deadline(net::event_loop::now()); });
}

auto relay::view() const -> dispatch::placement_view
{
    return {host_.targets.usable(admitted_.service->id),
            host_.detector,
            host_.loads,
            host_.other_hosts,
            host_.limiter,
            host_.rejection_gate,
            costs(),
            &host_.pauses};
}

auto relay::placement(time_point now) const -> dispatch::placement_request
{
    auto out = dispatch::placement_request{};
    out.size = metadata_.size;
    out.own_domain = host_.settings.domain;
    if (admitted_.service->engine)
    {
        out.target_memory = admitted_.service->engine->memory.value();
    }
    out.versions = versions_;
    out.tried = tried_targets_;
    out.arrival = arrival();
    if (!admitted_.service->engine && !streaming())
    {
        out.calls = call_demand(now);
    }
    out.expected_output = expected_output();
    out.objective_left = admitted_.objective_at - now;
    return out;
}

auto relay::call_demand(time_point now) const
    -> std::optional<dispatch::call_demand>
{
    auto const& service = admitted_.service->id;
    auto const rate = host_.other_hosts.request_rate(service, now);
    if (!rate)
    {
        return std::nullopt;
    }
    auto const mean = completion_times().mean();
    return dispatch::call_demand{
        *rate,
        mean.value_or(dispatch::first_mean_time(admitted_.route->objective)),
        host_.targets.usable(service).size()};
}

auto relay::arrival() const -> rejection_limit::arrival
{
    return tried_targets_.empty() && !metadata_.resume_after
               ? rejection_limit::arrival::independent
               : rejection_limit::arrival::burst;
}

auto relay::service_times() const -> dispatch::service_times&
{
    return host_.service_times[admitted_.service->id];
}

auto relay::cannot_meet_deadline(time_point now) -> bool
{
    auto const& size = metadata_.size;
    if (!streaming() ||
        now + service_times().least_time(size, last_event_, now) <=
            admitted_.deadline_at)
    {
        return false;
    }
    return !service_times().begin_trial(size, now);
}

void relay::start_next_attempt(time_point now)
{
    if (end_without_time(now))
    {
        return;
    }
    if (refuse_if_quarantined(now))
    {
        return;
    }
    if (!set_versions(now) || !follow_rollout(now))
    {
        return;
    }
    host_.update_limits(admitted_.service->id, now);
    auto const point = std::exchange(resume_point_, std::nullopt);
    auto const usable =
        point && host_.targets.takes_new_work(point->target.id) &&
        host_.limiter.permits(point->target.id, now) &&
        host_.rejection_gate.permits(point->target.id, arrival()) &&
        host_.pauses.permits(point->target, now) &&
        host_.detector.health_of(point->target.id, point->target.domain, now) !=
            dispatch::health::excluded;
    if (usable)
    {
        send(point->target, point->copy, now);
        return;
    }
    if (cannot_meet_deadline(now))
    {
        auto const needed =
            service_times().least_time(metadata_.size, last_event_, now);
        log::write(log::level::info, "request_hopeless",
                   {{"request", metadata_.id.value()},
                    {"time_left_ms", milliseconds(admitted_.deadline_at - now)},
                    {"least_ms", milliseconds(needed)},
                    {"service", admitted_.service->id.value()},
                    {"prompt", std::to_string(metadata_.size.prompt.value())}});
        end_with_failure(refusal_reason::hopeless,
                         dispatch::final_status(state_, now), now);
        return;
    }
    auto const target = place_attempt(now);
    if (target)
    {
        send(*target, {}, now);
        return;
    }
    if (std::exchange(attempt_counted_, false))
    {
        host_.request_counts.refund_attempt(admitted_.service->id, now);
    }
    on_denial(pause_retry_after(now)    ? refusal_reason::targets_paused
              : limit_retry_after(now)  ? refusal_reason::target_limits
              : rejection_retry_after() ? refusal_reason::rejection_limits
                                        : refusal_reason::no_target,
              now);
}

auto relay::plan_attempt(directory::listed_target const& target,
                         std::optional<copy_reference> const& from,
                         time_point now) -> attempt_plan
{
    auto const& route = *admitted_.route;
    auto spec = attempt_spec{};
    spec.target = target.id;
    spec.time_left = admitted_.deadline_at - now;
    spec.organisation = admitted_.organisation;
    spec.resume_after = last_event_;
    spec.continue_from = from;
    if (admitted_.service->engine)
    {
        auto const resumed = attempts_ > 0 ? 1 : 0;
        spec.scheduling_priority = std::clamp(
            admitted_.priority - resumed, highest_priority, lowest_priority);
    }
    if (current_->copy)
    {
        spec.copy_to = current_->copy->address;
    }
    auto const last_run = state_.runs + 1 >= state_.max_runs;
    auto out = attempt_plan{};
    out.target = target;
    out.id = metadata_.id;
    out.message = host_.wire.make_attempt(message_, spec);
    out.path = current_->path.path;
    if (auto* const tunnel = std::get_if<http1::tunnel_route>(&out.path))
    {
        // Only where another run may follow is it worse to keep this one than
        // to lose its answer.
        tunnel->leased = streaming() && state_.resumable && !last_run;
    }
    out.connect_timeout =
        dispatch::connect_timeout(state_, route.objective, now);
    if (current_->path.helper)
    {
        // Two connections are made, one after the other.
        out.connect_timeout *= 2;
    }
    if (admitted_.service->engine)
    {
        out.status_query = host_.wire.make_status_query(target.address);
    }
    out.streaming = streaming();
    out.resumed = last_event_.has_value();
    out.stream_timing.gap_objective = route.gap_objective;
    out.stream_timing.first_event_due = admitted_.objective_at;
    out.stream_timing.warm = from.has_value();
    out.stream_timing.prefill_timeouts = prefill_timeouts_;
    out.stream_timing.silent_attempts = silent_attempts_;
    out.stream_timing.last_run = last_run;
    out.stream_timing.expected_first = expected_first_event();
    if (route.kind == routes::request_kind::idempotent && !last_run)
    {
        out.response_timeout = part_of(route.objective, call_timeout_fraction);
    }
    return out;
}

void relay::send(directory::listed_target const& target,
                 std::optional<copy_reference> const& from, time_point now)
{
    auto path = choose_path(host_, target, failed_helpers_, now);
    if (!path || (path->helper && failed_helpers_.size() >= max_failed_helpers))
    {
        // One direct attempt finds a path that is back before a probe does.
        if (std::exchange(sent_without_helper_, true))
        {
            on_no_path(target, from, now);
            return;
        }
        path = attempt_path{};
    }
    auto const helped = path->helper.has_value();
    auto const warm = from.has_value();
    current_.emplace();
    current_->target = target;
    current_->path = std::move(*path);
    if (helped)
    {
        on_tunnel_begun(host_, *current_->path.helper);
    }
    current_->sent_at = now;
    current_->warm = warm;
    current_->from = from;
    begin_cost(now);
    auto const& engine = admitted_.service->engine;
    if (engine && engine->supports_continuous_copy && state_.resumable)
    {
        current_->copy = dispatch::place_copy(view(), placement(now), target,
                                              now, host_.random);
    }
    auto plan = plan_attempt(target, from, now);
    ++attempts_;
    tried_targets_.push_back(target.id);
    auto const load = host_.loads.at_target(target.id);
    auto const others_load = host_.other_hosts.load_of(target.id);
    log::write(log::level::info, "request_sent",
               {{"request", metadata_.id.value()},
                {"attempt", std::to_string(attempts_)},
                {"target", target.id.value()},
                {"domain", target.domain.value()},
                {"version", target.version.value()},
                {"resumes", metadata_.resumes.value_or(request_id{}).value()},
                {"helper", current_->path.helper.value_or(host_id{}).value()},
                {"from_copy", warm ? "true" : "false"},
                {"copy", current_->copy ? current_->copy->id.value() : ""},
                {"copy_version",
                 current_->copy ? current_->copy->version.value() : ""},
                {"own_requests_there", std::to_string(load.requests)},
                {"own_unread_tokens_there",
                 std::to_string(load.pending_prefill_tokens)},
                {"others_unread_tokens_there",
                 std::to_string(others_load.pending_prefill_tokens)},
                {"hosts_heard", std::to_string(host_.other_hosts.live_hosts())},
                {"configuration", std::to_string(table_->version().value())},
                {"time_left_ms", milliseconds(admitted_.deadline_at - now)}});
    host_.loads.sent(target.id, metadata_.size);
    host_.detector.sent_to(target.domain, now);
    host_.limiter.sent(target.id, now);
    host_.rejection_gate.sent(target.id, now);
    record_origin(now);
    host_.rollouts.sent(admitted_.service->id, target.version);
    if (warm)
    {
        current_->prefilled = true;
        host_.loads.prefilled(target.id, metadata_.size);
    }
    if (current_->copy)
    {
        host_.loads.copy_added(current_->copy->id, metadata_.size);
    }
    auto events = attempt_events{};
    events.on_connection_answered = [this]
    {
        on_connection_answered(host_, net::event_loop::now());
    };
    events.on_connection_result = [this](connection_outcome it)
    {
        on_connection(it, net::event_loop::now());
    };
    events.on_tunnel_refused = [this](http1::tunnel_refusal why)
    {
        on_tunnel_refusal(why, net::event_loop::now());
    };
    events.on_standstill = [this]
    {
        on_standstill(net::event_loop::now());
    };
    events.can_move = [this]
    {
        return can_move(net::event_loop::now());
    };
    events.on_response_head = [this](response_metadata const& it)
    {
        on_response_head(it, net::event_loop::now());
    };
    events.on_leaving = [this]
    {
        on_target_leaving(host_, current_->target, net::event_loop::now());
    };
    events.on_event =
        [this](http1::response_head const& head, http1::stream_event it)
    {
        on_event(head, std::move(it), net::event_loop::now());
    };
    events.on_stream_end = [this]
    {
        on_stream_end(net::event_loop::now());
    };
    events.on_response = [this](target_response const& it)
    {
        on_response(it, net::event_loop::now());
    };
    events.on_failure =
        [this](attempt_failure how, std::optional<target_response> response)
    {
        on_failure(how, std::move(response), net::event_loop::now());
    };
    current_->io =
        std::make_unique<attempt>(host_.loop, host_.wire, host_.prober,
                                  std::move(plan), std::move(events), now);
}

void relay::on_response_head(response_metadata const& it, time_point now)
{
    auto const& target = current_->target;
    auto const observed = [&](auto const& limit)
    {
        return request_limit::response{target.id, target.process_start, limit,
                                       current_->sent_at};
    };
    if (!it.unreadable_request_limit &&
        host_.limits.observe(observed(it.request_limit), now))
    {
        on_limit_changed(host_, target.id, it.request_limit, "response");
    }
    if (!it.unreadable_rejection_limit &&
        host_.rejection_limits.observe(observed(it.rejection_limit), now))
    {
        on_rejection_limit_changed(host_, target.id, it.rejection_limit,
                                   "response");
    }
    if (it.pause &&
        host_.pauses.pause(target.id, target.process_start, now + *it.pause))
    {
        log::write(log::level::info, "target_paused",
                   {{"target", target.id.value()},
                    {"for_ms", milliseconds(*it.pause)}});
    }
    if (it.target_leaves)
    {
        on_target_leaving(host_, target, now);
    }
}

void relay::on_event(http1::response_head const& head, http1::stream_event it,
                     time_point now)
{
    if (!current_->prefilled)
    {
        current_->prefilled = true;
        host_.loads.prefilled(current_->target.id, metadata_.size);
        service_times().observe_first_event(
            metadata_.size, now - current_->sent_at, current_->warm, now);
    }
    on_cost_event(now);
    if (!std::exchange(current_->has_event, true))
    {
        if (!current_->warm)
        {
            observe_for_rollout(false, now);
        }
        ensure_copy(now);
    }
    on_run_progress(now);
    if (it.id && last_event_ && *it.id <= *last_event_)
    {
        // The client has received this event from an earlier attempt.
        return;
    }
    if (!state_.answer_started)
    {
        state_.answer_started = true;
        origin_ = current_->target.version;
        time_to_first_event_ = now - arrived_at_;
        host_.metrics.first_event(now - arrived_at_);
        client_->start(forwarded(head));
    }
    else if (attempts_ > 1 && last_event_at_ && interrupted_)
    {
        interrupted_ = false;
        waiting_logged_ = false;
        log_continued(now - *last_event_at_);
    }
    if (it.id)
    {
        last_event_ = it.id;
    }
    else if (it.has_data)
    {
        // No other target can be told to go on after this event.
        state_.resumable = false;
    }
    longest_pause_ =
        std::max(longest_pause_, now - last_event_at_.value_or(now));
    last_event_at_ = now;
    client_->send(it.bytes);
}

void relay::log_continued(duration pause)
{
    host_.metrics.stream_continued(current_->warm, pause);
    log::write(log::level::info, "stream_continued",
               {{"request", metadata_.id.value()},
                {"attempt", std::to_string(attempts_)},
                {"target", current_->target.id.value()},
                {"from_copy", current_->warm ? "true" : "false"},
                {"pause_ms", milliseconds(pause)}});
}

void relay::on_stream_end(time_point now)
{
    host_.detector.report(current_->target.id, current_->target.domain,
                          observation::answered, now);
    on_run_proven(now);
    observe_cost(now);
    release_target();
    if (!metadata_.resume_after)
    {
        // What is left of a resumed stream is shorter than a stream.
        completion_times().observe(now - arrived_at_, now);
    }
    if (!metadata_.resume_after && last_event_)
    {
        service_times().observe_stream(metadata_.size, *last_event_,
                                       now - arrived_at_ - time_to_first_event_,
                                       now);
    }
    client_->finish();
    finish("complete", success, now);
}

void relay::on_response(target_response const& it, time_point now)
{
    if (state_.answer_started)
    {
        on_failure(attempt_failure::target_error, std::nullopt, now);
        return;
    }
    host_.detector.report(current_->target.id, current_->target.domain,
                          observation::answered, now);
    on_request_answered(now);
    observe_for_rollout(false, now);
    completion_times().observe(now - arrived_at_, now);
    release_target();
    client_->reply(forwarded(it.head), it.body, false);
    finish("complete", it.head.status, now);
}

void relay::release_target()
{
    if (!current_)
    {
        return;
    }
    drop_replacement();
    end_cost();
    host_.loads.ended(current_->target.id, metadata_.size, current_->prefilled);
    if (current_->copy)
    {
        host_.loads.copy_dropped(current_->copy->id, metadata_.size);
    }
    if (current_->path.helper)
    {
        on_tunnel_ended(host_, *current_->path.helper);
    }
    current_.reset();
}

} // namespace primrosedeal::gateway
