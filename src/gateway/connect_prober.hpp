#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "http1/message.hpp"
#include "http1/tunnel.hpp"
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

/// Checks whether a target accepts connections, and whether its process answers
/// a query: the kernel also accepts them for a process that stands still.
/// Concurrent probes of one address by one path share one connection attempt,
/// and so do concurrent queries.
namespace primrosedeal::gateway
{

/// A healthy target accepts a connection within a few round trips.
constexpr auto probe_timeout = duration{130ms};
/// Through a tunnel two connections are made, one after the other.
constexpr auto tunnel_probe_timeout = 2 * probe_timeout;

/// Time after the connection in which a live target answers a query.
constexpr auto query_timeout = duration{250ms};

enum class query_result
{
    /// There is no connection.
    unreachable,
    /// There is a connection, or its helper says nothing of the target, and no
    /// sign that the target's process runs.
    unanswered,
    answered,
};

/// `answer`: the head of the target's answer; null if there is none.
using query_handler =
    std::function<void(query_result, http1::response_head const* answer)>;

class connect_prober
{
public:
    explicit connect_prober(net::event_loop& loop);
    connect_prober(connect_prober const&) = delete;
    auto operator=(connect_prober const&) -> connect_prober& = delete;
    ~connect_prober();

    /// Calls `done` from the loop, never from inside `probe`, with whether the
    /// connection was established within `probe_timeout`. Through a tunnel a
    /// target also counts as alive where its helper answers that it has no
    /// capacity or does not list the target, which says nothing of the target.
    void probe(net::endpoint const& at, std::function<void(bool alive)> done,
               http1::connection_path const& path = http1::direct_connection{});

    /// Sends `message` to the target over a connection of its own, and calls
    /// `done` as `probe` does. A connection within `probe_timeout` and an
    /// answer of any kind within `query_timeout` after it count, and so does
    /// the end of a direct connection by the target.
    void query(net::endpoint const& at, http1::request const& message,
               query_handler done,
               http1::connection_path const& path = http1::direct_connection{});

    /// Called before the results of each direct probe whose connection was
    /// accepted or refused.
    std::function<void()> on_answered;

private:
    struct attempt;
    struct pending_query;

    /// Where the connection goes, and the target that a tunnel is for.
    struct probed
    {
        net::endpoint at;
        std::optional<target_id> through_tunnel;

        friend auto operator==(probed const&, probed const&) -> bool = default;
        // clang-tidy 14 takes the defaulted comparison with 0 for a pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        friend auto operator<=>(probed const&, probed const&) = default;
    };

    static auto to_probed(net::endpoint const& at,
                          http1::connection_path const& path) -> probed;
    void finish(probed const& it, bool alive);
    void finish_query(probed const& it, query_result result,
                      http1::response_head const* answer);
    void report_answered() const;

    net::event_loop& loop_;
    std::map<probed, std::unique_ptr<attempt>> attempts_;
    std::map<probed, std::unique_ptr<pending_query>> queries_;
};

} // namespace primrosedeal::gateway
