#pragma once

#include "dispatch/attempt_policy.hpp"
#include "dispatch/failure_detector.hpp"
#include "dispatch/stream_watch.hpp"
#include "gateway/connect_prober.hpp"
#include "gateway/protocol.hpp"
#include "http1/client.hpp"
#include "http1/event_splitter.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// One attempt of a request at one target. Reports a validated response or the
/// kind of failure.
namespace primrosedeal::gateway
{

struct target_response
{
    http1::response_head head;
    http1::body body;
};

/// How the connection to the target ended, directly or through a tunnel.
enum class connection_outcome
{
    accepted,
    refused,
    timed_out,
};

/// The last callback is exactly one of `on_response`, `on_stream_end` and
/// `on_failure`, any of which may destroy the attempt.
struct attempt_events
{
    /// The target accepted or refused the direct connection.
    std::function<void()> on_connection_answered;
    /// Called at most once; not where a helper failed. Must not destroy the
    /// attempt, nor must the next one.
    std::function<void(connection_outcome)> on_connection_result;
    /// There is no tunnel; `on_failure` with `not_connected` follows.
    std::function<void(http1::tunnel_refusal)> on_tunnel_refused;
    /// Called for the head of each response that the target itself made to
    /// this request.
    std::function<void(response_metadata const&)> on_response_head;
    /// The target states in its answer to a query that it leaves. Must not
    /// destroy the attempt.
    std::function<void()> on_leaving;
    /// Called once for each silence after which the target may stand still.
    /// Must not destroy the attempt.
    std::function<void()> on_standstill;
    /// Whether another target could take over the run now; absent: it could.
    std::function<bool()> can_move;
    /// Called for each complete event of a streaming response.
    std::function<void(http1::response_head const&, http1::stream_event)>
        on_event;
    std::function<void()> on_stream_end;
    std::function<void(target_response)> on_response;
    /// `response` is the target's own error response, if it sent one.
    std::function<void(dispatch::attempt_failure,
                       std::optional<target_response> response)>
        on_failure;
};

struct attempt_plan
{
    directory::listed_target target;
    /// Probes go the same way.
    http1::connection_path path;
    request_id id;
    http1::request message;
    duration connect_timeout{};
    bool streaming = false;
    /// The client has events of the stream that came before this attempt.
    bool resumed = false;
    dispatch::stream_facts stream_timing;
    /// Query that tells whether the target's process runs; empty: probes only
    /// make a connection.
    std::optional<http1::request> status_query;
    /// Timeout of a plain call; empty: none.
    std::optional<duration> response_timeout;
};

class attempt
{
public:
    attempt(net::event_loop& loop, protocol const& wire, connect_prober& prober,
            attempt_plan plan, attempt_events events, time_point now);
    attempt(attempt const&) = delete;
    auto operator=(attempt const&) -> attempt& = delete;
    ~attempt();

    /// Whether any byte of the request may have reached the target.
    [[nodiscard]] auto may_have_sent() const -> bool;

    /// Stops reading the target's answer for its client, or goes on. The
    /// target's silence means nothing meanwhile.
    void pause_reading(bool paused, time_point now);

    /// Time at which the connection or probe was begun whose lack of an answer
    /// ended the attempt; empty if it ended for another reason.
    [[nodiscard]] auto unanswered_since() const -> std::optional<time_point>;

    /// Until when the target may go on with the request after the attempt has
    /// failed, since a helper may not learn of that; empty: no longer.
    [[nodiscard]] auto may_run_until() const -> std::optional<time_point>;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace primrosedeal::gateway
