#include "rollout/order.hpp"

#include <algorithm>
#include <array>

namespace primrosedeal::rollout
{

namespace
{

constexpr auto states =
    std::array{state::in_progress, state::completed, state::rolled_back};

} // namespace

auto to_string(state it) -> std::string_view
{
    switch (it)
    {
    case state::in_progress:
        return "in_progress";
    case state::completed:
        return "completed";
    case state::rolled_back:
        return "rolled_back";
    }
    return "";
}

auto to_state(std::string_view word) -> std::optional<state>
{
    auto const* const found =
        std::find_if(states.begin(), states.end(),
                     [&](state it) { return to_string(it) == word; });
    return found == states.end() ? std::nullopt : std::optional{*found};
}

} // namespace primrosedeal::rollout
