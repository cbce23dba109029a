#include "model_order/model_state.hpp"

#include "core/overloaded.hpp"

#include <algorithm>

// One command at a time. First the role, because only targets with the serving
// role count as ready. Then models that are not desired are unloaded, to free
// their memory. The version comes before the adapters, because an adapter
// belongs to a version.

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

auto command_for(desired_model const& want, observed_state const& observed)
    -> std::optional<model_command>
{
    auto const* const have = find_loaded(observed, want.model);
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

auto model_of(model_command const& it) -> std::optional<model_id>
{
    return std::visit(
        overloaded{[](set_role const&) -> std::optional<model_id>
                   { return std::nullopt; },
                   [](auto const& command) -> std::optional<model_id>
                   {
                       return command.model;
                   }},
        it);
}

auto interrupts_serving(model_command const& it) -> bool
{
    return std::holds_alternative<set_version>(it) ||
           std::holds_alternative<load_adapter>(it) ||
           std::holds_alternative<unload_model>(it);
}

auto weights_for(model_command const& it) -> std::optional<load_model>
{
    using result = std::optional<load_model>;
    return std::visit(
        overloaded{[](load_model const& command) -> result { return command; },
                   [](set_version const& command) -> result {
                       return load_model{command.model, command.version};
                   },
                   [](load_adapter const& command) -> result {
                       return load_model{command.model, command.version};
                   },
                   [](auto const&) -> result
                   {
                       return std::nullopt;
                   }},
        it);
}

auto find_loaded(observed_state const& observed, model_id const& model)
    -> loaded_model const*
{
    auto const it =
        std::find_if(observed.models.begin(), observed.models.end(),
                     [&](auto const& each) { return each.model == model; });
    return it == observed.models.end() ? nullptr : &*it;
}

auto next_command(desired_state const& desired, service_id const& service,
                  observed_state const& observed)
    -> std::optional<model_command>
{
    if (observed.role != serving_role)
    {
        return set_role{std::string{serving_role}};
    }
    for (auto const& loaded : observed.models)
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
        if (auto command = command_for(want, observed))
        {
            return command;
        }
    }
    return std::nullopt;
}

} // namespace primrosedeal::model_order
