#include "gateway/relay.hpp"
#include "log/log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

// Sends requests to the versions that a rollout permits, and counts what comes
// of them.
namespace primrosedeal::gateway
{

namespace
{

using rollout::version_set;

auto common(version_set const& a, version_set const& b) -> version_set
{
    auto out = version_set{};
    std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                          std::inserter(out, out.end()));
    return out;
}

} // namespace

auto relay::follow_rollout(time_point now) -> bool
{
    versions_otherwise_.clear();
    if (!streaming() || !state_.resumable)
    {
        versions_.clear();
    }
    auto const& service = admitted_.service->id;
    if (!host_.rollouts.has(service))
    {
        return true;
    }
    if (!std::exchange(counted_for_rollout_, true))
    {
        host_.rollouts.request(service);
    }
    auto const fixed = fixed_version();
    if (fixed)
    {
        if (host_.rollouts.excludes(service, *fixed))
        {
            end_at_excluded_version(*fixed, now);
            return false;
        }
        versions_ = {*fixed};
        return true;
    }
    static auto const none = version_set{};
    auto const& all = host_.targets.versions();
    auto const listed = all.find(service);
    auto const permitted = host_.rollouts.permitted(
        service, listed == all.end() ? none : listed->second);
    if (permitted.preferred.empty())
    {
        return true;
    }
    if (versions_.empty())
    {
        versions_ = permitted.preferred;
        versions_otherwise_ = permitted.otherwise;
        return true;
    }
    // A resumable stream may begin only at versions that are recorded.
    auto const preferred = common(versions_, permitted.preferred);
    auto const otherwise = common(versions_, permitted.otherwise);
    versions_ = !preferred.empty()   ? preferred
                : !otherwise.empty() ? otherwise
                                     : permitted.preferred;
    versions_otherwise_ = preferred.empty() ? version_set{} : otherwise;
    return true;
}

void relay::end_at_excluded_version(software_version const& version,
                                    time_point now)
{
    constexpr auto unavailable = 503;
    log::write(log::level::info, "stream_without_version",
               {{"request", metadata_.id.value()},
                {"resumes", metadata_.resumes.value_or(request_id{}).value()},
                {"reason", "rollout"},
                {"version", version.value()}});
    if (std::exchange(attempt_counted_, false))
    {
        host_.request_counts.refund_attempt(admitted_.service->id, now);
    }
    if (state_.answer_started || state_.may_have_run)
    {
        end_with_failure(refusal_reason::version_gone,
                         dispatch::final_status(state_, now), now);
        return;
    }
    refuse({unavailable, refusal_reason::version_gone, std::nullopt}, now);
}

void relay::observe_for_rollout(bool failed, time_point now)
{
    auto const& service = admitted_.service->id;
    if (!current_ || !host_.rollouts.has(service))
    {
        return;
    }
    auto it = rollout::observation{};
    it.route = admitted_.route->name.empty() ? admitted_.route->path_prefix
                                             : admitted_.route->name;
    it.failed = failed;
    it.took = now - current_->sent_at;
    it.prompt = streaming() ? metadata_.size.prompt : token_count{};
    host_.rollouts.observe(service, current_->target.version, std::move(it),
                           now);
}

void relay::observe_failure_for_rollout(dispatch::attempt_failure how,
                                        bool excused, time_point now)
{
    using dispatch::attempt_failure;
    if (how == attempt_failure::target_error || how == attempt_failure::damaged)
    {
        observe_for_rollout(true, now);
    }
    else if (how == attempt_failure::silent && !excused && !current_->has_event)
    {
        // The response would have taken longer than the time waited.
        observe_for_rollout(false, now);
    }
}

} // namespace primrosedeal::gateway
