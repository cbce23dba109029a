#include "configuration/check.hpp"

#include <algorithm>
#include <set>

// Exceptions are compared in pairs of the same field. Where two scopes have
// work in common, one of three holds: they are equal (a contradiction), one
// contains the other (the narrower must say that it overrides), or they
// cross: then a third exception for exactly the intersection must decide, and
// live as long as the shorter-lived of the two. Costs a square of the
// exceptions per field, of which an operator keeps few.
namespace primrosedeal::configuration
{
namespace
{

template <class Id>
auto disjoint(std::optional<Id> const& a, std::optional<Id> const& b) -> bool
{
    return a && b && *a != *b;
}

auto disjoint(exception_scope const& a, exception_scope const& b) -> bool
{
    return disjoint(a.organisation, b.organisation) ||
           disjoint(a.service, b.service) || disjoint(a.domain, b.domain);
}

/// The work that both cover; only for scopes that are not disjoint.
auto intersection(exception_scope const& a, exception_scope const& b)
    -> exception_scope
{
    return {a.organisation ? a.organisation : b.organisation,
            a.service ? a.service : b.service, a.domain ? a.domain : b.domain};
}

auto outlives(exception_entry const& a, exception_entry const& b) -> bool
{
    return !a.expires || (b.expires && *a.expires >= *b.expires);
}

class checker
{
public:
    explicit checker(document const& it) : document_(it) {}

    auto run() -> std::vector<finding>
    {
        check_defaults();
        check_services();
        check_models();
        check_organisations();
        for (auto i = std::size_t{0}; i < document_.exceptions.size(); ++i)
        {
            check_exception(i);
        }
        return std::move(findings_);
    }

private:
    void add(section where, std::size_t index, std::string key,
             std::string text)
    {
        findings_.push_back({where, index, std::move(key), std::move(text)});
    }

    auto known(domain_id const& it) const -> bool
    {
        return std::ranges::find(document_.domains, it) !=
               document_.domains.end();
    }

    auto known(organisation_id const& it) const -> bool
    {
        return organisation_names_.contains(it);
    }

    void check_defaults()
    {
        if (std::set(document_.domains.begin(), document_.domains.end())
                .size() != document_.domains.size())
        {
            add(section::defaults, 0, "failure_domains",
                "each failure domain once");
        }
        auto const& generation = document_.defaults.generation;
        if (generation.silence_floor > generation.silence_ceiling)
        {
            add(section::defaults, 0, "generation.silence_floor",
                "at most generation.silence_ceiling");
        }
    }

    void check_services()
    {
        auto names = std::set<service_id>{};
        for (auto i = std::size_t{0}; i < document_.services.size(); ++i)
        {
            auto const& it = document_.services[i];
            if (!names.insert(it.name).second)
            {
                add(section::services, i, it.name.value(), "each name once");
            }
            if (it.kind == service_kind::engine && !it.order_paths.empty())
            {
                add(section::services, i, "orders",
                    "no order paths for a service of engines");
            }
        }
    }

    void check_models()
    {
        auto names = std::set<model_id>{};
        for (auto i = std::size_t{0}; i < document_.models.size(); ++i)
        {
            auto const& it = document_.models[i];
            if (!names.insert(it.name).second)
            {
                add(section::models, i, it.name.value(), "each name once");
            }
            auto const* served = find_service(document_, it.service);
            if (served == nullptr || served->kind != service_kind::engine)
            {
                add(section::models, i, "service",
                    "the name of a declared service of engines");
            }
            for (auto const& [domain, floor] : it.replica_floor)
            {
                if (!known(domain))
                {
                    add(section::models, i, "replica_floor." + domain.value(),
                        "a declared failure domain");
                }
            }
        }
    }

    void check_organisations()
    {
        auto hashes = std::set<key_hash>{};
        for (auto i = std::size_t{0}; i < document_.organisations.size(); ++i)
        {
            auto const& it = document_.organisations[i];
            if (!organisation_names_.insert(it.name).second)
            {
                add(section::organisations, i, it.name.value(),
                    "each name once");
            }
            for (auto const& hash : it.keys)
            {
                if (!hashes.insert(hash).second)
                {
                    add(section::organisations, i, "keys",
                        "a key of one organisation only");
                }
            }
        }
    }

