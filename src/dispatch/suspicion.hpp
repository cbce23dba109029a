#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string_view>

/// Which targets to avoid, from what this host's own requests met there.
///
/// Load pattern: most targets of one failure domain vanish together for about
/// a second, some without a reset, while every host has work for them. One
/// failure excludes a target with exponential backoff; several in one domain
/// demote the whole domain, which spares other requests a connect timeout. A
/// host that is cut off from a domain for seconds sees few requests meanwhile,
/// so a demoted domain is tested by one request at a time until a target there
/// answers, less often each time.
namespace primrosedeal::dispatch
{

enum class evidence
{
    /// No connection, or the connection broke without an answer.
    unreachable,
    /// Connected but nothing came in the time that usual work takes.
    silent,
    /// Its own answer says that it failed, or is damaged.
    failed,
    /// It refused for lack of room.
    busy,
    answered,
};

auto to_string(evidence it) -> std::string_view;

enum class standing
{
    trusted,
    /// Its failure domain has just lost several targets.
    doubtful,
    /// Set aside until its time is over.
    avoided,
};

struct suspicion_limits
{
    /// First time that an unreachable target is set aside; doubles.
    duration first_avoidance = 400ms;
    duration longest_avoidance = 4s;
    /// Time that a target without room is left alone.
    duration busy_pause = 30ms;
    /// Targets of a domain lost within `domain_window` that cast doubt on it.
    std::size_t losses_for_doubt = 2;
    duration domain_window = 500ms;
    /// First time that a domain is demoted; doubles with each test that fails.
    duration domain_doubt = 900ms;
    duration longest_domain_doubt = 4s;
    /// Time for a test's outcome: longer than connections are waited for.
    duration domain_test = 400ms;
    /// Time that another host's finding counts.
    duration hint_doubt = 900ms;
    /// Share of failed answers, over the last ones, that sets a target aside.
    double failure_share = 0.6;
    std::uint32_t answers_remembered = 8;
};

class suspicion
{
public:
    explicit suspicion(suspicion_limits limits = {}) : limits_(limits) {}

    /// Returns true if the standing of the target became worse.
    auto note(target_id const& id, domain_id const& domain, evidence seen,
              time_point now) -> bool;

    [[nodiscard]] auto of(target_id const& id, domain_id const& domain,
                          time_point now) const -> standing;

    /// Whether `domain` lost several targets a moment ago.
    [[nodiscard]] auto doubts(domain_id const& domain, time_point now) const
        -> bool;

    /// Whether nothing has answered from `domain` since it was in doubt.
    [[nodiscard]] auto unproven(domain_id const& domain) const -> bool;

    /// A request is sent to a target of `domain`. If that is unproven, this is
    /// the test whose outcome other requests wait for.
    void sent_to(domain_id const& domain, time_point now);

    /// Another host found the target unreachable. It may be the only one, so
    /// the target is merely taken later than others for a while.
    void hint(target_id const& id, time_point now);

    /// Forgets a target that is gone.
    void forget(target_id const& id);

private:
    struct record
    {
        std::uint32_t failures_in_row = 0;
        /// Moving share of failed answers.
        double failed_share = 0;
        std::uint32_t answers = 0;
        time_point avoided_until{};
        time_point doubtful_until{};
    };

    struct loss
    {
        time_point at;
        target_id id;
    };

    /// What this host met in one failure domain.
    struct domain_record
    {
        std::deque<loss> losses;
        time_point doubted_until{};
        /// Length of the last doubt; 0: a target has answered since.
        duration span{};
        /// A request was sent after the last doubt.
        bool tested = false;
    };

    void note_loss(target_id const& id, domain_id const& domain,
                   time_point now);
    void prove(domain_id const& domain);

    suspicion_limits limits_;
    std::map<target_id, record> records_;
    std::map<domain_id, domain_record> domains_;
};

} // namespace primrosedeal::dispatch
