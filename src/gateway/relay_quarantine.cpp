#include "core/part_of.hpp"
#include "gateway/crash_events.hpp"
#include "gateway/log_text.hpp"
#include "gateway/relay.hpp"
#include "log/log.hpp"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

// Reports crashes and responses of targets to the quarantine, and refuses
// requests that are quarantined or contain a quarantined part of a prompt.
namespace primrosedeal::gateway
{

namespace
{

/// Time from a run's first event after which its target has survived the
/// beginning of the answer.
constexpr auto proven_after = duration{300ms};
/// Fraction of the expected prefill time before which a run cannot have begun.
constexpr auto min_prefill_fraction = 0.25;

} // namespace

/// Targets see the organisation, not the caller's key, which may change.
void relay::identify_suspects()
{
    auto const organisation =
        admitted_.organisation.value_or(organisation_id{}).value();
    identity_ = quarantine::to_identity(
        {message_.method, message_.target, organisation, message_.body});
    std::transform(metadata_.shared_parts.begin(), metadata_.shared_parts.end(),
                   std::back_inserter(suspects_), quarantine::to_part_id);
    suspects_.push_back(identity_);
}

auto relay::may_have_just_begun(time_point now) const -> bool
{
    auto const expected =
        service_times().expected_prefill(metadata_.size.prompt);
    return current_->warm || current_->has_event ||
           now - current_->sent_at >= part_of(expected, min_prefill_fraction);
}

auto relay::accused(time_point now) const -> quarantine::accused_run
{
    // A request may crash its target before the prompt is read, a part cannot.
    return {metadata_.id,
            may_have_just_begun(now) ? suspects_ : std::vector{identity_},
            current_->sent_at};
}

void relay::on_run_broken(directory::listed_target const& target,
                          time_point now)
{
    if (current_->proven)
    {
        return;
    }
    ++state_.crashes;
    // A connection may break without a crash, but a target that has crashed
    // takes no connections. A host without a path to it cannot tell.
    host_.prober.probe(
        target.address,
        [&host = host_, self = weak_from_this(), target, run = accused(now),
         now](bool alive)
        {
            auto const probed_at = net::event_loop::now();
            if (!alive && on_failed_probe(host, target, now, probed_at))
            {
                record_crash(host, target, run, now, probed_at);
                return;
            }
            if (!alive)
            {
                keep_unresolved_run(host, {target, run, now}, "path_lost");
            }
            if (auto const it = self.lock())
            {
                --it->state_.crashes;
            }
        });
}

void relay::settle_run(dispatch::attempt_failure how, bool excused,
                       time_point now)
{
    using dispatch::attempt_failure;
    auto const helped = current_->path.helper.has_value();
    if (how == attempt_failure::broken && !excused && !helped)
    {
        on_run_broken(current_->target, now);
    }
    else if (how == attempt_failure::broken)
    {
        on_run_unresolved(helped ? "through_helper" : "path_lost", now);
    }
    else if (how == attempt_failure::silent)
    {
        on_run_unresolved("timed_out", now);
    }
    else if (how == attempt_failure::not_connected && !helped)
    {
        check_unresolved_runs(host_, current_->target.id, now);
    }
    else if (how == attempt_failure::target_error)
    {
        on_request_answered(now);
    }
}

void relay::on_run_unresolved(std::string_view reason, time_point now)
{
    if (!current_->proven)
    {
        keep_unresolved_run(host_, {current_->target, accused(now), now},
                            reason);
    }
}

void relay::on_run_progress(time_point now)
{
    if (!current_->first_event_at)
    {
        current_->first_event_at = now;
    }
    if (now - *current_->first_event_at >= proven_after)
    {
        on_run_proven(now);
    }
}

void relay::on_run_proven(time_point now)
{
    if (!std::exchange(current_->proven, true))
    {
        host_.quarantine.record_progress(suspects_, now);
        host_.unresolved_runs.on_answer(current_->target.id, identity_, now);
    }
}

void relay::on_request_answered(time_point now)
{
    host_.quarantine.record_progress(std::span{&identity_, 1}, now);
    host_.unresolved_runs.on_answer(current_->target.id, identity_, now);
}

auto relay::refuse_if_quarantined(time_point now) -> bool
{
    auto const it =
        host_.quarantine.check(suspects_, host_.may_admit_trials(now), now);
    if (!it)
    {
        if (!state_.may_have_run || host_.quarantine.may_retry(identity_, now))
        {
            return false;
        }
        end_with_failure(refusal_reason::target_crashes,
                         dispatch::final_status(state_, now), now);
        return true;
    }
    auto const kind = quarantine::kind_of(it->part);
    log::write(log::level::info, "request_quarantined",
               {{"request", metadata_.id.value()},
                {"suspect_kind", std::string{to_string(kind)}},
                {"suspect", suspect_name(it->part)},
                {"crashes", std::to_string(it->crashes)},
                {"requests", std::to_string(it->requests)},
                {"until_ms", milliseconds(it->until - now)}});
    if (state_.may_have_run)
    {
        end_with_failure(refusal_reason::quarantined,
                         dispatch::final_status(state_, now), now);
        return true;
    }
    constexpr auto unavailable = 503;
    refuse({unavailable, refusal_reason::quarantined, it->until - now}, now);
    return true;
}

/// The id of a part as it is in the prompt; the identity of a request.
auto relay::suspect_name(quarantine::suspect_id id) const -> std::string
{
    for (auto i = std::size_t{0}; i < metadata_.shared_parts.size(); ++i)
    {
        if (suspects_.at(i) == id)
        {
            return metadata_.shared_parts[i];
        }
    }
    return hexadecimal(id.value());
}

} // namespace primrosedeal::gateway
