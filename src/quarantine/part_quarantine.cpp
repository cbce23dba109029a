#include "quarantine/part_quarantine.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

// Times of one event differ between hosts by the time that messages take. The
// earliest time of a crash is the most exact one. A crash is identified by its
// id, so evidence that was cleared is recognised whatever its time.
namespace primrosedeal::quarantine
{

namespace
{

/// Evidence that was heard has to be newer than other evidence by this to take
/// its place. Otherwise hosts would replace near-simultaneous evidence in turn.
constexpr auto heard_margin = duration{1s};

/// Distinguishes the kinds of suspects.
constexpr auto kind_bit = std::uint64_t{1};

auto hash(std::string_view it) -> std::uint64_t
{
    return XXH3_64bits(it.data(), it.size());
}

auto contains(std::span<suspect_id const> parts, suspect_id it) -> bool
{
    return std::find(parts.begin(), parts.end(), it) != parts.end();
}

template <class Map>
auto latest(Map& crashes)
{
    return std::max_element(crashes.begin(), crashes.end(),
                            [](auto const& a, auto const& b) {
                                return std::tie(a.second.at, a.first) <
                                       std::tie(b.second.at, b.first);
                            });
}

} // namespace

auto kind_of(suspect_id it) -> suspect_kind
{
    return (it.value() & kind_bit) == 0 ? suspect_kind::part
                                        : suspect_kind::request;
}

auto to_string(suspect_kind it) -> std::string_view
{
    switch (it)
    {
    case suspect_kind::part:
        return "part";
    case suspect_kind::request:
        return "request";
    }
    return "unknown";
}

// Each field's hash is the seed of the next one's. The hash depends on the
// length, so bytes cannot move from one field to another unnoticed.
auto to_identity(request_content const& it) -> suspect_id
{
    auto out = XXH64_hash_t{};
    for (auto const field : {it.method, it.target, it.organisation, it.body})
    {
        out = XXH3_64bits_withSeed(field.data(), field.size(), out);
    }
    return suspect_id{out | kind_bit};
}

auto to_part_id(std::string_view part) -> suspect_id
{
    return suspect_id{hash(part) & ~kind_bit};
}

auto to_crash_id(target_id const& id, incarnation process_start) -> crash_id
{
    auto const& it = id.value();
    return crash_id{
        XXH3_64bits_withSeed(it.data(), it.size(), process_start.value())};
}

auto to_run_id(request_id const& id) -> run_id
{
    return run_id{hash(id.value())};
}

auto part_quarantine::acquittal::until() const -> time_point
{
    return std::max(own.value_or(time_point::min()),
                    heard.value_or(time_point::min()));
}

void part_quarantine::record_crash(crash_id crash, run_id run,
                                   std::span<suspect_id const> parts,
                                   time_point now)
{
    for (auto const part : parts)
    {
        add({part, crash, run, now}, source::own, 1, now);
    }
}

void part_quarantine::record_progress(std::span<suspect_id const> parts,
                                      time_point now)
{
    for (auto const part : parts)
    {
        prove(part, now);
        if (auto const held = suspects_.find(part); held != suspects_.end())
        {
            note_clearance(part, latest(held->second.crashes)->second.at);
            acquittal_of(part, now).own = now;
            clear(part, now, now);
        }
        else if (auto const known = acquittals_.find(part);
                 known != acquittals_.end() && !known->second.crashes.empty())
        {
            known->second.own = now;
        }
    }
}

void part_quarantine::merge(report const& it, time_point now)
{
    auto const max_age = limits_.evidence_lifetime * 9 / 10;
    for (auto const& each : it.clearances)
    {
        if (now - each.at < max_age)
        {
            auto const at = std::min(each.at, now);
            auto& known = acquittal_of(each.part, now);
            known.heard = std::max(known.heard.value_or(at), at);
            clear(each.part, at, now);
        }
    }
    auto told = std::map<suspect_id, std::size_t>{};
    for (auto const& each : it.accusations)
    {
        ++told[each.part];
    }
    for (auto each : it.accusations)
    {
        if (now - each.at < max_age)
        {
            each.at = std::min(each.at, now);
            add(each, source::heard, told[each.part], now);
        }
    }
}

void part_quarantine::add(accusation const& it, source from, std::size_t told,
                          time_point now)
{
    if (refute(it, now))
    {
        return;
    }
    if (auto* const place = place_for(it, from, told, now))
    {
        insert(*place, it, from);
    }
}

/// Whether the part was cleared shortly before the crash or since.
auto part_quarantine::refute(accusation const& it, time_point now) -> bool
{
    auto const proven = proven_at(it.part);
    auto const by_proof = proven && it.at <= *proven + limits_.proof_validity;
    auto const known = acquittals_.find(it.part);
    auto const by_known =
        known != acquittals_.end() &&
        (it.at <= known->second.until() + limits_.proof_validity ||
         known->second.crashes.contains(it.crash));
    if (!by_proof && !by_known)
    {
        return false;
    }
    auto& record = acquittal_of(it.part, now);
    remember_cleared(it.part, record, it.crash);
    if (by_proof && (!record.own || *record.own < *proven))
    {
        record.own = proven;
        note_clearance(it.part, it.at);
        ++changes_;
    }
    if (auto const held = suspects_.find(it.part);
        held != suspects_.end() && held->second.crashes.erase(it.crash) > 0)
    {
        ++changes_;
        if (held->second.crashes.empty())
        {
            suspects_.erase(held);
        }
    }
    return true;
}

/// The record of the accused suspect; null if there is no place for it. What
/// this host has seen takes the place of older evidence. What it has heard has
/// to outweigh that, also by what comes with it, so that hosts do not replace
/// each other's evidence in turn.
auto part_quarantine::place_for(accusation const& it, source from,
                                std::size_t told, time_point now) -> suspect*
{
    if (auto const found = suspects_.find(it.part); found != suspects_.end())
    {
        return &found->second;
    }
    auto const kind = kind_of(it.part);
    auto count = std::size_t{0};
    auto victim = suspects_.end();
    auto lowest = rank_key{};
    for (auto each = suspects_.begin(); each != suspects_.end(); ++each)
    {
        if (kind_of(each->first) != kind)
        {
            continue;
        }
        ++count;
        auto const its = rank(*each, now);
        if (victim == suspects_.end() || its < lowest)
        {
            victim = each;
            lowest = its;
        }
    }
    if (count >= limits_.of(kind).max_suspects)
    {
        auto const& [reached, crashes, last, id] = lowest;
        auto const place =
            from == source::own
                ? rank_key{false, crashes, it.at, it.part}
                : rank_key{false, told, it.at - heard_margin, it.part};
        if (victim == suspects_.end() || place < lowest)
        {
            return nullptr;
        }
        suspects_.erase(victim);
    }
    return &suspects_[it.part];
}

void part_quarantine::insert(suspect& to, accusation const& it, source from)
{
    auto const record = crash_record{it.at, it.run};
    if (auto const found = to.crashes.find(it.crash); found != to.crashes.end())
    {
        auto& held = found->second;
        auto const earlier =
            std::tie(record.at, record.run) < std::tie(held.at, held.run);
        held = earlier ? record : held;
        return;
    }
    if (to.crashes.size() >= limits_.of(kind_of(it.part)).max_crashes)
    {
        auto const last = latest(to.crashes);
        auto const margin = from == source::own ? duration{} : heard_margin;
        if (it.at <= last->second.at + margin)
        {
            return;
        }
        to.crashes.erase(last);
    }
    to.crashes.emplace(it.crash, record);
    to.exceeded |=
        to.crashes.size() > limits_.of(kind_of(it.part)).crash_threshold;
    ++changes_;
    if (from == source::own && new_accusations_.size() < limits_.max_reported)
    {
        new_accusations_.emplace(it.part, it.crash);
    }
}

void part_quarantine::note_clearance(suspect_id part, time_point accused_at)
{
    if (auto const found = new_clearances_.find(part);
        found != new_clearances_.end())
    {
        found->second = std::max(found->second, accused_at);
    }
    else if (new_clearances_.size() < limits_.max_reported)
    {
        new_clearances_.emplace(part, accused_at);
    }
}

/// Deletes the evidence that an answer with `part` at `proven` refutes.
void part_quarantine::clear(suspect_id part, time_point proven, time_point now)
{
    auto const until = proven + limits_.proof_validity;
    auto const found = suspects_.find(part);
    if (found == suspects_.end())
    {
        return;
    }
    auto& record = acquittal_of(part, now);
    auto& crashes = found->second.crashes;
    auto const cleared =
        std::erase_if(crashes,
                      [&](auto const& it)
                      {
                          auto const old = it.second.at <= until;
                          if (old)
                          {
                              remember_cleared(part, record, it.first);
                          }
                          return old;
                      });
    if (cleared > 0)
    {
        ++changes_;
        found->second.exceeded =
            crashes.size() > limits_.of(kind_of(part)).crash_threshold;
    }
    if (crashes.empty())
    {
        suspects_.erase(found);
    }
}

auto part_quarantine::acquittal_of(suspect_id part, time_point now)
    -> acquittal&
{
    if (!acquittals_.contains(part))
    {
        auto const kind = kind_of(part);
        auto count = std::size_t{0};
        auto oldest = acquittals_.end();
        for (auto it = acquittals_.begin(); it != acquittals_.end(); ++it)
        {
            if (kind_of(it->first) != kind)
            {
                continue;
            }
            ++count;
            if (oldest == acquittals_.end() ||
                it->second.used_at < oldest->second.used_at)
            {
                oldest = it;
            }
        }
        if (count >= limits_.of(kind).max_suspects)
        {
            acquittals_.erase(oldest);
        }
    }
    auto& out = acquittals_[part];
    out.used_at = now;
    return out;
}

void part_quarantine::remember_cleared(suspect_id part, acquittal& it,
                                       crash_id crash) const
{
    if (it.crashes.size() < limits_.of(kind_of(part)).max_crashes)
    {
        it.crashes.insert(crash);
    }
}

void part_quarantine::prove(suspect_id part, time_point now)
{
    auto const kind = kind_of(part);
    auto& [all, by_suspect] = proofs_[kind];
    if (auto const found = by_suspect.find(part); found != by_suspect.end())
    {
        found->second->at = now;
        all.splice(all.begin(), all, found->second);
        return;
    }
    if (all.size() >= limits_.of(kind).max_proven)
    {
        by_suspect.erase(all.back().part);
        all.pop_back();
    }
    all.push_front({part, now});
    by_suspect.emplace(part, all.begin());
}

auto part_quarantine::proven_at(suspect_id part) const
    -> std::optional<time_point>
{
    auto const kind = proofs_.find(kind_of(part));
    if (kind == proofs_.end())
    {
        return std::nullopt;
    }
    auto const it = kind->second.by_suspect.find(part);
    return it == kind->second.by_suspect.end() ? std::nullopt
                                               : std::optional{it->second->at};
}

auto part_quarantine::make_report(time_point now) const -> report
{
    auto ranked = std::vector<std::pair<rank_key, suspect const*>>{};
    ranked.reserve(suspects_.size());
    for (auto const& it : suspects_)
    {
        ranked.emplace_back(rank(it, now), &it.second);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    auto out = report{};
    for (auto const& [key, it] : ranked)
    {
        for (auto const& [crash, record] : it->crashes)
        {
            if (!too_old(record.at, now) &&
                out.accusations.size() < limits_.max_reported)
            {
                out.accusations.push_back(
                    {std::get<suspect_id>(key), crash, record.run, record.at});
            }
        }
    }
    auto cleared =
        std::vector<std::tuple<std::size_t, time_point, suspect_id>>{};
    for (auto const& [part, it] : acquittals_)
    {
        if (it.own && !too_old(*it.own, now))
        {
            cleared.emplace_back(it.crashes.size(), *it.own, part);
        }
    }
    std::sort(cleared.rbegin(), cleared.rend());
    cleared.resize(std::min(cleared.size(), limits_.max_reported_clearances));
    for (auto const& [crashes, at, part] : cleared)
    {
        out.clearances.push_back({part, at});
    }
    return out;
}

auto part_quarantine::take_new_accusations(time_point now)
    -> std::vector<accusation>
{
    auto out = std::vector<accusation>{};
    for (auto const& [part, crash] : std::exchange(new_accusations_, {}))
    {
        auto const held = suspects_.find(part);
        if (held == suspects_.end())
        {
            continue;
        }
        auto const it = held->second.crashes.find(crash);
        if (it != held->second.crashes.end() && !too_old(it->second.at, now))
        {
            out.push_back({part, crash, it->second.run, it->second.at});
        }
    }
    return out;
}

auto part_quarantine::take_new_clearances(time_point now)
    -> std::vector<clearance>
{
    auto out = std::vector<clearance>{};
    for (auto const& [part, accused_at] : std::exchange(new_clearances_, {}))
    {
        auto const it = acquittals_.find(part);
        if (it == acquittals_.end() || !it->second.own ||
            too_old(*it->second.own, now))
        {
            continue;
        }
        auto const& heard = it->second.heard;
        if (!heard || accused_at > *heard + limits_.proof_validity)
        {
            out.push_back({part, *it->second.own});
        }
    }
    return out;
}

auto part_quarantine::check(std::span<suspect_id const> parts, bool may_try,
                            time_point now) -> std::optional<verdict>
{
    auto reasons = std::vector<suspect_map::iterator>{};
    for (auto const part : parts)
    {
        auto const it = suspects_.find(part);
        if (it != suspects_.end() && quarantined(*it, now) &&
            !explained(*it, parts, now))
        {
            reasons.push_back(it);
        }
    }
    if (reasons.empty())
    {
        return std::nullopt;
    }
    if (may_try && std::all_of(reasons.begin(), reasons.end(),
                               [&](auto const& it)
                               {
                                   auto const due = next_trial(*it, now);
                                   return due && *due <= now;
                               }))
    {
        for (auto const& it : reasons)
        {
            it->second.tried_at = now;
        }
        return std::nullopt;
    }
    auto const longest =
        std::max_element(reasons.begin(), reasons.end(),
                         [&](auto const& a, auto const& b)
                         { return end(*a, now) < end(*b, now); });
    return make_verdict(**longest, now);
}

auto part_quarantine::may_retry(suspect_id request, time_point now) const
    -> bool
{
    auto const it = suspects_.find(request);
    return it == suspects_.end() ||
           summarise(it->second, now).crashes + 1 <
               limits_.of(kind_of(request)).crash_threshold;
}

auto part_quarantine::explains(crash_id crash, time_point now) const -> bool
{
    return std::any_of(suspects_.begin(), suspects_.end(),
                       [&](auto const& it) {
                           return it.second.crashes.contains(crash) &&
                                  quarantined(it, now);
                       });
}

auto part_quarantine::cause_of(crash_id crash, time_point now) const
    -> std::optional<suspect_id>
{
    auto out = std::optional<suspect_id>{};
    for (auto const& it : suspects_)
    {
        if (!it.second.crashes.contains(crash))
        {
            continue;
        }
        if (quarantined(it, now))
        {
            return it.first;
        }
        if (kind_of(it.first) == suspect_kind::request &&
            summarise(it.second, now).crashes > 1)
        {
            out = it.first;
        }
    }
    return out;
}

void part_quarantine::expire(time_point now)
{
    auto deleted = false;
    for (auto it = suspects_.begin(); it != suspects_.end();)
    {
        auto& crashes = it->second.crashes;
        deleted |= std::erase_if(crashes, [&](auto const& each)
                                 { return too_old(each.second.at, now); }) > 0;
        it = crashes.empty() ? suspects_.erase(it) : std::next(it);
    }
    changes_ += deleted ? 1 : 0;
    std::erase_if(acquittals_, [&](auto const& it)
                  { return too_old(it.second.used_at, now); });
}

auto part_quarantine::too_old(time_point at, time_point now) const -> bool
{
    return now - at >= limits_.evidence_lifetime;
}

auto part_quarantine::summarise(suspect const& it, time_point now) const
    -> summary
{
    auto out = summary{};
    auto const& crashes = it.crashes;
    for (auto each = crashes.begin(); each != crashes.end(); ++each)
    {
        auto const& record = each->second;
        if (too_old(record.at, now))
        {
            continue;
        }
        ++out.crashes;
        out.last = std::max(out.last, record.at);
        auto const same_run = [&](auto const& earlier)
        {
            return earlier.second.run == record.run &&
                   !too_old(earlier.second.at, now);
        };
        out.requests += std::none_of(crashes.begin(), each, same_run) ? 1 : 0;
    }
    return out;
}

auto part_quarantine::reached(suspect_id part, summary const& it) const -> bool
{
    auto const& rules = limits_.of(kind_of(part));
    return it.crashes >= rules.crash_threshold &&
           it.requests >= rules.request_threshold;
}

auto part_quarantine::quarantined(suspect_map::value_type const& it,
                                  time_point now) const -> bool
{
    return reached(it.first, summarise(it.second, now));
}

auto part_quarantine::rank(suspect_map::value_type const& it,
                           time_point now) const -> rank_key
{
    auto const all = summarise(it.second, now);
    return {reached(it.first, all), all.crashes, all.last, it.first};
}

auto part_quarantine::backoff(suspect_id part, summary const& it) const
    -> duration
{
    auto out = limits_.initial_backoff;
    for (auto n = limits_.of(kind_of(part)).crash_threshold;
         n < it.crashes && out < limits_.max_backoff; ++n)
    {
        out *= 2;
    }
    return std::min(out, limits_.max_backoff);
}

/// When this host may admit a request as a trial; empty if it never may.
auto part_quarantine::next_trial(suspect_map::value_type const& it,
                                 time_point now) const
    -> std::optional<time_point>
{
    auto const& [part, held] = it;
    auto const& rules = limits_.of(kind_of(part));
    auto const all = summarise(held, now);
    if (!rules.repeats_trials && (held.tried_at || held.exceeded))
    {
        return std::nullopt;
    }
    auto const span = backoff(part, all);
    auto const first = all.last + span;
    return held.tried_at ? std::max(first, *held.tried_at + span) : first;
}

/// The next trial, else the time at which so many crashes are forgotten that
/// the rest is below the threshold.
auto part_quarantine::end(suspect_map::value_type const& it,
                          time_point now) const -> time_point
{
    if (auto const trial = next_trial(it, now))
    {
        return *trial;
    }
    auto times = std::vector<time_point>{};
    for (auto const& [crash, record] : it.second.crashes)
    {
        times.push_back(record.at);
    }
    auto const threshold = limits_.of(kind_of(it.first)).crash_threshold;
    if (times.size() < threshold)
    {
        return now;
    }
    std::sort(times.rbegin(), times.rend());
    return times.at(threshold - 1) + limits_.evidence_lifetime;
}

/// Whether another quarantined suspect that the request lacks has all the
/// crashes. For a request it has to have more than these: it may have crashed
/// the targets itself. A part is told apart from another one by a request that
/// contains only one of them.
auto part_quarantine::explained(suspect_map::value_type const& it,
                                std::span<suspect_id const> request,
                                time_point now) const -> bool
{
    auto const& crashes = it.second.crashes;
    auto const least = summarise(it.second, now).crashes +
                       (kind_of(it.first) == suspect_kind::request ? 1 : 0);
    return std::any_of(
        suspects_.begin(), suspects_.end(),
        [&](auto const& other)
        {
            return other.first != it.first && !contains(request, other.first) &&
                   std::all_of(crashes.begin(), crashes.end(),
                               [&](auto const& crash)
                               {
                                   return too_old(crash.second.at, now) ||
                                          other.second.crashes.contains(
                                              crash.first);
                               }) &&
                   summarise(other.second, now).crashes >= least &&
                   quarantined(other, now);
        });
}

auto part_quarantine::make_verdict(suspect_map::value_type const& it,
                                   time_point now) const -> verdict
{
    auto const all = summarise(it.second, now);
    auto until = end(it, now);
    if (until <= now)
    {
        auto const span = backoff(it.first, all);
        until += span * ((now - until) / span + 1);
    }
    return {it.first, all.crashes, all.requests, until};
}

} // namespace primrosedeal::quarantine
