#pragma once

#include "core/random.hpp"
#include "core/verdict.hpp"
#include "routing/candidate.hpp"
#include "routing/load_view.hpp"

#include <span>
#include <string_view>
#include <variant>
#include <vector>

/// Chooses the target of a piece of work.
///
/// One router serves all services of a host. The host tells it of every
/// dispatch, every completion and every load report.
namespace primrosedeal::routing
{

struct router_settings
{
    load_settings load;
    /// A target is passed over above this multiple of the mean load.
    double affinity_bound = 1.25;
};

/// Why a target was chosen, for a counter.
enum class choice_cause
{
    preferred,
    affinity,
    spread,
};

auto to_string(choice_cause it) -> std::string_view;

struct choice
{
    target_id target;
    choice_cause cause = choice_cause::spread;
    /// The target is outside the host's failure domain.
    bool crossing = false;
};

/// A choice, or why there is none: `no_target` or `overloaded`.
using outcome = std::variant<choice, reason>;

class router
{
public:
    explicit router(router_settings settings);

    /// Takes one of `targets`, all of the service that is asked for. Does
    /// not count it as dispatched. Cost: linear in the targets.
    auto choose(work const& item, std::span<candidate const> targets,
                time_point now, random_source& random) -> outcome;

    void dispatched(target_id const& target, work const& item, time_point now);
    void finished(target_id const& target, time_point now);
    void reported(target_id const& target, load_report report);
    void forget(target_id const& target);

    [[nodiscard]] auto load() const -> load_view const&
    {
        return load_;
    }

private:
    [[nodiscard]] auto fullness(candidate const& it, time_point now) const
        -> double;
    [[nodiscard]] auto
    preferred_by_prefix(work const& item,
                        std::vector<candidate const*> const& all,
                        time_point now) const -> candidate const*;

    router_settings settings_;
    load_view load_;
};

/// True if `target` has the model, version and adapter of `item`.
auto serves(candidate const& target, work const& item) -> bool;

} // namespace primrosedeal::routing
