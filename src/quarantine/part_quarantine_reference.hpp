#pragma once

#include "quarantine/part_quarantine.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

/// Slow reference of `part_quarantine`: keeps everything that it ever heard and
/// recomputes each answer from it. It has no bounds, forgets nothing and admits
/// no trial.
namespace primrosedeal::quarantine
{

class reference_quarantine
{
public:
    void record_crash(crash_id crash, run_id run,
                      std::span<suspect_id const> parts, time_point now)
    {
        for (auto const part : parts)
        {
            accusations_.push_back({part, crash, run, now});
        }
    }

    void record_progress(std::span<suspect_id const> parts, time_point now)
    {
        for (auto const part : parts)
        {
            own_.push_back({part, now});
        }
    }

    void merge(report const& it)
    {
        accusations_.insert(accusations_.end(), it.accusations.begin(),
                            it.accusations.end());
        heard_.insert(heard_.end(), it.clearances.begin(), it.clearances.end());
    }

    [[nodiscard]] auto make_report() const -> report
    {
        auto out = report{};
        for (auto const& [part, crashes] : standing())
        {
            for (auto const& [crash, it] : crashes)
            {
                out.accusations.push_back(it);
            }
        }
        for (auto const& [part, at] : latest(own_))
        {
            auto const refutes =
                [part = part, until = at + proof_validity](auto const& it)
            {
                return it.part == part && it.at <= until;
            };
            if (std::any_of(accusations_.begin(), accusations_.end(), refutes))
            {
                out.clearances.push_back({part, at});
            }
        }
        return out;
    }

    [[nodiscard]] auto quarantined(quarantine_limits const& limits) const
        -> std::map<suspect_id, std::set<crash_id>>
    {
        auto out = std::map<suspect_id, std::set<crash_id>>{};
        for (auto const& [part, crashes] : standing())
        {
            auto runs = std::set<run_id>{};
            auto ids = std::set<crash_id>{};
            for (auto const& [crash, it] : crashes)
            {
                runs.insert(it.run);
                ids.insert(crash);
            }
            auto const& rules = limits.of(kind_of(part));
            if (ids.size() >= rules.crash_threshold &&
                runs.size() >= rules.request_threshold)
            {
                out[part] = ids;
            }
        }
        return out;
    }

    [[nodiscard]] auto refuses(std::span<suspect_id const> parts,
                               quarantine_limits const& limits) const -> bool
    {
        auto const all = quarantined(limits);
        auto const lacks = [&](suspect_id it)
        {
            return std::find(parts.begin(), parts.end(), it) == parts.end();
        };
        return std::any_of(parts.begin(), parts.end(),
                           [&](suspect_id part)
                           {
                               auto const it = all.find(part);
                               return it != all.end() &&
                                      std::none_of(
                                          all.begin(), all.end(),
                                          [&](auto const& other)
                                          {
                                              return lacks(other.first) &&
                                                     outweighs(other, *it) &&
                                                     std::includes(
                                                         other.second.begin(),
                                                         other.second.end(),
                                                         it->second.begin(),
                                                         it->second.end());
                                          });
                           });
    }

    [[nodiscard]] auto explains(crash_id crash,
                                quarantine_limits const& limits) const -> bool
    {
        auto const all = quarantined(limits);
        return std::any_of(all.begin(), all.end(),
                           [&](auto const& it)
                           { return it.second.contains(crash); });
    }

private:
    static constexpr auto proof_validity = quarantine_limits{}.proof_validity;

    /// A request is explained only by a suspect with more crashes.
    static auto outweighs(auto const& other, auto const& it) -> bool
    {
        return kind_of(it.first) == suspect_kind::part ||
               other.second.size() > it.second.size();
    }

    using by_crash = std::map<crash_id, accusation>;

    static auto latest(std::vector<clearance> const& all)
        -> std::map<suspect_id, time_point>
    {
        auto out = std::map<suspect_id, time_point>{};
        for (auto const& it : all)
        {
            auto const at = out.emplace(it.part, it.at).first;
            at->second = std::max(at->second, it.at);
        }
        return out;
    }

    /// The earliest accusation by each crash, without those that were cleared.
    [[nodiscard]] auto standing() const -> std::map<suspect_id, by_crash>
    {
        auto out = std::map<suspect_id, by_crash>{};
        for (auto const& it : accusations_)
        {
            auto const known = out[it.part].emplace(it.crash, it).first;
            if (std::tie(it.at, it.run) <
                std::tie(known->second.at, known->second.run))
            {
                known->second = it;
            }
        }
        auto clearances = own_;
        clearances.insert(clearances.end(), heard_.begin(), heard_.end());
        for (auto const& [part, at] : latest(clearances))
        {
            std::erase_if(out[part],
                          [until = at + proof_validity](auto const& it)
                          { return it.second.at <= until; });
        }
        return out;
    }

    std::vector<accusation> accusations_;
    std::vector<clearance> own_;
    std::vector<clearance> heard_;
};

} // namespace primrosedeal::quarantine
