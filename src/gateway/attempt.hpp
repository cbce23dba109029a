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

/// One request at one target: what comes back, judged, or how it failed.
namespace primrosedeal::gateway
{

struct target_answer
{
    http1::response_head head;
    std::string body;
};

/// Exactly one of `on_answer`, `on_stream_end` and `on_failure` is the last to
/// run. The attempt may be destroyed inside any of them.
struct attempt_events
{
    /// A whole event of an answer that streams.
    std::function<void(http1::response_head const&, http1::stream_event)>
        on_event;
    std::function<void()> on_stream_end;
    std::function<void(target_answer)> on_answer;
    /// `answer` is the target's own error answer, if it gave one.
    std::function<void(dispatch::attempt_failure,
                       std::optional<target_answer> answer)>
        on_failure;
};

struct attempt_plan
{
    directory::listed_target target;
    request_id id;
    http1::request message;
    duration connect_timeout{};
    bool streaming = false;
    dispatch::stream_facts watch;
    /// A call without an answer for so long has failed; nothing: wait on.
    std::optional<duration> patience;
};

class attempt
{
public:
    attempt(net::event_loop& loop, protocol const& wire, connect_prober& prober,
            attempt_plan plan, attempt_events events, time_point now);
    attempt(attempt const&) = delete;
    auto operator=(attempt const&) -> attempt& = delete;
    ~attempt();

    /// Whether a byte of the request may have reached the target.
    [[nodiscard]] auto may_have_sent() const -> bool;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace primrosedeal::gateway
