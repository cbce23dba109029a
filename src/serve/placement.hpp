#pragma once

#include "admission/admitter.hpp"
#include "core/random.hpp"
#include "metrics/metrics.hpp"
#include "retry/budget.hpp"
#include "retry/resume_budget.hpp"
#include "routing/router.hpp"
#include "serve/messages.hpp"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <variant>

/// Where work goes: the data plane's view of targets joined with the router
/// and the retry budget.
namespace primrosedeal::serve
{

/// Work to place, beside what the router is asked with.
struct placement_request
{
    service_id service;
    organisation_id organisation;
    routing::routing_request item;
    /// Set for every attempt after the first.
    std::optional<retry_reason> retry;
};

struct placed
{
    target_entry target;
    model_version version;
};

struct not_placed
{
    reason code = reason::no_target;
    std::optional<duration> retry_after;
};

class placement
{
public:
    placement(domain_id own_domain, std::uint64_t seed,
              metrics::process_metrics& counters);

    void set_targets(std::shared_ptr<target_view const> view);

    /// A request arrived; once for each, before `place`.
    void request(service_id const& service, organisation_id const& of);

    /// Chooses and counts a target. Each `placed` needs one `finished`.
    auto place(placement_request const& it, time_point now)
        -> std::variant<placed, not_placed>;

    void finished(target_id const& target, time_point now);

    void reported(target_id const& target, routing::load_report const& it);

    /// The budget that all kinds of calls share.
    auto budget() -> retry::budget&
    {
        return budget_;
    }

    /// How full the engines are, for admission. Costs a walk over them.
    [[nodiscard]] auto pressure(time_point now) const
        -> admission::target_backlog;

    /// Incarnation of a known target, for evidence about it.
    [[nodiscard]] auto find(target_id const& target) const
        -> target_entry const*;

private:
    auto choose(placement_request const& it, time_point now)
        -> routing::outcome;
    static auto is_resume(placement_request const& it) -> bool;
    auto may_retry(placement_request const& it) -> bool;

    domain_id own_domain_;
    random_source random_;
    metrics::process_metrics& counters_;
    routing::router router_;
    retry::budget budget_;
    retry::resume_budget resumes_;
    std::shared_ptr<target_view const> view_;
    /// What `view_` holds, as the router takes it.
    std::map<service_id, std::vector<routing::candidate>> candidates_;
};

/// The version of `item.model` that `target` would run.
auto version_at(routing::candidate const& target,
                routing::routing_request const& item) -> model_version;

} // namespace primrosedeal::serve
