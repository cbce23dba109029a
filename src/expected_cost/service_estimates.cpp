#include "expected_cost/service_estimates.hpp"

#include "core/part_of.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace primrosedeal::expected_cost
{

namespace
{

constexpr auto prompt_weight = 1.0 / 32;
constexpr auto rate_seconds = 3.0;
/// A request that has begun its output has this much of it left on average.
constexpr auto mean_output_left = 0.5;

} // namespace

void service_estimates::arrived(double prompt, time_point now)
{
    own_rate =
        own_rate * std::exp(-to_seconds(now - arrived_at) / rate_seconds) +
        1 / rate_seconds;
    arrived_at = now;
    usual_prompt = usual_prompt == 0
                       ? prompt
                       : usual_prompt + (prompt - usual_prompt) * prompt_weight;
}

auto service_estimates::begin(directory::listed_target const& at, double prompt,
                              double output, bool warm,
                              pending_tokens const& pending, time_point now)
    -> run
{
    auto out = run{};
    out.ahead = candidate_at(at, {0, 0, pending}, now).tokens_ahead;
    out.prompt = prompt;
    out.speed = speed(at, now);
    out.first_event =
        part_of(speeds.prefill(out.ahead + prompt), 1 / out.speed);
    out.output_left = output;
    out.warm = warm;
    out.sent_at = now;
    if (warm)
    {
        work.resumed(at.id, output, now);
    }
    else
    {
        work.sent(at.id, prompt, out.ahead, now);
    }
    return out;
}

auto service_estimates::on_event(run& it, directory::listed_target const& at,
                                 std::uint32_t running, time_point now) -> bool
{
    if (!std::exchange(it.has_event, true))
    {
        it.observed_at = now;
        if (it.warm)
        {
            return false;
        }
        work.first_event(at.id, it.output_left, now);
        speeds.observe_prefill(
            {at.id, at.process_start},
            {it.ahead + it.prompt, now - it.sent_at, observer::own}, now);
        return true;
    }
    if (++it.events < events_observed)
    {
        return false;
    }
    auto const tokens =
        std::min(it.output_left, it.events * model.tokens_per_event());
    it.output_left -= tokens;
    work.generated(at.id, tokens, now);
    speeds.observe_events({at.id, at.process_start},
                          (now - it.observed_at) / it.events, running, now);
    it.events = 0;
    it.observed_at = now;
    return false;
}

void service_estimates::end(run const& it, target_id const& at, time_point now)
{
    auto const generating = it.warm || it.has_event;
    work.ended(at, generating ? std::optional{it.output_left} : std::nullopt,
               now);
}

void service_estimates::on_digest(digest_change const& it,
                                  pending_tokens pending, time_point now)
{
    pending.others -= std::min(pending.others, it.after);
    pending.others += it.before;
    auto const ahead = work.prefill_left(it.at.id, pending, usual_prompt,
                                         speeds.us_per_token(), now);
    auto const observed =
        work.digest_changed(it.from, it.at.id, it.before, it.after, ahead, now);
    if (observed && !it.ended)
    {
        speeds.observe_prefill(
            {it.at.id, it.at.process_start},
            {observed->tokens, observed->took, observer::digest}, now);
    }
}

auto service_estimates::speed(directory::listed_target const& at,
                              time_point now) const -> double
{
    auto const known = speeds.speed({at.id, at.process_start}, now);
    auto const bound =
        work.speed_bound(at.id,
                         {known, usual_prompt, speeds.us_per_token(),
                          speeds.event_time(at.slots), others.age},
                         now);
    return bound ? std::min(known, *bound) : known;
}

auto service_estimates::candidate_at(directory::listed_target const& at,
                                     target_use const& use,
                                     time_point now) const -> candidate
{
    auto out = candidate{};
    out.slots = at.slots;
    out.speed = speed(at, now);
    out.tokens_ahead =
        work.prefill_left(at.id, use.pending, usual_prompt,
                          speeds.us_per_token() / out.speed, now);
    auto const usual_output = std::max(1.0, model.usual_output());
    auto const own = std::min<double>(use.own_requests,
                                      work.output_left(at.id) / usual_output +
                                          (use.pending.own > 0 ? 1 : 0));
    out.running = own + mean_output_left * use.other_requests;
    return out;
}

auto service_estimates::to_place(double prompt, double output,
                                 duration objective_left,
                                 std::uint32_t slots) const -> work_to_place
{
    auto const per_token = [&](std::uint32_t running)
    {
        return static_cast<double>(speeds.event_time(running).count()) /
               model.tokens_per_event();
    };
    auto out = work_to_place{};
    out.prompt = prompt;
    out.output = output;
    out.objective_left = objective_left;
    out.us_per_token = speeds.us_per_token();
    out.us_per_output = per_token(1);
    out.us_per_output_full = std::max(out.us_per_output, per_token(slots));
    auto const rate = others.requests_per_second.value_or(
        own_rate * static_cast<double>(others.hosts));
    out.unseen_tokens = rate * to_seconds(others.age) * usual_prompt;
    return out;
}

} // namespace primrosedeal::expected_cost
