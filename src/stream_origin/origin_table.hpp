#pragma once

#include "core/ids.hpp"
#include "core/strong.hpp"
#include "core/units.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

/// Tracks at which service and software version each recent stream runs, for
/// clients that resume their stream at any host.
///
/// Load pattern: a failure domain is lost with hosts and targets, and the
/// clients of its streams resume them at other hosts within seconds, while two
/// versions serve side by side. The host that relayed a stream may be gone, so
/// all hosts know the version: about as many records a second as streams begin,
/// a dozen bytes each.
///
/// A stream is recorded when it is sent to a target, before its first event.
/// Hosts report their own records in digests, and send all that they know to a
/// host that has just started. The newest record of a stream is in force. A
/// host that is out of step may hold an older one, so a stream stays at its
/// version once a record of it may have left this host.
namespace primrosedeal::stream_origin
{

/// Hash of the id of the request that brought the first event of a stream.
using stream_id = strong<struct stream_id_tag, std::uint64_t>;

auto to_stream_id(request_id const& it) -> stream_id;

/// Where a stream began.
struct origin
{
    /// Empty in records of hosts of earlier versions.
    std::optional<service_id> service;
    software_version version;

    friend auto operator==(origin const&, origin const&) -> bool = default;
};

struct reported_origin
{
    stream_id stream;
    software_version version;
    /// When the stream was sent to a target of the version.
    time_point at{};
    /// When the reporting host recorded it, by its own clock.
    time_point recorded_at{};
    /// `origin::service`
    std::optional<service_id> service = {};
};

/// Clients have given up all streams that were sent to a target longer ago.
constexpr auto origin_lifetime = duration{60s};

/// Time for which own records are repeated in digests: several digests, since
/// some are lost.
constexpr auto report_lifetime = duration{6s};

/// Time for which own records are kept in the store.
constexpr auto stored_lifetime = duration{30s};

/// Bounds of a report in a digest, of one for a host that has just started, and
/// of the table.
constexpr auto max_reported_origins = std::size_t{64};
constexpr auto max_known_origins = std::size_t{8192};
constexpr auto max_origins = std::size_t{32768};

class origin_table
{
public:
    /// This host sends the stream to a target of `to`.
    void record(stream_id id, origin const& to, time_point now);

    /// Applies another host's record.
    void merge(reported_origin const& it, time_point now);

    [[nodiscard]] auto find(stream_id id) const -> std::optional<origin>;

    /// Whether a record of the stream has been reported, by this host or by
    /// another one, or may have been.
    [[nodiscard]] auto may_be_known_elsewhere(stream_id id) const -> bool;

    /// This host's own records of the last `lifetime`, newest first. They count
    /// as reported.
    [[nodiscard]] auto report(time_point now,
                              duration lifetime = report_lifetime)
        -> std::vector<reported_origin>;

    /// All records, newest first, for a host that has just started. They count
    /// as reported.
    [[nodiscard]] auto all() -> std::vector<reported_origin>;

    /// Call about every second.
    void expire(time_point now);

    [[nodiscard]] auto size() const -> std::size_t
    {
        return origins_.size();
    }

private:
    struct known_origin
    {
        origin it;
        time_point at{};
        time_point recorded_at{};
        bool reported = false;
    };

    void put(stream_id id, known_origin it);

    std::unordered_map<stream_id, known_origin> origins_;
    /// Streams in the order in which they were recorded, several times if that
    /// happened again; the oldest are dropped first.
    std::deque<std::pair<time_point, stream_id>> order_;
    std::deque<stream_id> own_;
};

} // namespace primrosedeal::stream_origin
