#include "gateway/relay.hpp"

#include "core/overloaded.hpp"
#include "core/part_of.hpp"
#include "gateway/log_text.hpp"
#include "log/log.hpp"

#include <algorithm>
#include <utility>

// The decisions are in `admit`, `dispatch` and `routes`; this file carries
// them out and logs each with the inputs that decided it.
namespace primrosedeal::gateway
{

namespace
{

using dispatch::attempt_failure;
using dispatch::observation;

constexpr auto success = 200;
/// Time for a connection, between these bounds and as part of the objective.
constexpr auto shortest_connect = duration{80ms};
constexpr auto longest_connect = duration{250ms};
/// Part of the objective after which a repeatable call is tried elsewhere.
constexpr auto call_patience_part = 0.6;
/// How soon a client may come back when no target had room.
constexpr auto retry_after_busy = duration{100ms};
/// A client of a leaving host reaches another one with its next connection.
constexpr auto retry_after_leaving = duration{10ms};
/// Most urgent and least urgent class of a target.
constexpr auto most_urgent = 0;
constexpr auto least_urgent = 9;

auto evidence_of(attempt_failure it) -> observation
{
    switch (it)
    {
    case attempt_failure::not_connected:
    case attempt_failure::broken:
        return observation::unreachable;
    case attempt_failure::not_executed:
        return observation::busy;
    case attempt_failure::silent:
        return observation::silent;
    case attempt_failure::misdirected:
    case attempt_failure::target_error:
    case attempt_failure::damaged:
        return observation::failed;
    }
    return observation::failed;
}

/// Headers of a target's answer that go on to the client.
auto forwarded(http1::response_head const& it) -> http1::response_head
{
    auto out = http1::response_head{it.status, {}};
    for (auto const& header : it.headers)
    {
        if (!http1::is_hop_by_hop(header.name, it.headers))
        {
            out.headers.push_back(header);
        }
    }
    return out;
}

auto own_answer(int status, std::optional<duration> retry_after)
    -> http1::response_head
{
    auto out = http1::response_head{status, {}};
    out.headers.push_back({"Content-Type", "application/json"});
    if (retry_after)
    {
        out.headers.push_back(
            {"Retry-After", std::to_string(to_seconds(*retry_after))});
    }
    return out;
}

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
      facts_(host.wire.read_request(message_)), table_(host.table),
      arrived_at_(now)
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
        admit(table_.get(), facts_, message_.target, now, host_.random);
    if (auto const* const no = std::get_if<refusal>(&verdict))
    {
        refuse(*no, now);
        return;
    }
    admitted_ = std::get<admitted>(verdict);
    auto const& route = *admitted_.route;
    auto const expected =
        streaming() ? host_.stream_time.upper() : route.objective;
    if (host_.leaving_since &&
        !dispatch::can_finish_before_exit(
            *host_.leaving_since, host_.settings.shutdown_grace, expected, now))
    {
        constexpr auto unavailable = 503;
        refuse({unavailable, refusal_reason::leaving, retry_after_leaving},
               now);
        return;
    }
    state_.kind = route.kind;
    state_.resumable = route.resumable;
    state_.max_runs = route.max_attempts;
    last_event_ = facts_.resume_after;
    host_.counts.request(admitted_.service->id, now);
    client_->on_gone(
        [self = weak_from_this()]
        {
            if (auto const it = self.lock())
            {
                it->on_client_gone(net::event_loop::now());
            }
        });
    end_by(host_.leaving_since
               ? dispatch::final_answer_time(*host_.leaving_since,
                                             host_.settings.shutdown_grace)
               : admitted_.give_up_at,
           now);
    try_next(now);
}

void relay::end_by(time_point at, time_point now)
{
    admitted_.give_up_at = std::min(admitted_.give_up_at, at);
    state_.deadline_at = admitted_.give_up_at;
    deadline_ =
        host_.loop.after(std::max(admitted_.give_up_at - now, 0us),
                         [this] { on_deadline(net::event_loop::now()); });
}

void relay::refuse(refusal const& it, time_point now)
{
    host_.metrics.refused(to_string(it.why));
    log::write(log::level::info, "request_refused",
               {{"request", facts_.id.value()},
                {"status", std::to_string(it.status)},
                {"reason", std::string{to_string(it.why)}},
                {"host", facts_.host},
                {"path", message_.target},
                {"configuration",
                 table_ ? std::to_string(table_->version().value()) : "none"}});
    reply_own(it);
    finish("refused", it.status, now);
}

void relay::reply_own(refusal const& it)
{
    client_->reply(own_answer(it.status, it.retry_after),
                   "{\"error\":\"" + std::string{to_string(it.why)} + "\"}",
                   false);
}

auto relay::view() const -> dispatch::placement_view
{
    return {host_.targets.usable(admitted_.service->id), host_.doubts,
            host_.loads, host_.others};
}

auto relay::placement() const -> dispatch::placement_request
{
    auto out = dispatch::placement_request{};
    out.size = facts_.size;
    out.own_domain = host_.settings.domain;
    if (admitted_.service->engine)
    {
        out.target_memory = admitted_.service->engine->memory.value();
    }
    out.tried = met_;
    return out;
}

auto relay::hopeless(time_point now) const -> bool
{
    return streaming() &&
           !dispatch::can_finish_by(
               host_.stream_shape,
               host_.reading_time.expect(facts_.size.prompt.value()),
               last_event_, admitted_.give_up_at, now);
}

void relay::try_next(time_point now)
{
    auto const point = std::exchange(resume_at_, std::nullopt);
    auto const usable =
        point && host_.targets.takes_new_work(point->target.id) &&
        host_.doubts.health_of(point->target.id, point->target.domain, now) !=
            dispatch::health::excluded;
    if (usable)
    {
        send(point->target, point->copy, now);
        return;
    }
    if (hopeless(now))
    {
        auto const needed =
            host_.stream_shape.min_remaining_time(last_event_) +
            host_.reading_time.expect(facts_.size.prompt.value());
        log::write(log::level::info, "request_hopeless",
                   {{"request", facts_.id.value()},
                    {"time_left_ms", milliseconds(admitted_.give_up_at - now)},
                    {"usual_least_ms", milliseconds(needed)}});
        end_unserved(refusal_reason::hopeless,
                     dispatch::final_status(state_, now), now);
        return;
    }
    auto const target = dispatch::place(view(), placement(), now, host_.random);
    if (target)
    {
        send(*target, {}, now);
        return;
    }
    end_unserved(refusal_reason::no_target, dispatch::final_status(state_, now),
                 now);
}

auto relay::plan_attempt(directory::listed_target const& target,
                         std::optional<kept_copy> const& from, time_point now)
    -> attempt_plan
{
    auto const& route = *admitted_.route;
    auto spec = attempt_spec{};
    spec.target = target.id;
    spec.time_left = admitted_.give_up_at - now;
    spec.organisation = admitted_.organisation;
    spec.resume_after = last_event_;
    spec.continue_from = from;
    if (admitted_.service->engine)
    {
        auto const resumed = attempts_ > 0 ? 1 : 0;
        spec.urgency =
            std::clamp(admitted_.priority - resumed, most_urgent, least_urgent);
    }
    if (current_->copy)
    {
        spec.copy_to = current_->copy->address;
    }
    auto out = attempt_plan{};
    out.target = target;
    out.id = facts_.id;
    out.message = host_.wire.make_attempt(message_, spec);
    out.connect_timeout = std::clamp(part_of(route.objective, 0.5),
                                     shortest_connect, longest_connect);
    out.streaming = streaming();
    out.watch.gap_objective = route.gap_objective;
    out.watch.first_event_due = admitted_.objective_at;
    out.watch.warm = from.has_value();
    out.watch.timed_out_in_prefill = moved_while_reading_;
    out.watch.expected_first =
        host_.reading_time.expect(facts_.size.prompt.value());
    auto const last_run = state_.runs + 1 >= state_.max_runs;
    if (route.kind == routes::request_kind::idempotent && !last_run)
    {
        out.patience = part_of(route.objective, call_patience_part);
    }
    return out;
}

void relay::send(directory::listed_target const& target,
                 std::optional<kept_copy> const& from, time_point now)
{
    auto const warm = from.has_value();
    current_.emplace();
    current_->target = target;
    current_->sent_at = now;
    current_->warm = warm;
    auto const& engine = admitted_.service->engine;
    if (engine && engine->supports_continuous_copy && state_.resumable)
    {
        current_->copy = dispatch::place_copy(view(), placement(), target, now,
                                              host_.random);
    }
    auto plan = plan_attempt(target, from, now);
    ++attempts_;
    met_.push_back(target.id);
    auto const load = host_.loads.at_target(target.id);
    auto const others = host_.others.load_of(target.id);
    log::write(log::level::info, "request_sent",
               {{"request", facts_.id.value()},
                {"attempt", std::to_string(attempts_)},
                {"target", target.id.value()},
                {"domain", target.domain.value()},
                {"from_copy", warm ? "true" : "false"},
                {"copy", current_->copy ? current_->copy->id.value() : ""},
                {"own_requests_there", std::to_string(load.requests)},
                {"own_unread_tokens_there",
                 std::to_string(load.pending_prefill_tokens)},
                {"others_unread_tokens_there",
                 std::to_string(others.pending_prefill_tokens)},
                {"hosts_heard", std::to_string(host_.others.live_hosts())},
                {"configuration", std::to_string(table_->version().value())},
                {"time_left_ms", milliseconds(admitted_.give_up_at - now)}});
    host_.loads.sent(target.id, facts_.size);
    host_.doubts.sent_to(target.domain, now);
    if (warm)
    {
        current_->began = true;
        host_.loads.prefilled(target.id, facts_.size);
    }
    if (current_->copy)
    {
        host_.loads.copy_added(current_->copy->id, facts_.size);
    }
    auto events = attempt_events{};
    events.on_event =
        [this](http1::response_head const& head, http1::stream_event it)
    {
        on_event(head, std::move(it), net::event_loop::now());
    };
    events.on_stream_end = [this]
    {
        on_stream_end(net::event_loop::now());
    };
    events.on_answer = [this](target_answer const& it)
    {
        on_answer(it, net::event_loop::now());
    };
    events.on_failure =
        [this](attempt_failure how, std::optional<target_answer> answer)
    {
        on_failure(how, std::move(answer), net::event_loop::now());
    };
    current_->io =
        std::make_unique<attempt>(host_.loop, host_.wire, host_.prober,
                                  std::move(plan), std::move(events), now);
}

void relay::on_event(http1::response_head const& head, http1::stream_event it,
                     time_point now)
{
    if (!current_->began)
    {
        current_->began = true;
        host_.loads.prefilled(current_->target.id, facts_.size);
        host_.reading_time.observe(facts_.size.prompt.value(),
                                   now - current_->sent_at);
    }
    if (!std::exchange(current_->has_event, true))
    {
        protect(now);
    }
    if (it.id && last_event_ && *it.id <= *last_event_)
    {
        // The client has it from an earlier attempt.
        return;
    }
    if (!state_.answer_started)
    {
        state_.answer_started = true;
        first_event_after_ = now - arrived_at_;
        host_.metrics.first_event(now - arrived_at_);
        client_->start(forwarded(head));
    }
    else if (attempts_ > 1 && last_event_at_ && interrupted_)
    {
        interrupted_ = false;
        log_continued(now - *last_event_at_);
    }
    if (it.id)
    {
        last_event_ = it.id;
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
               {{"request", facts_.id.value()},
                {"attempt", std::to_string(attempts_)},
                {"target", current_->target.id.value()},
                {"from_copy", current_->warm ? "true" : "false"},
                {"pause_ms", milliseconds(pause)}});
}

void relay::on_stream_end(time_point now)
{
    host_.doubts.report(current_->target.id, current_->target.domain,
                        observation::answered, now);
    leave_target();
    host_.stream_time.observe(now - arrived_at_);
    if (!facts_.resume_after && last_event_)
    {
        host_.stream_shape.observe(*last_event_,
                                   now - arrived_at_ - first_event_after_);
    }
    client_->finish();
    finish("complete", success, now);
}

void relay::on_answer(target_answer const& it, time_point now)
{
    host_.doubts.report(current_->target.id, current_->target.domain,
                        observation::answered, now);
    leave_target();
    client_->reply(forwarded(it.head), it.body, false);
    finish("complete", it.head.status, now);
}

void relay::on_failure(attempt_failure how, std::optional<target_answer> answer,
                       time_point now)
{
    auto const target = current_->target;
    auto const worse =
        host_.doubts.report(target.id, target.domain, evidence_of(how), now);
    host_.metrics.attempt_failed(to_string(how));
    log::write(
        log::level::info, "attempt_failed",
        {{"request", facts_.id.value()},
         {"attempt", std::to_string(attempts_)},
         {"target", target.id.value()},
         {"domain", target.domain.value()},
         {"how", std::string{to_string(how)}},
         {"set_aside", worse ? "true" : "false"},
         {"domain_in_doubt",
          host_.doubts.domain_suspected(target.domain, now) ? "true" : "false"},
         {"last_event", last_event_ ? std::to_string(*last_event_) : "none"}});
    if (how == attempt_failure::misdirected)
    {
        host_.targets.handle(directory::target_replaced{target.id}, now);
        host_.just_replaced.push_back(target.id);
    }
    auto const arrived = how != attempt_failure::not_connected;
    arrivals_ += arrived ? 1 : 0;
    if (!arrived && std::exchange(counted_, false))
    {
        host_.counts.refund_attempt(admitted_.service->id, now);
    }
    if (may_have_run(how))
    {
        state_.may_have_run = true;
        ++state_.runs;
    }
    else
    {
        ++state_.refusals;
    }
    if (answer)
    {
        error_answer_ = std::move(answer);
    }
    resume_at_ = resume_point_after_failure();
    if (spare_ && resume_at_)
    {
        // It is used, or its lifetime ends it.
        spare_->name.reset();
    }
    moved_while_reading_ |=
        how == attempt_failure::silent && !current_->has_event;
    interrupted_ = state_.answer_started;
    leave_target();
    retry_or_end(now);
    if (worse)
    {
        warn_others(target, now);
    }
}

void relay::retry_or_end(time_point now)
{
    auto const step = dispatch::after_failure(state_, now);
    if (auto const* const end = std::get_if<dispatch::end_request>(&step))
    {
        end_unserved(now >= admitted_.give_up_at
                         ? refusal_reason::deadline
                         : refusal_reason::attempts_used,
                     end->status, now);
        return;
    }
    auto const purpose = state_.answer_started
                             ? fleet::attempt_purpose::continuation
                             : fleet::attempt_purpose::answer;
    // The budget counts arrivals beyond a request's first one.
    counted_ = arrivals_ > 0;
    if (counted_ && !host_.take_attempt(admitted_.service->id, purpose, now))
    {
        end_unserved(refusal_reason::retry_budget,
                     dispatch::final_status(state_, now), now);
        return;
    }
    try_next(now);
}

void relay::end_unserved(refusal_reason why, int status, time_point now)
{
    host_.metrics.refused(to_string(why));
    leave_target();
    if (state_.answer_started)
    {
        client_->abort();
        finish(to_string(why), 0, now);
        return;
    }
    if (error_answer_)
    {
        client_->reply(forwarded(error_answer_->head), error_answer_->body,
                       false);
        finish("target_error", error_answer_->head.status, now);
        return;
    }
    constexpr auto not_run = 503;
    auto const comes_back =
        status == not_run && why != refusal_reason::hopeless;
    auto const retry_after =
        comes_back ? std::optional{retry_after_busy} : std::nullopt;
    reply_own({status, why, retry_after});
    finish(to_string(why), status, now);
}

void relay::on_deadline(time_point now)
{
    if (current_ && current_->io && current_->io->may_have_sent())
    {
        state_.may_have_run = true;
    }
    // The timer may be a moment early.
    auto const at = std::max(now, admitted_.give_up_at);
    end_unserved(refusal_reason::deadline, dispatch::final_status(state_, at),
                 now);
}

void relay::on_client_gone(time_point now)
{
    leave_target();
    finish("client_gone", 0, now);
}

auto relay::resume_point_after_failure() const -> std::optional<resume_point>
{
    // Targets copy a run's memory from its first event on.
    if (!current_->has_event)
    {
        return std::nullopt;
    }
    if (current_->copy && !current_->copy_lost)
    {
        return resume_point{*current_->copy,
                            {current_->copy->address, facts_.id.value()}};
    }
    if (spare_ && spare_->name)
    {
        return resume_point{spare_->to,
                            {current_->target.address, *spare_->name}};
    }
    return std::nullopt;
}

void relay::leave_target()
{
    if (!current_)
    {
        return;
    }
    drop_spare();
    host_.loads.ended(current_->target.id, facts_.size, current_->began);
    if (current_->copy)
    {
        host_.loads.copy_dropped(current_->copy->id, facts_.size);
    }
    current_.reset();
}

void relay::finish(std::string_view outcome, int status, time_point now)
{
    auto const kind = admitted_.route == nullptr
                          ? std::string_view{"none"}
                          : to_string(admitted_.route->kind);
    deadline_.cancel();
    host_.metrics.request_ended(kind, outcome, now - arrived_at_);
    log::write(
        log::level::info, "request_ended",
        {{"request", facts_.id.value()},
         {"kind", std::string{kind}},
         {"outcome", std::string{outcome}},
         {"status", std::to_string(status)},
         {"attempts", std::to_string(attempts_)},
         {"runs", std::to_string(state_.runs)},
         {"took_ms", milliseconds(now - arrived_at_)},
         {"first_event_ms", milliseconds(first_event_after_)},
         {"longest_pause_ms", milliseconds(longest_pause_)},
         {"last_event", last_event_ ? std::to_string(*last_event_) : "none"}});
    // The caller may still be inside this object.
    host_.loop.post([held = shared_from_this()] {});
    host_.relays.erase(this);
}

} // namespace primrosedeal::gateway