    void check_exception(std::size_t i)
    {
        auto const& it = document_.exceptions[i];
        if (it.reason.find_first_not_of(" \t\n") == std::string::npos)
        {
            add(section::exceptions, i, "reason", "a written reason");
        }
        if (it.author.find_first_not_of(" \t\n") == std::string::npos)
        {
            add(section::exceptions, i, "author", "who asks for it");
        }
        check_scope(i);
        check_silence(i);
        for (auto j = std::size_t{0}; j < i; ++j)
        {
            if (document_.exceptions[j].field == it.field)
            {
                check_pair(i, j);
            }
        }
        check_overrides(i);
    }

    void check_scope(std::size_t i)
    {
        auto const& scope = document_.exceptions[i].scope;
        if (scope == exception_scope{})
        {
            add(section::exceptions, i, "scope",
                "a service, an organisation or a failure domain");
        }
        if (scope.service && find_service(document_, *scope.service) == nullptr)
        {
            add(section::exceptions, i, "scope.service", "a declared service");
        }
        if (scope.organisation && !known(*scope.organisation))
        {
            add(section::exceptions, i, "scope.organisation",
                "a declared organisation");
        }
        if (scope.domain && !known(*scope.domain))
        {
            add(section::exceptions, i, "scope.failure_domain",
                "a declared failure domain");
        }
    }

    /// Floor and ceiling of silence must fit where the exception applies.
    void check_silence(std::size_t i)
    {
        auto const& it = document_.exceptions[i];
        if (!it.field.starts_with("generation.silence_"))
        {
            return;
        }
        auto const merged =
            effective(document_, it.scope.service.value_or(service_id{}),
                      it.scope.organisation.value_or(organisation_id{}),
                      it.scope.domain.value_or(domain_id{}), wall_time{});
        if (merged.generation.silence_floor > merged.generation.silence_ceiling)
        {
            add(section::exceptions, i, "value",
                "a floor of silence that is at most its ceiling");
        }
    }

    void check_pair(std::size_t i, std::size_t j)
    {
        auto const& a = document_.exceptions[i];
        auto const& b = document_.exceptions[j];
        if (disjoint(a.scope, b.scope))
        {
            return;
        }
        if (a.scope == b.scope)
        {
            add(section::exceptions, i, "field",
                "one exception of " + a.field +
                    " per scope (contradicts exception " +
                    std::to_string(j + 1) + ")");
            return;
        }
        auto const common = intersection(a.scope, b.scope);
        if (common != a.scope && common != b.scope && a.value != b.value &&
            !decided(a, b, common))
        {
            add(section::exceptions, i, "scope",
                "a third exception of " + a.field +
                    " for the work that it has in common with exception " +
                    std::to_string(j + 1) + ", which it contradicts there");
        }
    }

    auto decided(exception_entry const& a, exception_entry const& b,
                 exception_scope const& common) const -> bool
    {
        auto const decides = [&](exception_entry const& it)
        {
            return it.field == a.field && it.scope == common &&
                   (outlives(it, a) || outlives(it, b));
        };
        return std::ranges::any_of(document_.exceptions, decides);
    }

    void check_overrides(std::size_t i)
    {
        auto const& it = document_.exceptions[i];
        auto const wider = [&](exception_entry const& other)
        {
            return other.field == it.field && other.scope != it.scope &&
                   !disjoint(other.scope, it.scope) &&
                   intersection(other.scope, it.scope) == it.scope;
        };
        auto const found = std::ranges::find_if(document_.exceptions, wider);
        auto const shadows = found != document_.exceptions.end();
        if (shadows && !it.overrides)
        {
            add(section::exceptions, i, "overrides",
                "true, since it shadows exception " +
                    std::to_string(found - document_.exceptions.begin() + 1) +
                    " for its scope");
        }
    }

    document const& document_;
    std::set<organisation_id> organisation_names_;
    std::vector<finding> findings_;
};

} // namespace

auto check(document const& it) -> std::vector<finding>
{
    return checker{it}.run();
}

} // namespace primrosedeal::configuration
