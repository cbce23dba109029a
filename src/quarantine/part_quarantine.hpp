#pragma once

#include "core/ids.hpp"
#include "core/strong.hpp"
#include "core/units.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

/// Decides which parts of prompts are quarantined: every target that begins an
/// answer on such a part crashes, so requests that contain it are refused.
///
/// Load pattern: requests that share one part of their prompts arrive at any
/// host, no two alike, and each is retried at target after target. Sound
/// requests share their other parts and their callers.
///
/// Evidence is kept per part, not per request or caller. A crash accuses the
/// parts of the requests whose answer the target may just have begun; an answer
/// that continues after its beginning clears its parts. A part is quarantined
/// when enough crashes under more than one request accuse it. All hosts
/// exchange their evidence (`report`), so the crashes are counted over the
/// fleet. A quarantine ends by itself, later with each further crash.
namespace primrosedeal::quarantine
{

/// Hash of the id of one part of a prompt.
using part_id = strong<struct part_id_tag, std::uint64_t>;

/// Hash of the id of a target that crashed; a restarted target has another.
using crash_id = strong<struct crash_id_tag, std::uint64_t>;

/// Hash of the id of a request.
using run_id = strong<struct run_id_tag, std::uint64_t>;

/// Hashes of ids, alike on all hosts.
auto to_part_id(std::string_view part) -> part_id;
auto to_crash_id(target_id const& id) -> crash_id;
auto to_run_id(request_id const& id) -> run_id;

struct quarantine_limits
{
    /// Distinct crashes that quarantine a part.
    std::size_t crash_threshold = 3;
    /// Distinct requests among them; one request alone accuses all its parts.
    std::size_t request_threshold = 2;
    /// Time from the last crash until one request is admitted as a trial;
    /// doubles with each crash beyond the threshold.
    duration initial_backoff = 20s;
    duration max_backoff = 160s;
    /// Age at which evidence is forgotten.
    duration evidence_lifetime = 300s;
    /// Parts with evidence; the one that was accused least recently is dropped.
    std::size_t max_parts = 64;
    /// Crashes kept for each part: the earliest ones.
    std::size_t max_crashes = 8;
};

/// One crash that accuses a part.
struct accusation
{
    part_id part;
    crash_id crash;
    run_id run;
    time_point at{};
};

/// An answer with the part continued after its beginning.
struct clearance
{
    part_id part;
    time_point at{};
};

/// What a host tells the others; bounded by `quarantine_limits`.
struct report
{
    std::vector<accusation> accusations;
    /// Only of this host's own answers: times that are passed on by others
    /// would grow with each hop.
    std::vector<clearance> clearances;
};

/// Why a request is refused.
struct verdict
{
    part_id part;
    std::size_t crashes = 0;
    std::size_t requests = 0;
    /// When the quarantine ends unless there are further crashes.
    time_point until{};
};

class part_quarantine
{
public:
    explicit part_quarantine(quarantine_limits limits = {}) : limits_(limits) {}

    /// `crash` ended `run`, whose answer the target may just have begun.
    /// `parts` are those that other requests may share.
    void record_crash(crash_id crash, run_id run,
                      std::span<part_id const> parts, time_point now);

    /// An answer with `parts` continued after its beginning.
    void record_progress(std::span<part_id const> parts, time_point now);

    /// Adds the evidence of another host.
    void merge(report const& it, time_point now);

    /// The evidence of this host and of all others that it has heard.
    [[nodiscard]] auto make_report(time_point now) const -> report;

    /// Whether a request with `parts` has to be refused. A part whose crashes
    /// are all explained by another quarantined part that the request does not
    /// contain is no reason. Once the backoff has passed, admits one request
    /// for each backoff if `may_try`, which must hold on one host only.
    auto check(std::span<part_id const> parts, bool may_try, time_point now)
        -> std::optional<verdict>;

    /// Crashes of targets that are put down to a quarantined part.
    [[nodiscard]] auto explains(crash_id crash, time_point now) const -> bool;

    /// Increases with each change of the evidence.
    [[nodiscard]] auto change_count() const -> std::uint64_t;

    /// Deletes evidence that is too old.
    void expire(time_point now);
};

} // namespace primrosedeal::quarantine
