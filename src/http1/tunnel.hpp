#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// What hosts say to each other on a tunnel: a connection to another host, the
/// helper, which connects to a target and passes bytes on both ways.
///
/// The helper is asked by `CONNECT TARGET_ID HTTP/1.1` and answers with a
/// status. After 200 the bytes towards the target go as they are. Those back
/// go in frames, of a length of four bytes, the highest first, and as many
/// bytes. A length of zero says that the target ended its stream in good order,
/// so that a lost helper is not taken for the end of an answer that has no
/// length.
///
/// A tunnel of a request that may go on at another target is leased, which the
/// host asks for and the helper confirms in their heads. Then the bytes towards
/// the target come in frames too. The host renews the lease again and again,
/// the helper acknowledges each renewal, and it ends the tunnel, and with it
/// the target's work, once it has received nothing for `lease_duration`. So a
/// host that cannot reach the helper any more knows when the work is over. A
/// helper or host that does not know leases ignores the header.
namespace primrosedeal::http1
{

/// A connection from this host to the target itself.
struct direct_connection
{
};

/// A connection through the helper at `helper`, which finds the target by id.
struct tunnel_route
{
    net::endpoint helper;
    target_id target;
    /// The helper ends the tunnel unless the lease is renewed.
    bool leased = false;
};

using connection_path = std::variant<direct_connection, tunnel_route>;

/// Why there is no tunnel. Not a byte of a request has left this host.
enum class tunnel_refusal
{
    /// The helper does not list the target.
    not_listed,
    /// The helper is busy or leaving.
    no_capacity,
    /// The target refused the helper's connection.
    target_refused,
    /// The target did not answer the helper.
    target_timed_out,
    /// No connection to the helper, or it ended without an answer.
    helper_unreachable,
    /// The helper took the connection and did not answer in time.
    no_answer,
};

auto to_string(tunnel_refusal it) -> std::string_view;

/// Bytes of the head of a CONNECT, or of its answer, with its empty line.
constexpr auto max_tunnel_head = std::size_t{1024};

/// Time without a byte from the host after which the helper ends a leased
/// tunnel.
constexpr auto lease_duration = duration{400ms};

/// How often the host renews a lease, if the last renewal was acknowledged.
constexpr auto lease_renewal_period = duration{100ms};

/// For the way of the last renewal, and for timers that are late.
constexpr auto lease_margin = duration{50ms};

auto write_connect(target_id const& target, bool leased = false) -> std::string;

/// `head`: up to and with the empty line. Nothing if it is not a CONNECT.
auto read_connect(std::string_view head) -> std::optional<target_id>;

/// The helper's answer; empty: the tunnel is open.
auto write_connect_answer(std::optional<tunnel_refusal> const& it,
                          bool leased = false) -> std::string;

/// Whether the head of a CONNECT, or of its answer, is that of a leased tunnel.
auto names_lease(std::string_view head) -> bool;

/// `head`: up to and with the empty line. Any answer that is not understood
/// counts as `helper_unreachable`.
auto read_connect_answer(std::string_view head)
    -> std::optional<tunnel_refusal>;

constexpr auto frame_head_bytes = std::size_t{4};
constexpr auto max_frame_bytes = std::size_t{64} << 10U;

/// The head of a frame of `n` bytes, at most `max_frame_bytes`; zero: the end.
auto write_frame_head(std::size_t n) -> std::string;

/// `bytes` in as many frames as it takes; nothing for no bytes.
auto write_frames(std::string_view bytes) -> std::string;

/// Renews a lease, or acknowledges that.
auto write_renewal() -> std::string;

/// Takes the bytes out of frames, however they are split.
class frame_decoder
{
public:
    /// Renewals are malformed unless the tunnel is leased.
    explicit frame_decoder(bool leased = false) : leased_(leased) {}

    struct progress
    {
        std::string bytes;
        /// The lease was renewed, or a renewal acknowledged.
        bool renewed = false;
        /// The target ended its stream in good order.
        bool ended = false;
        /// A length above `max_frame_bytes`, or bytes after the end.
        bool malformed = false;
    };

    auto feed(std::string_view bytes) -> progress;

private:
    bool leased_;
    std::string head_;
    /// Bytes that the present frame still lacks.
    std::size_t left_ = 0;
    bool ended_ = false;
    bool malformed_ = false;
};

} // namespace primrosedeal::http1
