#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/units.hpp"
#include "directory/target_directory.hpp"
#include "request_limit/host_share.hpp"
#include "request_limit/limit_table.hpp"

#include <map>
#include <optional>
#include <vector>

/// Decides whether this host may send a request to a limited target now: a
/// token bucket for each, filled at this host's share (`host_share`).
///
/// A bucket starts empty: the request whose response stated the limit was the
/// first one, and hosts that get a share do so at different times.
namespace primrosedeal::request_limit
{

class limiter
{
public:
    /// Sets this host's shares of the limits of `targets`, which are all of one
    /// service, ordered by id. Must be called before `permits` and `sent`.
    void update(limit_table const& limits,
                std::vector<directory::listed_target> const& targets,
                host_group const& hosts, time_point now);

    /// Whether a request may be sent to the target.
    [[nodiscard]] auto permits(target_id const& id, time_point now) const
        -> bool;

    [[nodiscard]] auto limited(target_id const& id) const -> bool
    {
        return buckets_.contains(id);
    }

    /// Time until a request may be sent to the target, if nothing changes;
    /// nothing if this host has no share.
    [[nodiscard]] auto wait_for(target_id const& id, time_point now) const
        -> std::optional<duration>;

    /// A request is sent to the target.
    void sent(target_id const& id, time_point now);

    void remove_target(target_id const& id);

    /// No target has a limit any more.
    void clear();

private:
    struct bucket
    {
        double rate = 0;
        double tokens = 0;
        time_point filled_at{};
    };

    static auto tokens_at(bucket const& it, time_point now) -> double;

    std::map<target_id, bucket> buckets_;
};

/// Time after which a request that the limits of `targets` do not permit now
/// may be sent again, spread so that refused callers do not return together;
/// nothing if no limit stands in its way.
auto retry_after(limiter const& it,
                 std::vector<directory::listed_target> const& targets,
                 random_source& random, time_point now)
    -> std::optional<duration>;

} // namespace primrosedeal::request_limit
