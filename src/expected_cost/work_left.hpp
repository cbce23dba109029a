#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// The work that each target of a service still has to do.
///
/// Load pattern: a prompt takes a second to prefill and a stream some seconds
/// to generate, so a target that has nearly finished looks as busy as one that
/// has just begun if requests count in full until they end. The loads of other
/// hosts arrive late, and only as sums; when they were seen to change shows how
/// far the target is.
///
/// Sums of tokens are those of `dispatch::load_tracker` and
/// `fleet::fleet_view`; this has the times, and the output of this host's own
/// streams. Memory is bounded by the targets with outstanding work and by
/// `max_observed_prompts`.
namespace primrosedeal::expected_cost
{

/// Prompts of other hosts whose prefill is observed at the same time.
constexpr auto max_observed_prompts = std::size_t{1024};

/// Events of a stream that are observed together: their mean time varies less,
/// and costs less.
constexpr auto events_observed = std::uint32_t{4};

/// A prefill that ended, as two digests of a host show it.
struct observed_prefill
{
    double tokens = 0;
    duration took{};
};

/// Prefill tokens outstanding at a target, of this host and of the others.
struct pending_tokens
{
    std::uint64_t own = 0;
    std::uint64_t others = 0;
};

/// What is expected of a target.
struct expectation
{
    double speed = 1;
    /// Mean size of one prompt.
    double prompt = 0;
    /// At the usual speed.
    double us_per_token = 0;
    duration event_time{};
    /// How late the progress of other hosts' prompts is known.
    duration digest_age{};
};

class work_left
{
public:
    void sent(target_id const& id, double prompt, double ahead, time_point now);
    void first_event(target_id const& id, double output, time_point now);
    /// A stream goes on from a copy, without a prefill.
    void resumed(target_id const& id, double output, time_point now);
    /// Events arrived that hold `tokens` of output.
    void generated(target_id const& id, double tokens, time_point now);
    /// A request ended; `output_left` was expected yet if it had its first
    /// event, and its prompt was outstanding if not.
    void ended(target_id const& id, std::optional<double> output_left,
               time_point now);

    /// A digest changed what another host has outstanding at `id`. `ahead`:
    /// prefill tokens of all hosts there, before.
    auto digest_changed(host_id const& from, target_id const& id,
                        std::uint64_t before, std::uint64_t after, double ahead,
                        time_point now) -> std::optional<observed_prefill>;

    void remove(target_id const& id);

    /// Prefill tokens that a target still has to process at `us_per_token`.
    /// `usual_prompt`: mean size of one prompt.
    [[nodiscard]] auto prefill_left(target_id const& id,
                                    pending_tokens const& pending,
                                    double usual_prompt, double us_per_token,
                                    time_point now) const -> double;

    /// Output that this host's own streams at `id` still expect.
    [[nodiscard]] auto output_left(target_id const& id) const -> double;

    /// Upper bound of the speed of `id` from what is overdue there, if
    /// anything is: a target that stands still produces no observations.
    [[nodiscard]] auto speed_bound(target_id const& id,
                                   expectation const& expected,
                                   time_point now) const
        -> std::optional<double>;

private:
    /// Of one source: this host, or all others.
    struct progress
    {
        std::uint32_t pending = 0;
        time_point pending_since{};
        time_point last_prefilled{};

        void started(time_point now);
        void finished(time_point now);
    };

    struct target_work
    {
        progress own;
        progress others;
        /// Of this host's oldest outstanding prompt, with what was ahead.
        double first_tokens = 0;
        double output = 0;
        std::uint32_t streams = 0;
        time_point last_event{};
    };

    struct other_prompt
    {
        host_id from;
        target_id at;
        double tokens = 0;
        double ahead = 0;
        time_point since{};
    };

    template <class Matches>
    void drop_prompts(Matches const& matches, time_point now);
    void erase_if_idle(target_id const& id);

    std::unordered_map<target_id, target_work> targets_;
    std::vector<other_prompt> prompts_;
};

} // namespace primrosedeal::expected_cost
