#pragma once

#include "target/table.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

/// The targets' states worked out from the whole history at each question.
/// Slow and obvious; without time, so without probes' timeouts.
namespace primrosedeal::target
{

class table_reference
{
public:
    void handle(event const& it)
    {
        history_.push_back(it);
    }

    /// Nothing if no adopted list ever named the target.
    [[nodiscard]] auto state(target_id const& id) const
        -> std::optional<target_state>
    {
        auto const start = newest_start(id, history_.size());
        if (!start)
        {
            return std::nullopt;
        }
        if (left(id, *start))
        {
            return target_state::leaving;
        }
        return own_state(id, *start);
    }

private:
    /// Whether the list at `at` was the newest when it came.
    [[nodiscard]] auto adopted(std::size_t at) const -> bool
    {
        auto const& list = std::get<list_snapshot>(history_[at]);
        for (auto n = std::size_t{0}; n < at; ++n)
        {
            auto const* earlier = std::get_if<list_snapshot>(&history_[n]);
            if (earlier != nullptr && !earlier->targets.empty() &&
                earlier->version > list.version)
            {
                return false;
            }
        }
        return !list.targets.empty();
    }

    [[nodiscard]] auto newest_start(target_id const& id, std::size_t end) const
        -> std::optional<incarnation>
    {
        auto newest = std::optional<incarnation>{};
        for (auto n = std::size_t{0}; n < end; ++n)
        {
            auto const* list = std::get_if<list_snapshot>(&history_[n]);
            if (list == nullptr || !adopted(n))
            {
                continue;
            }
            for (auto const& it : list->targets)
            {
                if (it.it.id == id && (!newest || it.it.start > *newest))
                {
                    newest = it.it.start;
                }
            }
        }
        return newest;
    }

    /// Whether one event says that `id` leaves in `start` or a later one.
    [[nodiscard]] auto says_left(std::size_t at, target_id const& id,
                                 incarnation start) const -> bool
    {
        auto const& it = history_[at];
        if (auto const* mark = std::get_if<leaving_mark>(&it))
        {
            return mark->id == id && mark->start >= start;
        }
        if (auto const* refusal = std::get_if<leaving_refusal>(&it))
        {
            return refusal->id == id && refusal->start >= start;
        }
        auto const* list = std::get_if<list_snapshot>(&it);
        if (list == nullptr)
        {
            return false;
        }
        auto named = false;
        for (auto const& listed : list->targets)
        {
            named = named || listed.it.id == id;
            if (listed.it.id == id && listed.leaving &&
                listed.it.start >= start)
            {
                return true;
            }
        }
        auto const known = newest_start(id, at);
        return !named && adopted(at) && known && *known >= start;
    }

    [[nodiscard]] auto left(target_id const& id, incarnation start) const
        -> bool
    {
        for (auto n = std::size_t{0}; n < history_.size(); ++n)
        {
            if (says_left(n, id, start))
            {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] auto own_state(target_id const& id, incarnation start) const
        -> target_state
    {
        auto state = target_state::live;
        auto failed_probes = 0;
        for (auto n = std::size_t{0}; n < history_.size(); ++n)
        {
            auto const* it = std::get_if<connection_outcome>(&history_[n]);
            if (it == nullptr || it->id != id || it->start != start ||
                newest_start(id, n) != start)
            {
                continue;
            }
            auto const was_live = state == target_state::live;
            auto const seen = it->seen;
            if (seen == outcome::answered || seen == outcome::probe_answered)
            {
                state = target_state::live;
                failed_probes = 0;
            }
            else if (seen == outcome::refused)
            {
                state = target_state::failed;
            }
            else if (seen == outcome::probe_failed && !was_live)
            {
                ++failed_probes;
                state = failed_probes >= 2 ? target_state::failed : state;
            }
            else if (seen != outcome::probe_failed && was_live)
            {
                state = target_state::suspect;
            }
        }
        return state;
    }

    std::vector<event> history_;
};

} // namespace primrosedeal::target
