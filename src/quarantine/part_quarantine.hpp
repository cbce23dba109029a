#pragma once

#include "core/ids.hpp"
#include "core/strong.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

/// Decides which requests are refused because they crash every target that runs
/// them. A suspect is what such requests have in common: one part of their
/// prompts, or the whole request (its path, organisation, method and body).
///
/// Load pattern: a request that crashes its targets comes again under other ids
/// at any host, or requests that share one part of their prompts do, no two of
/// them alike. Each is retried at target after target. Sound requests share
/// parts and callers with them, and common ones run beside them at each crash.
///
/// A crash accuses the suspects of the runs that it ended; a response clears
/// them. A suspect is quarantined when enough crashes accuse it. All hosts
/// exchange their evidence (`report`), so the crashes are counted over the
/// fleet. A quarantine ends by a clearance, by a trial or with its evidence.
namespace primrosedeal::quarantine
{

/// Hash that names a suspect alike on all hosts. The lowest bit is its kind.
using suspect_id = strong<struct suspect_id_tag, std::uint64_t>;

enum class suspect_kind
{
    part,
    request,
};

auto kind_of(suspect_id it) -> suspect_kind;

/// Label in log lines and metrics.
auto to_string(suspect_kind it) -> std::string_view;

/// Hash of the process of a target that crashed.
using crash_id = strong<struct crash_id_tag, std::uint64_t>;

/// Hash of the id of a request.
using run_id = strong<struct run_id_tag, std::uint64_t>;

/// What a target sees of a request whenever it is sent again. Ids, deadlines
/// and idempotency keys differ with each sending.
struct request_content
{
    std::string_view method;
    /// Path and query.
    std::string_view target;
    /// Empty if the request needs no key.
    std::string_view organisation;
    std::string_view body;
};

/// Two requests with one identity would be refused for each other's crashes.
/// The hash is not cryptographic, so a caller could construct such a pair.
auto to_identity(request_content const& it) -> suspect_id;

/// Hashes of ids, alike on all hosts.
auto to_part_id(std::string_view part) -> suspect_id;
/// A target that starts again may keep its id, but not its `process_start`.
auto to_crash_id(target_id const& id, incarnation process_start) -> crash_id;
auto to_run_id(request_id const& id) -> run_id;

/// Rules that differ between kinds of suspects.
struct kind_limits
{
    /// Distinct crashes that quarantine a suspect.
    std::size_t crash_threshold = 3;
    /// Distinct requests among them. One request alone accuses all its parts.
    std::size_t request_threshold = 2;
    /// Suspects with evidence. The one with the fewest crashes is dropped, and
    /// of these the one that was accused least recently; quarantined ones last.
    std::size_t max_suspects = 64;
    /// Crashes kept for each suspect: the earliest ones and the last one, from
    /// which the backoff counts.
    std::size_t max_crashes = 8;
    /// Suspects of this host's most recent responses, kept to refute evidence
    /// that arrives after the response.
    std::size_t max_proven = 1024;
    /// Trials go on after one that crashed its target. Otherwise only one trial
    /// is made, while the known crashes are no more than the threshold.
    bool repeats_trials = true;
};

struct quarantine_limits
{
    kind_limits parts;
    kind_limits requests{.request_threshold = 1,
                         .max_suspects = 512,
                         .max_crashes = 4,
                         .max_proven = 4096,
                         .repeats_trials = false};
    /// Time after a response for which crashes are not put down to its
    /// suspects: several targets that are lost together end many requests with
    /// the same sound parts.
    duration proof_validity = 5s;
    /// Time from the last crash until one request is admitted as a trial;
    /// doubles with each crash beyond the threshold.
    duration initial_backoff = 20s;
    duration max_backoff = 160s;
    /// Age at which a crash is forgotten. Those that other hosts tell of have
    /// to be younger by a tenth; otherwise hosts that forget at slightly
    /// different times would tell each other of a crash for ever.
    duration evidence_lifetime = 300s;
    /// Accusations in a report; those of quarantined suspects and of suspects
    /// with more crashes come first.
    std::size_t max_reported = 128;
    /// Clearances in a report; those that refute more crashes come first.
    std::size_t max_reported_clearances = 64;

