#include "gateway/path_events.hpp"
#include "gateway/relay.hpp"

#include <utility>

// Takes an attempt to its target directly or, while the direct path is lost,
// through another host.
namespace primrosedeal::gateway
{

namespace
{

using dispatch::attempt_failure;

auto to_result(connection_outcome it) -> reachability::connection_result
{
    switch (it)
    {
    case connection_outcome::accepted:
        return reachability::connection_result::accepted;
    case connection_outcome::refused:
        return reachability::connection_result::refused;
    case connection_outcome::timed_out:
        return reachability::connection_result::timed_out;
    }
    return reachability::connection_result::timed_out;
}

} // namespace

void relay::on_no_path(directory::listed_target const& target,
                       std::optional<copy_reference> const& from,
                       time_point now)
{
    if (from)
    {
        resume_point_ = resume_point{target, *from};
    }
    if (std::exchange(attempt_counted_, false))
    {
        host_.request_counts.refund_attempt(admitted_.service->id, now);
    }
    // A begun stream asks all helpers again after its delay.
    failed_helpers_.clear();
    sent_without_helper_ = false;
    on_denial(refusal_reason::no_path, now);
}

void relay::on_connection(connection_outcome it, time_point now)
{
    if (!current_->path.helper)
    {
        on_direct_connection(host_, current_->target, to_result(it),
                             current_->sent_at, now);
    }
    else if (it == connection_outcome::accepted)
    {
        host_.helpers.succeeded(*current_->path.helper);
    }
    else
    {
        current_->helper_failed_there = true;
    }
}

void relay::on_tunnel_refusal(http1::tunnel_refusal why, time_point now)
{
    auto const& helper = *current_->path.helper;
    // Otherwise the target is at fault, and the helper may reach others.
    if (on_tunnel_refused(host_, helper, why, now))
    {
        failed_helpers_.push_back(helper);
    }
}

auto relay::failed_on_path(attempt_failure how) const -> bool
{
    auto const without_answer = how == attempt_failure::not_connected ||
                                how == attempt_failure::broken ||
                                how == attempt_failure::silent;
    if (current_->path.helper)
    {
        return without_answer && !current_->helper_failed_there;
    }
    return without_answer &&
           path_explains_failure(host_, current_->target, current_->sent_at);
}

auto relay::can_move(time_point now) -> bool
{
    if (!state_.resumable || state_.runs + 1 >= state_.max_runs)
    {
        return false;
    }
    if (resume_point_after_failure())
    {
        return true;
    }
    auto it = placement(now);
    if (auto const fixed = fixed_version())
    {
        it.versions = {*fixed};
    }
    auto const to = dispatch::place(view(), it, now, host_.random);
    return to && to->id != current_->target.id && !cannot_meet_deadline(now);
}

} // namespace primrosedeal::gateway
