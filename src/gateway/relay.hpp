#pragma once

#include "dispatch/placement.hpp"
#include "gateway/admit.hpp"
#include "gateway/attempt.hpp"
#include "gateway/cost_events.hpp"
#include "gateway/host_state.hpp"
#include "gateway/path_events.hpp"
#include "http1/server.hpp"
#include "stream_origin/service_choice.hpp"
#include "stream_origin/version_choice.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// One client's request from its arrival to the last byte of the response.
///
/// A plain call returns the complete response of one target. A stream is
/// assembled from the events of as many targets as necessary; each target
/// continues after the last event that was sent to the client.
namespace primrosedeal::gateway
{

/// A copy of the run's KV cache that was requested after the backup, which
/// grows with the run, was lost.
struct replacement_copy
{
    directory::listed_target to;
    /// Handle of the copy; empty until it is complete.
    std::optional<std::string> name;
    time_point requested_at{};
    std::unique_ptr<http1::fetch> call;
};

/// A target with a copy of the KV cache, where a failed stream resumes without
/// recomputing its prompt.
struct resume_point
{
    directory::listed_target target;
    copy_reference copy;
};

/// The attempt in progress.
struct running_attempt
{
    directory::listed_target target;
    /// Target of the backup that grows with the run.
    std::optional<directory::listed_target> copy;
    /// It resumes from a copy of the KV cache.
    bool warm = false;
    /// That copy.
    std::optional<copy_reference> from;
    time_point sent_at{};
    /// The prompt is counted as prefilled in this host's loads.
    bool prefilled = false;
    bool has_event = false;
    std::optional<time_point> first_event_at;
    /// The target has survived the beginning of the answer.
    bool proven = false;
    bool copy_lost = false;
    expected_cost::run cost;
    /// How the target is reached.
    attempt_path path;
    /// The helper reported that its connection to the target failed.
    bool helper_failed_there = false;
    std::unique_ptr<attempt> io;
};

/// What a failed attempt was put down to, for its log line.
struct failure_context
{
    /// The target is newly excluded.
    bool set_aside = false;
    bool own_link = false;
    bool path_lost = false;
};

class relay : public std::enable_shared_from_this<relay>
{
public:
    /// Serves `message`. `host` owns the relay until the request has ended.
    static void start(host_state& host, http1::request message,
                      std::shared_ptr<http1::exchange> client, time_point now);

    relay(host_state& host, http1::request message,
          std::shared_ptr<http1::exchange> client, time_point now);

