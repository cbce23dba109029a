#include "gateway/cost_events.hpp"
#include "gateway/log_text.hpp"
#include "gateway/relay.hpp"
#include "log/log.hpp"

#include <algorithm>
#include <cmath>

// Reports the progress of a request to the estimates of its service's costs,
// and compares what was expected with what was observed.
namespace primrosedeal::gateway
{

auto relay::costs() const -> expected_cost::service_estimates*
{
    if (!admitted_.service->engine || metadata_.size.prompt.value() == 0)
    {
        return nullptr;
    }
    return &host_.expected_costs[admitted_.service->id];
}

auto relay::cost_key() const -> expected_cost::cost_key
{
    auto const& route = *admitted_.route;
    return {route.host + route.path_prefix,
            admitted_.organisation.value_or(organisation_id{})};
}

auto relay::stated_output() const -> expected_cost::stated_output
{
    return {metadata_.size.output, metadata_.length_hint};
}

auto relay::expected_output() const -> double
{
    auto const* const it = costs();
    if (it == nullptr)
    {
        return 0;
    }
    auto const begun = static_cast<double>(last_event_.value_or(0)) *
                       it->model.tokens_per_event();
    return std::max(it->model.expected(cost_key(), stated_output()) - begun,
                    it->model.tokens_per_event());
}

void relay::begin_cost(time_point now)
{
    if (auto* const it = costs())
    {
        auto const& target = current_->target;
        current_->cost = it->begin(
            target, static_cast<double>(metadata_.size.prompt.value()),
            expected_output(), current_->warm, pending_at(host_, target.id),
            now);
    }
}

auto relay::expected_first_event() const -> duration
{
    auto const usual = service_times().expected_prefill(metadata_.size.prompt);
    // A target that is known to take longer is not given up before: another one
    // would have to prefill the whole prompt again.
    return current_->warm ? usual : std::max(usual, current_->cost.first_event);
}

void relay::on_cost_event(time_point now)
{
    auto* const it = costs();
    if (it == nullptr)
    {
        return;
    }
    auto const& target = current_->target;
    auto& cost = current_->cost;
    auto const running = host_.loads.at_target(target.id).requests +
                         host_.other_hosts.load_of(target.id).requests;
    if (it->on_event(cost, target, running, now))
    {
        host_.metrics.cost_observed("first_event",
                                    to_seconds(now - cost.sent_at) /
                                        to_seconds(cost.first_event));
    }
}

void relay::observe_cost(time_point now)
{
    auto* const it = costs();
    if (it == nullptr || metadata_.resume_after || !last_event_)
    {
        return;
    }
    auto const& cost = current_->cost;
    auto const predicted = it->model.expected(cost_key(), stated_output());
    it->model.observe(cost_key(), stated_output(), *last_event_);
    auto const output =
        static_cast<double>(*last_event_) * it->model.tokens_per_event();
    host_.metrics.cost_observed("output", output / predicted);
    log::write(log::level::info, "request_cost",
               {{"request", metadata_.id.value()},
                {"target", current_->target.id.value()},
                {"speed", std::to_string(it->speed(current_->target, now))},
                {"ahead", std::to_string(std::llround(cost.ahead))},
                {"first_event_ms", milliseconds(time_to_first_event_)},
                {"expected_first_event_ms", milliseconds(cost.first_event)},
                {"output", std::to_string(std::llround(output))},
                {"expected_output", std::to_string(std::llround(predicted))},
                {"hint", metadata_.length_hint
                             ? std::to_string(metadata_.length_hint->value())
                             : "none"}});
}

void relay::end_cost()
{
    if (auto* const it = costs())
    {
        it->end(current_->cost, current_->target.id, net::event_loop::now());
    }
}

} // namespace primrosedeal::gateway
