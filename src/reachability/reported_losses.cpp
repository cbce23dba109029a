#include "reachability/reported_losses.hpp"

namespace primrosedeal::reachability
{

void reported_losses::record(target_id const& id, host_id const& by,
                             time_point now)
{
    reports_[id][by] = now;
}

auto reported_losses::reporters(target_id const& id, time_point now) const
    -> std::vector<host_id>
{
    auto out = std::vector<host_id>{};
    auto const found = reports_.find(id);
    if (found == reports_.end())
    {
        return out;
    }
    for (auto const& [host, at] : found->second)
    {
        if (now - at < report_lifetime)
        {
            out.push_back(host);
        }
    }
    return out;
}

void reported_losses::expire(time_point now)
{
    for (auto& [id, hosts] : reports_)
    {
        std::erase_if(hosts, [now](auto const& it)
                      { return now - it.second >= report_lifetime; });
    }
    std::erase_if(reports_, [](auto const& it) { return it.second.empty(); });
}

} // namespace primrosedeal::reachability