    [[nodiscard]] auto of(suspect_kind it) const -> kind_limits const&
    {
        return it == suspect_kind::part ? parts : requests;
    }
};

/// One crash that accuses a suspect.
struct accusation
{
    suspect_id part;
    crash_id crash;
    run_id run;
    time_point at{};

    friend auto operator==(accusation const&, accusation const&)
        -> bool = default;
};

/// A response cleared the suspect.
struct clearance
{
    suspect_id part;
    time_point at{};

    friend auto operator==(clearance const&, clearance const&)
        -> bool = default;
};

/// What a host tells the others; bounded by `quarantine_limits`. The most
/// important entries come first, so that a cut at the end loses least.
struct report
{
    std::vector<accusation> accusations;
    /// Only of this host's own answers: times that are passed on by others
    /// would grow with each hop.
    std::vector<clearance> clearances;

    [[nodiscard]] auto empty() const -> bool
    {
        return accusations.empty() && clearances.empty();
    }

    friend auto operator==(report const&, report const&) -> bool = default;
};

/// Why a request is refused.
struct verdict
{
    suspect_id part;
    std::size_t crashes = 0;
    std::size_t requests = 0;
    /// When the next request is admitted as a trial unless there are further
    /// crashes; always later than now.
    time_point until{};
};

class part_quarantine
{
public:
    part_quarantine() = default;
    explicit part_quarantine(quarantine_limits limits) : limits_(limits) {}

    /// `crash` ended `run`, which accuses `parts`. If several runs accuse a
    /// suspect by one crash, the earliest is kept.
    void record_crash(crash_id crash, run_id run,
                      std::span<suspect_id const> parts, time_point now);

    /// A response cleared `parts`. Deletes the evidence against them.
    void record_progress(std::span<suspect_id const> parts, time_point now);

    /// Adds the evidence of another host. The earliest time of a crash wins. A
    /// clearance deletes evidence up to the end of its validity, and such
    /// evidence is ignored when it is heard again. Evidence against a part that
    /// this host has proven since is answered by a clearance in its next
    /// reports.
    void merge(report const& it, time_point now);

    /// The evidence of this host and of all others that it has heard.
    [[nodiscard]] auto make_report(time_point now) const -> report;

    /// This host's own accusations since the last call that still hold, without
    /// those that another host had told of before.
    auto take_new_accusations(time_point now) -> std::vector<accusation>;

    /// This host's own clearances since the last call, without those that
    /// clearances of other hosts have made unnecessary: many hosts may clear
    /// the same part.
    auto take_new_clearances(time_point now) -> std::vector<clearance>;

    [[nodiscard]] auto has_new_clearances() const -> bool
    {
        return !new_clearances_.empty();
    }

    /// Whether a request with the suspects `parts` has to be refused. A suspect
    /// whose crashes are all explained by another quarantined one that the
    /// request does not contain is no reason. Once the backoff has passed,
    /// admits one request as a trial if `may_try`, which must hold on one host
    /// only. Of several reasons the one that lasts longest is returned.
    auto check(std::span<suspect_id const> parts, bool may_try, time_point now)
        -> std::optional<verdict>;

    /// Whether a request that may have run may be sent to a further target. It
    /// may not if another crash would quarantine it.
    [[nodiscard]] auto may_retry(suspect_id request, time_point now) const
        -> bool;

    /// Whether the crash accuses a suspect that is quarantined.
    [[nodiscard]] auto explains(crash_id crash, time_point now) const -> bool;

    /// The suspect to which the crash is put down: a quarantined one, else a
    /// request that has crashed another target before.
    [[nodiscard]] auto cause_of(crash_id crash, time_point now) const
        -> std::optional<suspect_id>;

    /// Increases when an accusation is added or deleted and when this host has
    /// a new clearance to tell. More exact times alone do not increase it.
    [[nodiscard]] auto change_count() const -> std::uint64_t
    {
        return changes_;
    }

