#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <deque>
#include <optional>
#include <set>

/// Detects that this host reaches nobody, so that connections which time out
/// say nothing about the targets.
///
/// Load pattern: a host's link or processor is choked for seconds while targets
/// are replaced. Its connections to targets of all failure domains time out; to
/// other hosts the same targets answer. Timeouts at several targets in every
/// domain that has any, without an answer from anywhere in between, are put
/// down to the host itself, until a connection is answered again. A connection
/// that is refused was answered too. Loss of some domains never looks the same,
/// nor does a host's partition from all domains but one.
namespace primrosedeal::dispatch
{

struct own_link_limits
{
    /// Distinct targets and domains in which connections have to time out.
    std::size_t min_targets = 4;
    std::size_t min_domains = 2;
    /// Time in which they have to.
    duration window = 4s;
};

struct connect_timeout_record
{
    time_point at;
    target_id target;
    domain_id domain;
};

/// The host reaches nobody, as these timeouts show.
struct own_link_down
{
    std::deque<connect_timeout_record> evidence;
    std::size_t targets = 0;
    std::size_t domains = 0;
    duration span{};
};

/// The host reaches somebody again.
struct own_link_up
{
    /// Connections that timed out in the meantime.
    std::size_t timeouts = 0;
    duration span{};
};

class own_link
{
public:
    explicit own_link(own_link_limits limits = {}) : limits_(limits) {}

    /// A connection to `target` that was begun at `begun_at` timed out.
    /// `listed` are the domains that have targets. Returns a value if the host
    /// is now found to reach nobody.
    auto timed_out(target_id const& target, domain_id const& domain,
                   time_point begun_at, std::set<domain_id> const& listed,
                   time_point now) -> std::optional<own_link_down>;

    /// A connection was accepted or refused. Returns a value if the host was
    /// found to reach nobody.
    auto answered(time_point now) -> std::optional<own_link_up>;

    [[nodiscard]] auto down() const -> bool
    {
        return down_since_.has_value();
    }

private:
    own_link_limits limits_;
    std::deque<connect_timeout_record> recent_;
    time_point last_answer_{};
    std::optional<time_point> down_since_;
    std::size_t timeouts_while_down_ = 0;
};

} // namespace primrosedeal::dispatch
