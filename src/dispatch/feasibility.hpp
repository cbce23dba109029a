#pragma once

#include "dispatch/load_tracker.hpp"
#include "dispatch/time_estimates.hpp"

#include "core/units.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

/// Estimates whether a stream can complete before its client's deadline.
///
/// Load pattern: all hosts lose power at once. Their clients detect this after
/// many seconds and reconnect simultaneously to resume, with a few seconds or
/// less left. Prefilling each prompt again takes most of that time, so these
/// answers cannot complete but would take engine time from requests that can.
/// Such a request is refused immediately instead of at its deadline.
///
/// A refused request shows nothing of the time that it would have taken. So
/// the estimate is a lower bound from the best times observed lately, at the
/// same service: without observations, or for a prompt beyond all observed
/// sizes, it claims nothing that was not observed. Beside it, one request of
/// each size is sent as a trial in each `trial_period`.
namespace primrosedeal::dispatch
{

/// The smallest value observed lately: within the last one to two
/// `minimum_period`.
constexpr auto minimum_period = duration{30s};

class recent_minimum
{
public:
    void observe(double value, time_point now);
    [[nodiscard]] auto value(time_point now) const -> std::optional<double>;

private:
    std::optional<double> current_;
    std::optional<double> previous_;
    time_point current_since_{};
};

/// Lower bound on the time to the first event, from prompts of about the same
/// size. For a size that was not observed, the time grows with the prompt, and
/// by less than in proportion since a part of it is fixed: a prompt of `n`
/// tokens takes at least the time of any smaller one, and at least `n / m` of
/// the time of a larger one of `m` tokens.
class prefill_bound
{
public:
    void observe(token_count prompt, duration took, time_point now);

    /// Zero without recent observations.
    [[nodiscard]] auto at_least(token_count prompt, time_point now) const
        -> duration;

private:
    /// Prompts with the same number of binary digits.
    struct size_class
    {
        recent_minimum time_us;
        recent_minimum us_per_token;
    };

    static constexpr auto size_classes = std::size_t{65};
    std::array<size_class, size_classes> classes_;
};

/// Moving averages of the number of events in a stream and of the time between
/// two events, from the streams that this host relayed.
class stream_estimate
{
public:
    /// Records a complete stream; `span` is the time from its first event to
    /// its last.
    void observe(std::uint64_t events, duration span, time_point now);

    /// Lower bound on the time for the events after `last_event`; very few
    /// streams are shorter. Zero until enough streams were observed, and if
    /// none was lately.
    [[nodiscard]] auto
    min_remaining_time(std::optional<std::uint64_t> last_event,
                       time_point now) const -> duration;

private:
    double events_ = 0;
    double deviation_ = 0;
    double us_per_event_ = 0;
    std::uint32_t observations_ = 0;
    recent_minimum least_events_;
};

/// Interval of trials of one size at one service.
constexpr auto trial_period = duration{1s};

/// What this host has observed of the times of one service.
class service_times
{
public:
    /// `from_copy`: the target continued from a copy without a prefill.
    void observe_first_event(work_size const& size, duration took,
                             bool from_copy, time_point now);
    void observe_stream(work_size const& size, std::uint64_t events,
                        duration span, time_point now);

    /// Expected time to the first event.
    [[nodiscard]] auto expected_prefill(token_count prompt) const -> duration
    {
        return prefill_.expect(prompt.value());
    }

    /// Lower bound on the time for the events after `last_event`, at an idle
    /// engine.
    [[nodiscard]] auto least_time(work_size const& size,
                                  std::optional<std::uint64_t> last_event,
                                  time_point now) const -> duration;

    /// Whether a request of this size is to be sent although it seems not to
    /// finish in time; at most one in each `trial_period` is.
    auto begin_trial(work_size const& size, time_point now) -> bool;

private:
    prefill_estimate prefill_;
    prefill_bound least_prefill_;
    /// By the class of the stated output.
    std::map<int, stream_estimate> streams_;
    /// By the classes of prompt and output.
    std::map<std::pair<int, int>, time_point> next_trials_;
};

} // namespace primrosedeal::dispatch
