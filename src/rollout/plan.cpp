#include "rollout/plan.hpp"

#include "core/overloaded.hpp"

#include <algorithm>
#include <array>

namespace primrosedeal::rollout
{

namespace
{

/// Part of the slack that the hosts divide among them.
constexpr auto divided_slack = 0.5;

/// Parts of the time to the deadline. A version is evaluated from the first on
/// if there are enough responses, and from the second on by what there is:
/// where demand is low, the slack admits most of it anyway.
constexpr auto evaluated_from = 0.12;
constexpr auto evaluated_at = 0.25;
constexpr auto enough_responses = 60.0;

struct step
{
    double from = 0;
    double share = 0;
};

/// The last step leaves most of the time for streams that have begun at other
/// versions: 11 s of an example of 16 s, where most take 5 to 10 s.
constexpr auto steps =
    std::array{step{0, 0.25}, step{0.16, 0.5}, step{0.28, 1.0}};

/// Least part of the time at a step, so that a fault under load shows before
/// the next one where a rollout was held up.
constexpr auto least_dwell = 0.06;

} // namespace

auto to_string(phase const& it) -> std::string_view
{
    return std::visit(
        overloaded{[](waiting) { return std::string_view{"waiting"}; },
                   [](limited) { return std::string_view{"limited"}; },
                   [](raised const&) { return std::string_view{"raised"}; },
                   [](whole) { return std::string_view{"whole"}; },
                   [](finished) { return std::string_view{"finished"}; },
                   [](reverted)
                   {
                       return std::string_view{"reverted"};
                   }},
        it);
}

auto has_ended(phase const& it) -> bool
{
    return std::holds_alternative<finished>(it) ||
           std::holds_alternative<reverted>(it);
}

auto no_version() -> software_version const&
{
    static auto const it = software_version{"\x7f"};
    return it;
}

auto within_exposure(plan_input const& it) -> bool
{
    auto const hosts = std::max(it.hosts, std::size_t{1});
    auto const slack =
        static_cast<std::size_t>(divided_slack * it.bounds.slack);
    auto const part =
        slack / hosts + (it.rank < slack % hosts ? std::size_t{1} : 0);
    auto const allowed =
        it.bounds.share * static_cast<double>(it.requests.all) +
        static_cast<double>(part);
    return static_cast<double>(it.requests.at_target) + 1 <= allowed;
}

auto plan(phase const& at, plan_input const& it) -> permitted_versions
{
    auto const target = version_set{it.target};
    auto const others =
        it.others.empty() ? version_set{no_version()} : it.others;
    if (it.others.empty() && !std::holds_alternative<reverted>(at))
    {
        // No other version could serve these requests.
        return {target, {}};
    }
    auto moved = it.target_usable ? permitted_versions{target, {}}
                                  : permitted_versions{others, {}};
    return std::visit(
        overloaded{[&](waiting) {
                       return permitted_versions{others, {}};
                   },
                   [&](limited)
                   {
                       return it.target_usable && within_exposure(it)
                                  ? permitted_versions{target, others}
                                  : permitted_versions{others, {}};
                   },
                   [&](raised const& step)
                   {
                       auto const due =
                           step.share * static_cast<double>(it.requests.all);
                       auto const is_due =
                           it.target_usable &&
                           static_cast<double>(it.requests.at_target) + 1 <=
                               due;
                       return is_due ? permitted_versions{target, others}
                                     : permitted_versions{others, target};
                   },
                   [&](whole) { return moved; },
                   [&](finished) {
                       return permitted_versions{target, {}};
                   },
                   [&](reverted)
                   {
                       return permitted_versions{others, {}};
                   }},
        at);
}

auto next_phase(phase const& now_at, progress const& it) -> phase
{
    auto const part =
        it.length > 0s ? to_seconds(it.elapsed) / to_seconds(it.length) : 1.0;
    auto const evaluated =
        part >= evaluated_at ||
        (part >= evaluated_from && it.responses >= enough_responses);
    auto const dwelt =
        to_seconds(it.in_phase) >= least_dwell * to_seconds(it.length);
    auto const step_up = [&](raised const& at) -> phase
    {
        auto const* const next = std::find_if(
            steps.begin(), steps.end(),
            [&](step const& each) { return each.share > at.share; });
        if (next == steps.end() || part < next->from || !dwelt)
        {
            return at;
        }
        return next->share >= 1 ? phase{whole{}} : phase{raised{next->share}};
    };
    if (!it.others_heard)
    {
        return std::holds_alternative<waiting>(now_at) ? limited{} : now_at;
    }
    return std::visit(
        overloaded{[&](waiting) -> phase { return limited{}; },
                   [&](limited) -> phase {
                       return evaluated ? phase{raised{steps.front().share}}
                                        : phase{limited{}};
                   },
                   [&](raised const& at) -> phase { return step_up(at); },
                   [&](auto const&) -> phase
                   {
                       return now_at;
                   }},
        now_at);
}

} // namespace primrosedeal::rollout