    /// `id` is lost: requests a replacement if the stream's copy was there.
    void on_target_lost(target_id const& id, time_point now);
    /// `domain` has lost several targets: probes the targets of this stream's
    /// copies there, and requests a replacement after a failed probe.
    void on_domain_suspected(domain_id const& domain);
    /// Another host found `id` unreachable: the same if a copy is at `id`.
    void on_target_suspected(target_id const& id);
    /// Moves the deadline of the request to `at` if that is earlier.
    void limit_deadline(time_point at, time_point now);

private:
    void begin(time_point now);
    void refuse(refusal const& it, time_point now);
    /// Replies with an error of the gateway itself.
    void reply_error(refusal const& it);
    void start_next_attempt(time_point now);
    /// Starts the next attempt after `delay`; `reason` is why it waits.
    void retry_after(duration delay, std::string_view reason, time_point now);
    /// Reserves the next attempt in the retry budget and starts it.
    void reserve_and_start(time_point now);
    /// There is no target or no budget for the next attempt.
    void on_denial(refusal_reason reason, time_point now);
    void send(directory::listed_target const& target,
              std::optional<copy_reference> const& from, time_point now);
    [[nodiscard]] auto plan_attempt(directory::listed_target const& target,
                                    std::optional<copy_reference> const& from,
                                    time_point now) -> attempt_plan;
    [[nodiscard]] auto view() const -> dispatch::placement_view;
    [[nodiscard]] auto placement(time_point now) const
        -> dispatch::placement_request;
    /// Other calls of a plain service; nothing if too little is known of them.
    [[nodiscard]] auto call_demand(time_point now) const
        -> std::optional<dispatch::call_demand>;
    /// When the request may come again if request limits of targets stand in
    /// its way.
    [[nodiscard]] auto limit_retry_after(time_point now)
        -> std::optional<duration>;
    /// The same if all targets want no requests from this host.
    [[nodiscard]] auto pause_retry_after(time_point now)
        -> std::optional<duration>;
    /// The same if targets that survive few rejections stand in its way.
    auto rejection_retry_after() -> std::optional<duration>;
    [[nodiscard]] auto arrival() const -> rejection_limit::arrival;
    void on_response_head(response_metadata const& it, time_point now);
    void on_event(http1::response_head const& head, http1::stream_event it,
                  time_point now);
    void log_continued(duration pause);
    void on_stream_end(time_point now);
    void on_response(target_response const& it, time_point now);
    /// Whether another target could take over the current run now.
    [[nodiscard]] auto can_move(time_point now) -> bool;
    /// There is no way to `target`, which was chosen for the next attempt.
    void on_no_path(directory::listed_target const& target,
                    std::optional<copy_reference> const& from, time_point now);
    /// Records how the current attempt's connection ended.
    void on_connection(connection_outcome it, time_point now);
    void on_tunnel_refusal(http1::tunnel_refusal why, time_point now);
    /// Whether the failure of the current attempt is due to its path, so that
    /// it says nothing about its target.
    [[nodiscard]] auto failed_on_path(dispatch::attempt_failure how) const
        -> bool;
    /// Whether the failure of the current attempt is due to this host's link.
    [[nodiscard]] auto caused_by_own_link(dispatch::attempt_failure how,
                                          time_point now) -> bool;
    /// The current attempt waits for its target, which may stand still.
    void on_standstill(time_point now);
    void on_failure(dispatch::attempt_failure how,
                    std::optional<target_response> response, time_point now);
    void log_failed_attempt(dispatch::attempt_failure how,
                            failure_context const& it, time_point now);
    /// The client reads too slowly for more of its answer, or reads again.
    void on_client_flow(bool stopped, time_point now);
    void on_client_disconnected(http1::client_loss how, time_point now);
    void on_deadline(time_point now);
    /// `may_run_until`: the target of the failed attempt may go on until then.
    void retry_or_end(dispatch::attempt_failure how,
                      std::optional<time_point> may_run_until, time_point now);
    void end_with_failure(refusal_reason reason, int status, time_point now);
    void release_target();
    [[nodiscard]] auto resume_point_after_failure() const
        -> std::optional<resume_point>;
    /// Notifies all relays of a lost target that may have held their copies.
    void report_target_loss(directory::listed_target const& lost,
                            time_point now);
    /// Probes the targets of this stream's copies for which `matches` holds.
    template <class Predicate>
    void check_copies(Predicate const& matches);
    void check_copy(directory::listed_target const& target);
    /// Requests a replacement copy if the stream is running and its backup has
    /// been lost.
    void ensure_copy(time_point now);
    void request_copy(time_point now);
    void on_copy_result(std::optional<net::http_response> const& it,
                        time_point now);
    void drop_replacement();
    void identify_suspects();
    /// The current attempt has failed: whether its target crashed or may still
    /// do so, or its response clears the request. `excused`: the failure says
    /// nothing about the target.
    void settle_run(dispatch::attempt_failure how, bool excused,
                    time_point now);
    /// The connection to `target` broke under the current run.
    void on_run_broken(directory::listed_target const& target, time_point now);
    /// The current run ends unanswered for `reason`, and its target may still
    /// crash under it.
    void on_run_unresolved(std::string_view reason, time_point now);
    /// Whether the target may just have begun this answer.
    [[nodiscard]] auto may_have_just_begun(time_point now) const -> bool;
    void on_run_progress(time_point now);
    void on_run_proven(time_point now);
    /// What a crash of the target accuses of the current run.
    [[nodiscard]] auto accused(time_point now) const -> quarantine::accused_run;
    /// The target has sent a whole response, an error response too.
    void on_request_answered(time_point now);
    /// Refuses the request, or does not retry it, for what it or a part of its
    /// prompt has crashed; returns whether it has ended.
    [[nodiscard]] auto refuse_if_quarantined(time_point now) -> bool;
    /// Whether the client has events of the stream, which may be resumed.
    [[nodiscard]] auto begun() const -> bool;
    /// Sets the service and, if it is known, the version that began the stream
    /// which the client takes up. Returns false if it cannot go on there; the
    /// request has ended then.
    [[nodiscard]] auto find_origin(time_point now) -> bool;
    /// Whether another host reports a newer configuration than this request's.
    [[nodiscard]] auto configuration_is_behind() const -> bool;
    /// Sets the versions at which the next attempt may run, and returns whether
    /// it may begin. If not, the request has ended, or goes on after a read.
    [[nodiscard]] auto set_versions(time_point now) -> bool;
    void read_versions();
    /// The store's records of all services, as read for this request.
    void on_records_read(stream_origin::versions_by_service const& stored,
                         time_point now);
    /// Narrows the versions of the next attempt to those that a rollout permits
    /// (`relay_rollout.cpp`); false if the request has ended.
    [[nodiscard]] auto follow_rollout(time_point now) -> bool;
    void end_at_excluded_version(software_version const& version,
                                 time_point now);
    /// The current attempt has brought a response or a first event.
    void observe_for_rollout(bool failed, time_point now);
    void observe_failure_for_rollout(dispatch::attempt_failure how,
                                     bool excused, time_point now);
    /// The only version at which the stream may run, once there is one: that of
    /// its first event or, before it, one that other hosts may know as that.
    [[nodiscard]] auto fixed_version() const -> std::optional<software_version>;
    /// The target of the next attempt. Before its first event a stream stays at
    /// the version of its last attempt if an untried target has it, or if it is
    /// fixed.
    [[nodiscard]] auto place_attempt(time_point now)
        -> std::optional<directory::listed_target>;
    /// Whether the direct path to the targets is lost.
    [[nodiscard]] auto path_lost() const -> bool
    {
        return host_.paths.lost(admitted_.service->id);
    }
    [[nodiscard]] auto was_tried(target_id const& id) const -> bool;
    /// The current attempt runs, or is about to run, at its target's version.
    void record_origin(time_point now);
    [[nodiscard]] auto suspect_name(quarantine::suspect_id id) const
        -> std::string;
    void finish(std::string_view outcome, int status, time_point now);
    [[nodiscard]] auto streaming() const -> bool;
    /// Whether a new attempt is over before this host, if it shuts down, ends
    /// its open requests.
    [[nodiscard]] auto fits_before_exit(time_point now) const -> bool;
    /// Ends the request if its deadline is over or, as long as its answer has
    /// not begun, another attempt does not fit; returns whether it has ended.
    [[nodiscard]] auto end_without_time(time_point now) -> bool;
    /// Times of this request's kind and service.
    [[nodiscard]] auto completion_times() const -> dispatch::completion_times&;
    /// Whether the stream cannot end before its deadline even if an attempt
    /// starts now.
    [[nodiscard]] auto service_times() const -> dispatch::service_times&;
    /// False also for a request that is to be a trial of the estimate.
    auto cannot_meet_deadline(time_point now) -> bool;
    /// Costs of this request's service; null for plain requests and services.
    [[nodiscard]] auto costs() const -> expected_cost::service_estimates*;
    [[nodiscard]] auto cost_key() const -> expected_cost::cost_key;
    [[nodiscard]] auto stated_output() const -> expected_cost::stated_output;
    /// Expected output after the events that the client has.
    [[nodiscard]] auto expected_output() const -> double;
    /// Call before the attempt is counted in this host's loads.
    void begin_cost(time_point now);
    /// Expected time to the first event of the current attempt.
    [[nodiscard]] auto expected_first_event() const -> duration;
    void on_cost_event(time_point now);
    /// The answer is complete.
    void observe_cost(time_point now);
    void end_cost();

