#pragma once

#include "core/strong.hpp"
#include "core/units.hpp"
#include "memory/budget.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// The account of what a host holds for its clients. It decides which
/// connections are read, which requests are rejected, and which connections are
/// closed.
///
/// Load pattern: clients that nobody controls send many bodies at once, large
/// or in tiny chunks, stop just short of the end and stay, or do not read their
/// answers. Ordinary requests are small and come between them. So:
///
/// - A body above `small_request` is read further only once all of it has been
///   reserved, so that an admitted body always reaches its end. A body without
///   a length reserves the largest size. One body is admitted at any size.
/// - Others wait, unread, so that their senders stop. While some wait, admitted
///   bodies that have stalled are closed; what waits too long is rejected.
/// - Small requests have a budget of their own, in which the beginnings of
///   large ones count too. When it is full, requests that have stalled and then
///   the beginnings of waiting bodies make room.
/// - Among candidates the client address that holds most goes first, then the
///   least progress, then the oldest.
/// - Unsent answers have a budget. Beyond it the client goes that has taken
///   nothing for the longest time.
namespace primrosedeal::memory
{

using connection_number = strong<struct connection_number_tag, std::uint64_t>;
/// An IPv4 address.
using client_address = strong<struct client_address_tag, std::uint32_t>;

/// Groups of clients, for counters and logs.
enum class client_group
{
    small,
    sized_body,
    chunked_body,
    slow_reader,
};

auto to_string(client_group it) -> std::string_view;

/// It is read on.
struct resume_reading
{
};

/// No room became free for it: status 503, nothing has run.
struct reject_request
{
};

/// It makes no progress, and others wait for its room: status 408.
struct close_stalled
{
};

using action = std::variant<resume_reading, reject_request, close_stalled>;

struct decision
{
    connection_number connection;
    client_group group = client_group::small;
    action what;
};

/// What a connection holds of a request that is being received.
struct request_progress
{
    /// Bytes of the head and the body, and those that are not parsed yet.
    std::size_t held = 0;
    /// Size of the body once the head states it.
    std::optional<std::size_t> announced;
    /// The body has no length.
    bool chunked = false;
};

struct account_limits
{
    budget bytes;
    /// Largest body of the configuration.
    std::size_t largest_body = std::size_t{4} << 20U;
    /// Time without progress after which a request counts as stalled.
    duration stall_time = 1s;
    /// Bytes that a request has to make in each `stall_time`. Hosts' links and
    /// clients in use are at least ten times as fast.
    std::size_t least_progress = std::size_t{4} << 10U;
    /// Longest wait for room. Stalled requests are found within two
    /// `stall_time`.
    duration longest_wait = 2500ms;
};

/// Bytes held now.
struct account_usage
{
    std::size_t bodies = 0;
    std::size_t small_requests = 0;
    std::size_t unsent = 0;
    std::size_t waiting = 0;

    [[nodiscard]] auto held() const -> std::size_t
    {
        return bodies + small_requests + unsent;
    }
};

class client_account
{
public:
    void set_limits(account_limits const& it);

    void opened(connection_number id, client_address from);
    void closed(connection_number id);

    /// More of a request has arrived, or may have. Returns whether its
    /// connection is to be read on; if not, a decision follows.
    [[nodiscard]] auto received(connection_number id,
                                request_progress const& it, time_point now)
        -> bool;

    /// Of the request that is being received.
    [[nodiscard]] auto group(connection_number id) const -> client_group;

    /// Bytes reserved for its body.
    [[nodiscard]] auto reserved(connection_number id) const -> std::size_t;

    /// The request is complete, and holds `bytes` until it has ended.
    void complete(connection_number id, std::size_t bytes);
    /// Nothing of its request is held any more.
    void ended(connection_number id);

    /// `bytes` wait for the client. `taken`: it took some just now.
    void unsent(connection_number id, std::size_t bytes, bool taken,
                time_point now);
    /// The client that goes, if too much waits for all together.
    [[nodiscard]] auto slowest_reader() const
        -> std::optional<connection_number>;
    /// More than half of what may wait for all clients does.
    [[nodiscard]] auto readers_press() const -> bool;

    /// Decisions that are due. Call soon after room has become free, and
    /// regularly while `busy`. `has_unread`: bytes have come that this process
    /// has not read yet, so that a silence says nothing of the client.
    [[nodiscard]] auto
    step(time_point now,
         std::function<bool(connection_number)> const& has_unread)
        -> std::vector<decision>;

    [[nodiscard]] auto busy() const -> bool
    {
        return usage_.waiting > 0;
    }

    [[nodiscard]] auto usage() const -> account_usage const&
    {
        return usage_;
    }

private:
    enum class phase
    {
        receiving,
        /// It is not read until a decision.
        waiting,
        /// The request runs.
        kept,
    };

    struct entry
    {
        client_address from;
        phase now = phase::receiving;
        /// Counted in the budget of small requests.
        std::size_t small = 0;
        /// Counted in the budget of bodies.
        std::size_t reserved = 0;
        /// What it waits for, of the bodies' budget; zero: of the small one.
        std::size_t wanted = 0;
        time_point waiting_since{};
        bool chunked = false;
        time_point begun_at{};
        std::size_t received = 0;
        time_point progressed_at{};
        /// Begin of the window in which its progress is measured, and what it
        /// had received then.
        time_point window_at{};
        std::size_t window_received = 0;
        /// Bytes in the last whole window.
        std::size_t last_progress = 0;
        /// That was too few.
        bool slow = false;
        bool stalled = false;
        std::size_t unsent = 0;
        time_point taken_at{};

        [[nodiscard]] auto begun() const -> bool
        {
            return small > 0 || reserved > 0;
        }
    };

    using item = std::pair<connection_number const, entry>;
    using unread_query = std::function<bool(connection_number)>;

    [[nodiscard]] static auto group_of(entry const& it) -> client_group;
    [[nodiscard]] auto fits(std::size_t wanted) const -> bool;
    [[nodiscard]] auto held_by(client_address it) const -> std::size_t;
    void hold(entry& it, std::size_t small, std::size_t reserved);
    void await(entry& it, std::size_t wanted, time_point now);
    void stop_waiting(entry& it);
    void measure_progress(time_point now, unread_query const& has_unread);
    /// In the order in which they get room.
    [[nodiscard]] auto waiters(bool large) -> std::vector<item*>;
    /// Those for which `matches` holds; the last one goes first.
    template <class Predicate>
    [[nodiscard]] auto candidates(Predicate matches) -> std::vector<item*>;
    void admit_bodies(time_point now, std::vector<decision>& out);
    void admit_small_requests(time_point now, std::vector<decision>& out);
    void resume(item& it, time_point now, std::vector<decision>& out);
    void end(item& it, action const& what, std::vector<decision>& out);

    account_limits limits_;
    account_usage usage_;
    /// Those that wait for the budget of bodies.
    std::size_t waiting_bodies_ = 0;
    std::map<connection_number, entry> entries_;
    std::map<client_address, std::size_t> held_by_;
};

} // namespace primrosedeal::memory
