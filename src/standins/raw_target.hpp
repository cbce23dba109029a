#pragma once

#include "net/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

/// A target that answers with bytes of its script as they are, whether they are
/// HTTP or not, and counts how many of them its peer took.
namespace primrosedeal::standins
{

enum class answer_end
{
    stays_open,
    closed,
    reset,
    /// Its side is closed in good order, and nothing more is read.
    half_closed,
};

/// How much of a request the kernels take for a target that does not read.
enum class receive_window
{
    usual,
    /// Some KB, and segments as on Ethernet, by which the peer's kernel bounds
    /// what it buffers.
    small,
};

struct raw_answer
{
    std::string first;
    /// Sent again and again until `max_bytes` bytes of answer have been sent.
    std::string repeated;
    std::size_t max_bytes = 0;
    answer_end end = answer_end::stays_open;
    /// Sent after `first` and a pause.
    std::string rest = {};
    duration pause = {};
    /// Time after `first` in which the target's process stands still: its
    /// kernel takes connections and bytes, but nobody reads them.
    duration standstill = {};
    /// Whether the request is read beyond its first bytes.
    bool reads_on = true;
    /// Bytes of the connection's requests before which the answer does not end.
    std::size_t end_after_bytes = 0;
    /// Time between the last byte of the answer and its end.
    duration end_pause = {};
};

class raw_target
{
public:
    /// Answers the head of a request.
    using script = std::function<raw_answer(std::string const& head)>;

    raw_target(net::event_loop& loop, script work,
               receive_window window = receive_window::usual);
    raw_target(raw_target const&) = delete;
    auto operator=(raw_target const&) -> raw_target& = delete;
    ~raw_target();

    [[nodiscard]] auto port() const -> std::uint16_t;

    /// Connections that sent a request.
    [[nodiscard]] auto runs() const -> int;

    /// Bytes that left for peers over all connections.
    [[nodiscard]] auto sent() const -> std::size_t;

    /// Answers that were begun and whose end, by either side, the target has
    /// not seen yet.
    [[nodiscard]] auto unfinished() const -> int;

    /// Connections that the peer ended.
    [[nodiscard]] auto closed_by_peer() const -> int;

    /// What each connection, in the order of their beginnings, has sent and the
    /// target has read.
    [[nodiscard]] auto received() const -> std::deque<std::string> const&;

    /// Called whenever bytes of an answer have left.
    std::function<void()> on_sent;

private:
    struct state;
    struct connection;
    std::unique_ptr<state> state_;
};

} // namespace primrosedeal::standins