    host_state& host_;
    http1::request message_;
    std::shared_ptr<http1::exchange> client_;
    request_metadata metadata_;
    /// What a crash under this request accuses: the request itself and the
    /// parts of its prompt that others may share, in the order of
    /// `metadata_.shared_parts`.
    quarantine::suspect_id identity_;
    std::vector<quarantine::suspect_id> suspects_;
    /// The stream over all requests of its client.
    stream_origin::stream_id stream_;
    /// The version that began it, once that is known.
    std::optional<software_version> origin_;
    /// The versions at which the next attempt may run; empty: any.
    stream_origin::version_set versions_;
    /// Versions for the next attempt where `versions_` have no room.
    stream_origin::version_set versions_otherwise_;
    bool counted_for_rollout_ = false;
    /// `stream_origin::service_versions::stored`.
    std::optional<stream_origin::version_set> stored_versions_;
    /// The version of the last attempt.
    std::optional<software_version> sent_version_;
    /// Keeps the route alive while a newer configuration is in force.
    std::shared_ptr<routes::route_table const> table_;
    admitted admitted_;
    /// The deadline that does not depend on this host's shutdown.
    time_point client_deadline_at_{};
    dispatch::request_state state_;
    time_point arrived_at_{};
    std::optional<running_attempt> current_;
    std::optional<replacement_copy> replacement_;
    /// Copy left by the last attempt; the next one resumes from it if possible.
    std::optional<resume_point> resume_point_;
    std::vector<target_id> tried_targets_;
    /// It was sent directly, for want of a helper, since it last waited.
    bool sent_without_helper_ = false;
    /// Hosts that did not open a tunnel for this request.
    std::vector<host_id> failed_helpers_;
    std::optional<std::uint64_t> last_event_;
    std::optional<time_point> last_event_at_;
    duration time_to_first_event_{};
    duration longest_pause_{};
    std::optional<target_response> error_response_;
    std::uint32_t attempts_ = 0;
    /// Attempts that failed after reaching a target.
    std::uint32_t failed_after_arrival_ = 0;
    /// The current attempt is counted against the retry budget.
    bool attempt_counted_ = false;
    /// The stream has failed and has not resumed yet.
    bool interrupted_ = false;
    /// The stream waits for its next attempt, and this has been logged.
    bool waiting_logged_ = false;
    /// Attempts that timed out before their first event.
    std::uint32_t prefill_timeouts_ = 0;
    /// Attempts that ended for a silence after an event.
    std::uint32_t silent_attempts_ = 0;
    std::uint32_t copy_requests_ = 0;
    net::timer copy_timer_;
    net::timer retry_timer_;
    net::timer deadline_;
};

} // namespace primrosedeal::gateway
