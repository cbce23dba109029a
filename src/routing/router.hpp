#pragma once

#include "core/random.hpp"
#include "core/verdict.hpp"
#include "routing/candidate.hpp"
#include "routing/load_view.hpp"
#include "routing/prefix_hints.hpp"

#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

/// Chooses the target for a request.
///
/// One router handles all services of a host. The host must pass it every
/// dispatch, completion and load report, and the cache events of engines that
/// publish them.
namespace primrosedeal::routing
{

struct router_settings
{
    load_settings load;
    hint_settings hints;
    /// Targets above this multiple of the mean load have an added cost.
    double load_bound_factor = 1.25;
    /// Added for targets outside the host's failure domain.
    duration cross_domain_cost = 80ms;
    /// Probability that a request that would leave the failure domain stays in
    /// it, so that frequently used prefixes are also cached there.
    double local_copy_probability = 0.1;
    /// Time to compute one block of a prompt.
    duration block_cost = 800us;
    /// Added for each request above the load bound.
    duration over_bound_cost = 20ms;
    /// Added for each request above a target's slots.
    duration over_slots_cost = 300ms;
    /// New requests of priority 0 are refused when the queue of the best
    /// target reaches this share of its slots. Each priority step above 0 adds
    /// the same share; requests below 0 are refused when all slots are in use.
    double max_queue_share = 0.05;
};

/// Why a target was chosen, for counters.
enum class choice_cause
{
    /// Requested by the caller because it has the prefix cached.
    preferred,
    /// A hint shows that it has a part of the prompt cached.
    warm,
    /// It has the highest rendezvous rank for the prefix.
    affinity,
    /// The least costly of the randomly sampled targets.
    spread,
};

auto to_string(choice_cause it) -> std::string_view;

struct choice
{
    target_id target;
    choice_cause cause = choice_cause::spread;
    /// The target is outside the host's failure domain.
    bool cross_domain = false;
};

/// The chosen target, or why there is none: `no_target` or `overloaded`.
using outcome = std::variant<choice, reason>;

class router
{
public:
    explicit router(router_settings settings);

    /// Chooses one of `targets`, which are all targets of the requested
    /// service. Does not record a dispatch. Takes time linear in the number of
    /// targets and blocks.
    auto choose(routing_request const& item, std::span<candidate const> targets,
                time_point now, random_source& random) const -> outcome;

    void dispatched(target_id const& target, routing_request const& item,
                    time_point now);
    void finished(target_id const& target, time_point now);
    void reported(target_id const& target, load_report report);

    /// `gap`: earlier events were lost.
    void cache_events(target_id const& target,
                      std::span<cache_event const> events, bool gap);

    /// Deletes all state of a target that was removed.
    void remove_target(target_id const& target);

    [[nodiscard]] auto load() const -> load_view const&
    {
        return load_;
    }

private:
    /// An eligible target with its estimated load.
    struct eligible_target
    {
        candidate const* target = nullptr;
        double load = 0;
        bool cross_domain = false;
        std::uint64_t rank = 0;
    };

    struct scored_target
    {
        eligible_target const* it = nullptr;
        choice_cause cause = choice_cause::spread;
        double cost = 0;
    };

    [[nodiscard]] auto eligible_targets(routing_request const& item,
                                        std::span<candidate const> targets,
                                        target_state state,
                                        time_point now) const
        -> std::vector<eligible_target>;
    [[nodiscard]] auto load_bound(std::vector<eligible_target> const& all) const
        -> double;
    [[nodiscard]] auto cost(eligible_target const& it, double load_bound,
                            std::size_t uncached_blocks) const -> double;
    [[nodiscard]] auto is_full(routing_request const& item,
                               eligible_target const& it) const -> bool;
    [[nodiscard]] auto cheapest(routing_request const& item,
                                std::vector<eligible_target> const& all,
                                random_source& random) const -> scored_target;
    [[nodiscard]] static auto sample(std::vector<eligible_target> const& all,
                                     random_source& random)
        -> std::vector<eligible_target const*>;
    [[nodiscard]] auto highest_ranked(std::vector<eligible_target> const& all,
                                      double load_bound, bool any_domain) const
        -> eligible_target const*;

    router_settings settings_;
    load_view load_;
    prefix_hints hints_;
};

/// True if `target` has loaded the model, version and adapter of `item`.
auto serves(candidate const& target, routing_request const& item) -> bool;

} // namespace primrosedeal::routing
