#include "declare/in_force.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace primrosedeal::declare
{
namespace
{

auto join(std::vector<host_id> const& hosts) -> std::string
{
    auto text = std::string{};
    for (auto const& it : hosts)
    {
        text += (text.empty() ? "" : " ") + it.value();
    }
    return text;
}

auto names(std::vector<host_id> const& hosts) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (auto const& it : hosts)
    {
        list.push_back(it.value());
    }
    return list;
}

} // namespace

auto report_force(revision number, std::vector<host_status> const& hosts)
    -> force_report
{
    auto report = force_report{number, {}};
    for (auto const& it : hosts)
    {
        auto& domain = report.domains[it.domain];
        auto& list = !it.reachable         ? domain.cut_off
                     : it.number >= number ? domain.in_force
                                           : domain.behind;
        list.push_back(it.host);
    }
    return report;
}

auto everywhere(force_report const& it) -> bool
{
    return on_all_reachable(it) &&
           std::ranges::all_of(it.domains, [](auto const& domain)
                               { return domain.second.cut_off.empty(); });
}

auto on_all_reachable(force_report const& it) -> bool
{
    auto const none_behind =
        std::ranges::all_of(it.domains, [](auto const& domain)
                            { return domain.second.behind.empty(); });
    auto const some_in_force =
        std::ranges::any_of(it.domains, [](auto const& domain)
                            { return !domain.second.in_force.empty(); });
    return none_behind && some_in_force;
}

auto to_text(force_report const& it) -> std::string
{
    auto text = std::string{};
    for (auto const& [name, domain] : it.domains)
    {
        auto const all = domain.in_force.size() + domain.behind.size() +
                         domain.cut_off.size();
        text += name.value() + ": revision " +
                std::to_string(it.number.value()) + " in force on " +
                std::to_string(domain.in_force.size()) + " of " +
                std::to_string(all) + " hosts";
        if (!domain.behind.empty())
        {
            text += "; not yet on " + join(domain.behind);
        }
        if (!domain.cut_off.empty())
        {
            text += "; cut off, not known: " + join(domain.cut_off);
        }
        text += "\n";
    }
    return text;
}

auto to_json(force_report const& it) -> std::string
{
    auto domains = nlohmann::json::object();
    for (auto const& [name, domain] : it.domains)
    {
        domains[name.value()] = {{"in_force", names(domain.in_force)},
                                 {"behind", names(domain.behind)},
                                 {"cut_off", names(domain.cut_off)}};
    }
    return nlohmann::json{{"revision", it.number.value()},
                          {"domains", std::move(domains)}}
        .dump();
}

} // namespace primrosedeal::declare
