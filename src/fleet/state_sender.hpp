#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/units.hpp"
#include "fleet/digest.hpp"
#include "fleet/evidence_spread.hpp"
#include "fleet/fleet_view.hpp"
#include "quarantine/part_quarantine.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

/// Decides which datagrams a host sends to the others, and when.
///
/// Load pattern: loads change with every request, evidence only when a target
/// crashes. Digests with loads go out while there are changes, and at least
/// once a second; evidence follows its own rules (`evidence_spread`) and is put
/// into digests only for hosts that read no other datagrams.
namespace primrosedeal::fleet
{

/// Intervals between digests while something changes and while nothing does.
/// Prefill takes about a second, so the short interval keeps the hosts' views
/// of each other's load close to the current state.
constexpr auto min_digest_period = duration{20ms};
constexpr auto max_digest_period = duration{1s};

struct outgoing_datagram
{
    std::string bytes;
    std::vector<host_id> to;
};

/// What the host has to tell.
struct own_state
{
    /// Makes a digest without sequence, lost and replaced targets, evidence.
    std::function<digest()> make_digest;
    /// Increases with every change of the loads.
    std::uint64_t changes = 0;
    /// Targets found lost and replaced since the last call.
    std::vector<target_id> lost;
    std::vector<target_id> replaced;
    /// All other hosts, heard or not.
    std::span<host_id const> receivers;
};

class state_sender
{
public:
    /// What to send now. Must be called every `min_digest_period`.
    auto next(own_state const& own, quarantine::part_quarantine& evidence,
              fleet_view const& others, random_source& random, time_point now)
        -> std::vector<outgoing_datagram>;

private:
    using datagrams = std::vector<outgoing_datagram>;

    void add_digest(own_state const& own, time_point now, datagrams& out);
    void add_evidence(own_state const& own, quarantine::report const& it,
                      std::span<host_id const> to, fleet_view const& others,
                      time_point now, datagrams& out);
    auto make_digest(own_state const& own) -> digest;

    std::uint64_t sequence_ = 0;
    std::uint64_t sent_changes_ = 0;
    time_point sent_at_{};
    evidence_spread evidence_;
};

} // namespace primrosedeal::fleet
