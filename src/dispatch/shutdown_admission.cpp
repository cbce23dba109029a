#include "dispatch/shutdown_admission.hpp"

#include <algorithm>
#include <tuple>

namespace primrosedeal::dispatch
{

namespace
{

/// Before the deadline is considered; nothing if too few were observed.
auto expected_time(shutdown_request const& it, recent_times const& recent)
    -> std::optional<duration>
{
    auto const slow_end = std::max(recent.upper, recent.slowest);
    if (it.kind == routes::request_kind::idempotent)
    {
        return slow_end;
    }
    if (it.kind == routes::request_kind::streaming && it.resumable &&
        it.since_shutdown < resumable_cut_time)
    {
        return recent.upper;
    }
    return recent.answered < min_slow_end_sample
               ? std::nullopt
               : std::optional{slow_end_multiple * slow_end};
}

} // namespace

void completion_times::advance(time_point now)
{
    auto const age = now - current_since_;
    if (age < recent_window)
    {
        return;
    }
    if (age >= 2 * recent_window)
    {
        *this = {};
        current_since_ = now;
        return;
    }
    previous_ = std::exchange(current_, {});
    current_since_ += recent_window;
}

void completion_times::observe(duration took, time_point now)
{
    advance(now);
    last_observed_ = now;
    ++current_.answered;
    current_.slowest = std::max(current_.slowest, took);
    if (estimate_)
    {
        estimate_->observe(took);
    }
    else
    {
        estimate_.emplace(took);
    }
}

void completion_times::observe_unanswered(duration took, time_point now)
{
    advance(now);
    last_observed_ = now;
    current_.slowest = std::max(current_.slowest, took);
    // A shorter time would lower the mean, but the answer would have taken
    // longer.
    if (estimate_ && took > estimate_->value())
    {
        estimate_->observe(took);
    }
}

auto completion_times::mean() const -> std::optional<duration>
{
    return estimate_ ? std::optional{estimate_->value()} : std::nullopt;
}

auto completion_times::recent(time_point now) const
    -> std::optional<recent_times>
{
    auto it = *this;
    it.advance(now);
    auto const answered = it.current_.answered + it.previous_.answered;
    if (answered == 0)
    {
        return std::nullopt;
    }
    return recent_times{it.estimate_->upper(),
                        std::max(it.current_.slowest, it.previous_.slowest),
                        answered};
}

auto completion_time_table::of(routes::request_kind kind,
                               service_id const& service) -> completion_times&
{
    auto const key = std::pair{kind, service};
    if (it_.size() >= max_entries && !it_.contains(key))
    {
        it_.erase(std::min_element(it_.begin(), it_.end(),
                                   [](auto const& a, auto const& b) {
                                       return a.second.last_observed() <
                                              b.second.last_observed();
                                   }));
    }
    return it_[key];
}

auto time_needed(shutdown_request const& it,
                 std::optional<recent_times> const& recent) -> duration
{
    auto const expected = recent ? expected_time(it, *recent) : std::nullopt;
    return expected ? std::min(std::max(*expected, it.objective), it.time_left)
                    : it.time_left;
}

} // namespace primrosedeal::dispatch
