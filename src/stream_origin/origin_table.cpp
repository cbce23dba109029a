#include "stream_origin/origin_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace primrosedeal::stream_origin
{

auto to_stream_id(request_id const& it) -> stream_id
{
    return stream_id{XXH3_64bits(it.value().data(), it.value().size())};
}

void origin_table::record(stream_id id, origin const& to, time_point now)
{
    auto const known = origins_.find(id);
    auto const reported = known != origins_.end() && known->second.reported;
    put(id, {to, now, now, reported});
    own_.push_back(id);
    if (own_.size() > max_reported_origins)
    {
        own_.pop_front();
    }
}

void origin_table::merge(reported_origin const& it, time_point now)
{
    auto const known = origins_.find(it.stream);
    auto const newer = known == origins_.end() || known->second.at < it.at;
    if (newer && now - it.at <= origin_lifetime)
    {
        // A stream stays at its service, which hosts of earlier versions do not
        // report.
        auto const service = it.service || known == origins_.end()
                                 ? it.service
                                 : known->second.it.service;
        put(it.stream, {{service, it.version}, it.at, now, true});
    }
    else if (known != origins_.end())
    {
        known->second.reported = true;
        if (!known->second.it.service)
        {
            known->second.it.service = it.service;
        }
    }
}

void origin_table::put(stream_id id, known_origin it)
{
    order_.emplace_back(it.recorded_at, id);
    origins_.insert_or_assign(id, std::move(it));
    while (order_.size() > max_origins)
    {
        auto const [at, oldest] = order_.front();
        order_.pop_front();
        auto const found = origins_.find(oldest);
        if (found != origins_.end() && found->second.recorded_at == at)
        {
            origins_.erase(found);
        }
    }
}

auto origin_table::find(stream_id id) const -> std::optional<origin>
{
    auto const found = origins_.find(id);
    return found == origins_.end() ? std::nullopt
                                   : std::optional{found->second.it};
}

auto origin_table::may_be_known_elsewhere(stream_id id) const -> bool
{
    auto const found = origins_.find(id);
    return found == origins_.end() || found->second.reported;
}

auto origin_table::report(time_point now, duration lifetime)
    -> std::vector<reported_origin>
{
    auto out = std::vector<reported_origin>{};
    auto seen = std::set<stream_id>{};
    for (auto id = own_.rbegin(); id != own_.rend(); ++id)
    {
        auto const found = origins_.find(*id);
        if (found == origins_.end() || !seen.insert(*id).second)
        {
            continue;
        }
        auto& it = found->second;
        if (now - it.recorded_at > lifetime)
        {
            break;
        }
        it.reported = true;
        out.push_back(
            {*id, it.it.version, it.at, it.recorded_at, it.it.service});
    }
    return out;
}

auto origin_table::all() -> std::vector<reported_origin>
{
    auto out = std::vector<reported_origin>{};
    out.reserve(origins_.size());
    std::transform(origins_.begin(), origins_.end(), std::back_inserter(out),
                   [](auto const& each)
                   {
                       auto const& [id, it] = each;
                       return reported_origin{id, it.it.version, it.at,
                                              it.recorded_at, it.it.service};
                   });
    std::sort(out.begin(), out.end(),
              [](auto const& a, auto const& b) { return a.at > b.at; });
    out.resize(std::min(out.size(), max_known_origins));
    for (auto const& it : out)
    {
        origins_.at(it.stream).reported = true;
    }
    return out;
}

void origin_table::expire(time_point now)
{
    while (!order_.empty() && now - order_.front().first > origin_lifetime)
    {
        auto const [at, id] = order_.front();
        order_.pop_front();
        auto const found = origins_.find(id);
        if (found != origins_.end() && found->second.recorded_at == at)
        {
            origins_.erase(found);
        }
    }
}

} // namespace primrosedeal::stream_origin
