#include "model_order/model_state.hpp"

#include "core/overloaded.hpp"

#include <algorithm>

// One order at a time: role first, so that a target counts; then what is not
// declared goes, to free its memory; then version before adapters, because an
// adapter belongs to a version.

namespace primrosedeal::model_order
{
namespace
{

auto find_desired(desired_state const& desired, service_id const& service,
                  model_id const& model) -> desired_model const*
{
    auto const it =
        std::find_if(desired.models.begin(), desired.models.end(),
                     [&](auto const& each) {
                         return each.service == service && each.model == model;
                     });
    return it == desired.models.end() ? nullptr : &*it;
}

auto order_for(desired_model const& want, observed_state const& seen)
    -> std::optional<model_order>
{
    auto const* const have = find_loaded(seen, want.model);
    if (have == nullptr)
    {
        return load_model{want.model, want.version};
    }
    if (have->version != want.version)
    {
        return set_version{want.model, want.version};
    }
    for (auto const& adapter : want.adapters)
    {
        if (!have->adapters.contains(adapter))
        {
            return load_adapter{want.model, want.version, adapter};
        }
    }
    return std::nullopt;
}

} // namespace

auto model_of(model_order const& it) -> std::optional<model_id>
{
    return std::visit(
        overloaded{[](set_role const&) -> std::optional<model_id>
                   { return std::nullopt; },
                   [](auto const& order) -> std::optional<model_id>
                   {
                       return order.model;
                   }},
        it);
}

auto interrupts_serving(model_order const& it) -> bool
{
    return std::holds_alternative<set_version>(it) ||
           std::holds_alternative<load_adapter>(it) ||
           std::holds_alternative<unload_model>(it);
}

auto weights_for(model_order const& it) -> std::optional<load_model>
{
    using result = std::optional<load_model>;
    return std::visit(
        overloaded{[](load_model const& order) -> result { return order; },
                   [](set_version const& order) -> result {
                       return load_model{order.model, order.version};
                   },
                   [](load_adapter const& order) -> result {
                       return load_model{order.model, order.version};
                   },
                   [](auto const&) -> result
                   {
                       return std::nullopt;
                   }},
        it);
}

auto find_loaded(observed_state const& seen, model_id const& model)
    -> loaded_model const*
{
    auto const it =
        std::find_if(seen.models.begin(), seen.models.end(),
                     [&](auto const& each) { return each.model == model; });
    return it == seen.models.end() ? nullptr : &*it;
}

auto next_order(desired_state const& desired, service_id const& service,
                observed_state const& seen) -> std::optional<model_order>
{
    if (seen.role != serving_role)
    {
        return set_role{std::string{serving_role}};
    }
    for (auto const& loaded : seen.models)
    {
        if (find_desired(desired, service, loaded.model) == nullptr)
        {
            return unload_model{loaded.model};
        }
    }
    for (auto const& want : desired.models)
    {
        if (want.service != service)
        {
            continue;
        }
        if (auto order = order_for(want, seen))
        {
            return order;
        }
    }
    return std::nullopt;
}

} // namespace primrosedeal::model_order
