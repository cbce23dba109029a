#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

/// Counts the requests that targets rejected for want of room, over all hosts.
///
/// Rejections count for a second. Hosts report their own in digests.
namespace primrosedeal::rejection_limit
{

/// How long a rejection counts.
constexpr auto rejection_window = duration{1s};

/// Rejections that one host received in the window before the last one.
struct reported_rejections
{
    target_id target;
    incarnation process_start;
    std::uint32_t count = 0;
    time_point last_at{};

    friend auto operator==(reported_rejections const&,
                           reported_rejections const&) -> bool = default;
};

class rejection_log
{
public:
    /// The target rejected a request of this host.
    void rejected(target_id const& id, incarnation process_start,
                  time_point now);

    /// Applies a report of `host`, which replaces earlier ones.
    void merge(host_id const& host, reported_rejections const& it);

    /// Rejections at the process of the target within the window.
    [[nodiscard]] auto recent(target_id const& id, incarnation process_start,
                              time_point now) const -> std::uint32_t;

    /// This host's own rejections within the window.
    [[nodiscard]] auto report(time_point now) const
        -> std::vector<reported_rejections>;

    void remove_target(target_id const& id);

    /// Removes what does not count any more. Call about every second.
    void expire(time_point now);

private:
    struct entry
    {
        incarnation process_start;
        std::deque<time_point> own;
        std::map<host_id, reported_rejections> heard;
    };

    std::map<target_id, entry> targets_;
};

} // namespace primrosedeal::rejection_limit
