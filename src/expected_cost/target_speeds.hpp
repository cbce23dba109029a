#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

/// Learns how fast each target of a service is, relative to the others.
///
/// Load pattern: targets of one service run at 0.6, 1 and 1.6 of the usual
/// speed, with noise, and one turns several times slower while requests run
/// there. A single host sees few of them itself, so the times that digests show
/// of other hosts' prompts count as well, with a larger error.
///
/// Each observation is compared with the usual value at the same size and the
/// same number of outstanding requests. A target with few observations is close
/// to 1, and so is one that has not been observed for some time, so that it is
/// tried again. Memory is bounded by the number of listed targets.
namespace primrosedeal::expected_cost
{

/// Who observed the time of a prefill.
enum class observer
{
    /// This host, to the millisecond.
    own,
    /// Another host; two digests show it, each as late as digests are.
    digest,
};

/// A target's process. Another process may be on another machine.
struct process
{
    target_id const& id;
    incarnation start;
};

/// `tokens`: the prompt and what was ahead of it.
struct prefill_time
{
    double tokens = 0;
    duration took{};
    observer by = observer::own;
};

class target_speeds
{
public:
    target_speeds();

    void observe_prefill(process const& at, prefill_time const& it,
                         time_point now);

    /// `took`: from one event to the next, as the mean of several. `running`:
    /// requests outstanding at the target.
    void observe_events(process const& at, duration took, std::uint32_t running,
                        time_point now);

    void remove(target_id const& id);

    /// 1: the usual speed, 2: twice as fast.
    [[nodiscard]] auto speed(process const& at, time_point now) const -> double;

    /// Usual time to the first event after the prefill of `tokens`.
    [[nodiscard]] auto prefill(double tokens) const -> duration;
    [[nodiscard]] auto us_per_token() const -> double;

    /// Usual time between two events while `running` requests are outstanding
    /// at the target.
    [[nodiscard]] auto event_time(std::uint32_t running) const -> duration;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return targets_.size();
    }

    /// Targets whose speed is below `slow` or above its inverse.
    [[nodiscard]] auto uneven(double slow, time_point now) const -> std::size_t;

private:
    /// A moving average of logarithms. Its first value is an assumption.
    struct usual_value
    {
        double value = 0;
        std::uint32_t count = 0;

        void observe(double it);
    };

    /// Normal distribution of the logarithm of the time that the target takes,
    /// relative to the usual.
    struct target_state
    {
        incarnation start;
        double mean = 0;
        double variance = 0;
        /// Consecutive observations far above (below, if negative) the mean.
        int far_off = 0;
        time_point at{};
    };

    static void age(target_state& it, time_point now);
    auto state_of(process const& at, time_point now) -> target_state&;
    void observe(process const& at, double log_ratio, double variance,
                 time_point now);

    static constexpr auto load_classes = std::size_t{10};

    std::unordered_map<target_id, target_state> targets_;
    usual_value us_per_token_;
    std::array<usual_value, load_classes> event_us_;
};

} // namespace primrosedeal::expected_cost
