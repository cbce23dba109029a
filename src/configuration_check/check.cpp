#include "configuration_check/check.hpp"

#include "routes/route_table.hpp"

#include <numeric>
#include <unordered_map>
#include <unordered_set>
#include <utility>

// Which of two routes is used is asked of the index that hosts use, so that the
// check cannot differ from it.
namespace primrosedeal::configuration_check
{

namespace
{

auto in_ms(duration it) -> std::string
{
    constexpr auto ms_per_s = 1000.0;
    auto const ms = static_cast<std::int64_t>(to_seconds(it) * ms_per_s);
    return std::to_string(ms) + " ms";
}

class checker
{
public:
    explicit checker(document const& it)
        : document_(it), table_(it.configuration)
    {
        for (auto const& each : it.configuration.services)
        {
            services_.insert(each.id.value());
        }
    }

    auto run() -> std::vector<finding>
    {
        auto const& all = document_.configuration;
        for (auto i = std::size_t{0}; i < all.routes.size(); ++i)
        {
            check_match(i);
            check_times(i);
            check_split(i);
            check_priority({section::routes, i, member::priority},
                           all.routes[i].priority);
            check_attempts(i);
        }
        check_services();
        check_organisations();
        check_limits();
        return std::move(findings_);
    }

private:
    void add(place at, std::string text, std::optional<place> because = {})
    {
        findings_.push_back({at, std::move(text), because});
    }

    void check_match(std::size_t i)
    {
        auto const& route = document_.configuration.routes[i];
        auto const& prefix = route.path_prefix;
        auto const at = place{section::routes, i, member::path_prefix};
        if (!prefix.starts_with('/') || !prefix.ends_with('/') ||
            prefix.find_first_of("?#") != std::string::npos)
        {
            add(at, "no path matches: a prefix begins and ends with a slash "
                    "and has no query");
            return;
        }
        auto const* const found = table_.match(route.host, prefix);
        auto const* const first = table_.all().routes.data();
        if (found != first + i)
        {
            auto const other = static_cast<std::size_t>(found - first);
            add({section::routes, i},
                "never matches: another route has its "
                "host and prefix",
                place{section::routes, other});
        }
    }

    void check_times(std::size_t i)
    {
        auto const& route = document_.configuration.routes[i];
        auto const limit = " is above the timeout of " + in_ms(route.timeout);
        if (route.objective > route.timeout)
        {
            add({section::routes, i, member::objective},
                "the objective of " + in_ms(route.objective) + limit);
        }
        if (route.gap_objective > route.timeout)
        {
            add({section::routes, i, member::gap_objective},
                "the objective for pauses of " + in_ms(route.gap_objective) +
                    limit);
        }
    }

    void check_split(std::size_t i)
    {
        auto const& split = document_.configuration.routes[i].split;
        auto const at = place{section::routes, i, member::split};
        for (auto const& share : split)
        {
            used_.insert(share.service.value());
            if (!services_.contains(share.service.value()))
            {
                add(at, "no service has this name: " + share.service.value());
            }
            if (share.weight == 0)
            {
                add(at, "the service has weight 0: " + share.service.value());
            }
        }
    }

    void check_priority(place at, int priority)
    {
        if (priority < 0 || priority > max_priority)
        {
            add(at, "the priority " + std::to_string(priority) +
                        " is not from 0 to " + std::to_string(max_priority));
        }
    }

    void check_attempts(std::size_t i)
    {
        auto const& stated = document_.stated_attempts;
        if (i < stated.size() && stated[i] && *stated[i] < 1)
        {
            add({section::routes, i, member::max_attempts},
                "a request needs an attempt; hosts take this for 1");
        }
    }

    void check_services()
    {
        auto const& all = document_.configuration.services;
        auto seen = std::unordered_map<std::string, std::size_t>{};
        for (auto i = std::size_t{0}; i < all.size(); ++i)
        {
            auto const& name = all[i].id.value();
            if (!used_.contains(name))
            {
                add({section::services, i}, "no route uses it: " + name);
            }
            auto const [other, is_new] = seen.emplace(name, i);
            if (!is_new)
            {
                add({section::services, i}, "listed twice: " + name,
                    place{section::services, other->second});
            }
        }
    }

    void check_organisations()
    {
        auto const& all = document_.configuration.organisations;
        auto holders = std::unordered_map<std::string, std::size_t>{};
        for (auto i = std::size_t{0}; i < all.size(); ++i)
        {
            auto const at = place{section::organisations, i, member::keys};
            if (all[i].keys.empty())
            {
                add(at, "the organisation has no keys: " + all[i].id.value());
            }
            for (auto const& key : all[i].keys)
            {
                auto const [other, is_new] = holders.emplace(key, i);
                if (!is_new)
                {
                    add(at,
                        other->second == i
                            ? "a key is listed twice by " + all[i].id.value()
                            : "a key of " + all[i].id.value() +
                                  " is also one of " +
                                  all[other->second].id.value(),
                        place{section::organisations, other->second,
                              member::keys});
                }
            }
            if (all[i].priority)
            {
                check_priority({section::organisations, i, member::priority},
                               *all[i].priority);
            }
        }
    }

    void check_limits()
    {
        auto const& it = document_.configuration.limits;
        auto const at = [](member of)
        {
            return place{section::limits, 0, of};
        };
        auto const bytes = [](std::size_t n)
        {
            return std::to_string(n) + " bytes";
        };
        if (it.head_bytes == 0 || it.head_bytes > max_head_bytes)
        {
            add(at(member::head_bytes), bytes(it.head_bytes) +
                                            " for a head are not from 1 to " +
                                            bytes(max_head_bytes));
        }
        if (it.body_bytes > max_body_bytes)
        {
            add(at(member::body_bytes), bytes(it.body_bytes) +
                                            " for a body are above " +
                                            bytes(max_body_bytes));
        }
        if (it.body_bytes < it.head_bytes)
        {
            add(at(member::body_bytes),
                bytes(it.body_bytes) + " for a body are below the " +
                    bytes(it.head_bytes) + " for a head",
                at(member::head_bytes));
        }
        if (it.head_timeout > it.idle_timeout)
        {
            add(at(member::head_timeout),
                in_ms(it.head_timeout) + " for a head are above the " +
                    in_ms(it.idle_timeout) + " for an idle connection",
                at(member::idle_timeout));
        }
    }

    document const& document_;
    routes::route_table table_;
    std::unordered_set<std::string> services_;
    std::unordered_set<std::string> used_;
    std::vector<finding> findings_;
};

} // namespace

auto check(document const& it) -> std::vector<finding>
{
    return checker{it}.run();
}

} // namespace primrosedeal::configuration_check