    /// Deletes evidence that is too old.
    void expire(time_point now);

private:
    struct crash_record
    {
        time_point at;
        run_id run;
    };

    /// Evidence against one suspect.
    struct suspect
    {
        std::map<crash_id, crash_record> crashes;
        /// The last request that was admitted as a trial.
        std::optional<time_point> tried_at;
        /// More crashes than the threshold were known at one time.
        bool exceeded = false;
    };

    /// Evidence for one suspect.
    struct acquittal
    {
        std::optional<time_point> own;
        std::optional<time_point> heard;
        /// Crashes that were cleared. Their times differ by the time that
        /// messages take, so the clearance alone would not recognise them.
        std::set<crash_id> crashes;
        /// When this entry was last needed.
        time_point used_at;

        [[nodiscard]] auto until() const -> time_point;
    };

    struct proof
    {
        suspect_id part;
        time_point at;
    };

    /// What the crashes of a suspect that are not too old amount to.
    struct summary
    {
        std::size_t crashes = 0;
        std::size_t requests = 0;
        time_point last{};
    };

    enum class source
    {
        own,
        heard,
    };

    using suspect_map = std::map<suspect_id, suspect>;

    /// Quarantined, crashes, time of the last one, id.
    using rank_key = std::tuple<bool, std::size_t, time_point, suspect_id>;

    struct proof_list
    {
        /// Most recent first.
        std::list<proof> all;
        std::unordered_map<suspect_id, std::list<proof>::iterator> by_suspect;
    };

    /// `told`: accusations of the same suspect that arrive together.
    void add(accusation const& it, source from, std::size_t told,
             time_point now);
    auto refute(accusation const& it, time_point now) -> bool;
    auto place_for(accusation const& it, source from, std::size_t told,
                   time_point now) -> suspect*;
    void insert(suspect& to, accusation const& it, source from);
    void note_clearance(suspect_id part, time_point accused_at);
    void clear(suspect_id part, time_point proven, time_point now);
    auto acquittal_of(suspect_id part, time_point now) -> acquittal&;
    void remember_cleared(suspect_id part, acquittal& it, crash_id crash) const;
    void prove(suspect_id part, time_point now);
    [[nodiscard]] auto proven_at(suspect_id part) const
        -> std::optional<time_point>;

    [[nodiscard]] auto too_old(time_point at, time_point now) const -> bool;
    [[nodiscard]] auto summarise(suspect const& it, time_point now) const
        -> summary;
    [[nodiscard]] auto reached(suspect_id part, summary const& it) const
        -> bool;
    [[nodiscard]] auto quarantined(suspect_map::value_type const& it,
                                   time_point now) const -> bool;
    /// Order in which suspects are kept and reported.
    [[nodiscard]] auto rank(suspect_map::value_type const& it,
                            time_point now) const -> rank_key;
    [[nodiscard]] auto backoff(suspect_id part, summary const& it) const
        -> duration;
    [[nodiscard]] auto next_trial(suspect_map::value_type const& it,
                                  time_point now) const
        -> std::optional<time_point>;
    [[nodiscard]] auto end(suspect_map::value_type const& it,
                           time_point now) const -> time_point;
    [[nodiscard]] auto explained(suspect_map::value_type const& it,
                                 std::span<suspect_id const> request,
                                 time_point now) const -> bool;
    [[nodiscard]] auto make_verdict(suspect_map::value_type const& it,
                                    time_point now) const -> verdict;

    quarantine_limits limits_;
    suspect_map suspects_;
    std::map<suspect_id, acquittal> acquittals_;
    std::map<suspect_kind, proof_list> proofs_;
    std::uint64_t changes_ = 0;
    /// At most `max_reported` each; reports repair what does not fit.
    std::set<std::pair<suspect_id, crash_id>> new_accusations_;
    /// Time of the newest accusation that the clearance refutes.
    std::map<suspect_id, time_point> new_clearances_;
};

} // namespace primrosedeal::quarantine
