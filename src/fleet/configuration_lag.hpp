#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/units.hpp"
#include "fleet/digest.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

/// Decides when a host fetches the configuration of another host.
///
/// Load pattern: the store's changes come in bursts, and hosts learn of each
/// within some hundred milliseconds over paths of their own. A host whose path
/// fails uses an older configuration for as long as that lasts, though others
/// report a newer one: the store turns it away, or was restored from an older
/// copy just before the host started. It then fetches the newer one from a
/// host. Hosts whose paths work must not: all of them hear of a change before
/// their own path brings it, and a configuration is larger than many digests.
/// If hundreds of hosts are behind at once, the first that is not would have to
/// serve all of them; the number of askers follows the number of hosts that can
/// answer. Hosts that stand still or whose configuration cannot be read must
/// not keep the others from being asked.
namespace primrosedeal::fleet
{

struct lag_view
{
    domain_id domain;
    /// The configuration that this host uses; zero if it has none.
    routes::configuration_version own;
    /// Other hosts that report one and can be asked.
    std::span<configured_host const> others;
    /// Changes of the store have reached this host for as long as one may take
    /// to be in force.
    bool path_settled = false;
};

class configuration_lag
{
public:
    /// `change_bound`: time in which a change has to be in force.
    explicit configuration_lag(duration change_bound);

    /// The host to fetch the configuration from now, if any. Call several times
    /// per `change_bound`.
    auto next(lag_view const& view, random_source& random, time_point now)
        -> std::optional<host_id>;

    /// The fetch from `from` has ended. It failed unless `own`, the
    /// configuration in use now, is the one that `from` reported, or a later
    /// one.
    void fetch_ended(host_id const& from, routes::configuration_version own,
                     time_point now);

    /// How long later versions than the one in use have been reported; empty if
    /// none is.
    [[nodiscard]] auto behind_for(time_point now) const
        -> std::optional<duration>;

private:
    /// A host that was asked for a version.
    struct request
    {
        routes::configuration_version version;
        time_point sent_at{};
        bool open = false;
        unsigned failures = 0;
        /// The host is not asked for this version before.
        time_point retry_at{};
    };

    void mark_failed(request& it, time_point now);
    void forget_requests(std::vector<configured_host> const& later);
    [[nodiscard]] auto open_requests() const -> std::size_t;
    [[nodiscard]] auto may_be_asked(configured_host const& it,
                                    time_point now) const -> bool;

    duration change_bound_;
    /// The newest version that was reported when this host fell behind: its own
    /// path is given time from `behind_since_` to bring it.
    routes::configuration_version expected_;
    std::optional<time_point> behind_since_;
    std::map<host_id, request> requests_;
};

} // namespace primrosedeal::fleet
