#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"
#include "stream_origin/served_versions.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

/// Decides when the record of a service's versions is read from the store for
/// requests that take up streams of unknown origin.
///
/// Load pattern: a host that was stopped or cut off gets the streams that other
/// hosts have lost, at once, and has not heard of a version that has joined
/// since; or all hosts are lost and get all streams within a second, and the
/// store counts the reads of all of them. A version is recorded before streams
/// begin at it, so a read that begins after the request has arrived shows the
/// version of its stream; anything that the host knew before may be too old.
/// One read of a service runs at a time and begins `record_read_gap` after the
/// one before; requests that arrive until then share it. If a read is not
/// answered, no request waits for another one.
namespace primrosedeal::stream_origin
{

/// Gets the records of all services; none if there is none or no answer.
using record_handler = std::function<void(versions_by_service const&)>;

/// Least time between the beginnings of two reads of a service.
constexpr auto record_read_gap = duration{100ms};

/// A read has failed if it is not answered in this time.
constexpr auto record_read_timeout = duration{300ms};

struct ended_read
{
    /// Whom the result is for.
    std::vector<record_handler> waiting;
    /// When the next read is to begin, if one is needed.
    std::optional<time_point> next_at;
};

class record_reads
{
public:
    /// A request that needs a read has arrived. Returns when one is to begin,
    /// unless one is due already.
    [[nodiscard]] auto add(service_id const& service, record_handler done,
                           time_point now) -> std::optional<time_point>;

    /// The read of `service` that was due begins.
    void begin(service_id const& service, time_point now);

    /// It has ended.
    [[nodiscard]] auto end(service_id const& service, bool answered,
                           time_point now) -> ended_read;

private:
    struct service_reads
    {
        std::vector<record_handler> of_running;
        std::vector<record_handler> of_next;
        bool running = false;
        std::optional<time_point> begun_at;
    };

    static auto next_time(service_reads const& it, time_point now)
        -> time_point;

    std::map<service_id, service_reads> reads_;
};

} // namespace primrosedeal::stream_origin
