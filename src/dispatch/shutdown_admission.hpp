#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "dispatch/time_estimates.hpp"
#include "routes/configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

/// Decides how much time a request needs on a host that shuts down.
///
/// Load pattern: hosts are restarted one after the other while clients send to
/// each of them until it exits. Most answers take a fraction of the route's
/// objective and a few take many times as long, more of them while a domain's
/// other hosts are restarted. A request that is still open when its host ends
/// the open ones gets no answer; the client of a call that may run once at most
/// cannot tell whether it ran. A refused one costs the client a retry at
/// another host, of which it has few.
namespace primrosedeal::dispatch
{

/// Times that recent requests took, from their arrival to the end of their
/// answer.
struct recent_times
{
    /// Mean plus four mean deviations.
    duration upper{};
    duration slowest{};
    /// Requests that were answered.
    std::uint32_t answered = 0;
};

/// Requests are recent for one to two of these.
constexpr auto recent_window = duration{30s};

/// Times of the recent requests of one kind to one service.
class completion_times
{
public:
    /// A target's answer ended after `took`.
    void observe(duration took, time_point now);

    /// A request ended after `took` and had no whole answer until then.
    void observe_unanswered(duration took, time_point now);

    /// Nothing if no request was answered recently.
    [[nodiscard]] auto recent(time_point now) const
        -> std::optional<recent_times>;

    /// Moving average; nothing before the first answer.
    [[nodiscard]] auto mean() const -> std::optional<duration>;

    [[nodiscard]] auto last_observed() const -> time_point
    {
        return last_observed_;
    }

private:
    struct window
    {
        duration slowest{};
        std::uint32_t answered = 0;
    };

    void advance(time_point now);

    std::optional<completion_time_estimate> estimate_;
    window current_;
    window previous_;
    time_point current_since_{};
    time_point last_observed_{};
};

/// `completion_times` by kind and service; the least recently used one makes
/// room for a new one.
class completion_time_table
{
public:
    static constexpr auto max_entries = std::size_t{256};

    auto of(routes::request_kind kind, service_id const& service)
        -> completion_times&;

private:
    std::map<std::pair<routes::request_kind, service_id>, completion_times> it_;
};

struct shutdown_request
{
    routes::request_kind kind = routes::request_kind::non_idempotent;
    bool resumable = false;
    duration objective{};
    /// Until the earlier of the client's deadline and the route's timeout.
    duration time_left{};
    /// Since the host began to shut down.
    duration since_shutdown{};
};

/// For a request that must not be cut, its time counts as this many times the
/// slow end of the recent ones.
constexpr auto slow_end_multiple = 4;

/// Time in which requests still come because the load balancer has not left the
/// host. Later ones have other hosts to go to, so none of them may be cut.
constexpr auto resumable_cut_time = duration{2500ms};

/// Requests that show what the slow end is.
constexpr auto min_slow_end_sample = std::uint32_t{16};

/// Time that `it` needs at most. `recent` are the times of its kind and service
/// on this host.
///
/// Calls that may run once and streams that no other target can resume must not
/// be cut: they need `slow_end_multiple` of the slow end. Other calls need the
/// slow end. Resumable streams need the usual upper bound for
/// `resumable_cut_time`: their clients resume them elsewhere. No request needs
/// more than it has until its deadline, and all need that before any was
/// observed.
auto time_needed(shutdown_request const& it,
                 std::optional<recent_times> const& recent) -> duration;

} // namespace primrosedeal::dispatch
