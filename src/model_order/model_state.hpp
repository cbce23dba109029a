#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Desired and observed models of the engines of one failure domain, and the
/// commands that lead from the observed state to the desired one.
namespace primrosedeal::model_order
{

/// Number of a lease holder's term. Each later term has a larger number.
using fencing_number = strong<struct fencing_number_tag, std::uint64_t>;

inline constexpr auto serving_role = std::string_view{"serving"};

struct desired_model
{
    model_id model;
    service_id service;
    model_version version;
    std::set<adapter_id> adapters;
    /// Minimum number of serving replicas in this failure domain.
    std::uint32_t replica_floor = 0;

    friend auto operator==(desired_model const&, desired_model const&)
        -> bool = default;
};

/// Every target of a service is to serve all models of that service.
struct desired_state
{
    std::vector<desired_model> models;
    /// Services whose targets reject a command with a stale fencing number.
    std::set<service_id> fencing_services;

    friend auto operator==(desired_state const&, desired_state const&)
        -> bool = default;
};

struct loaded_model
{
    model_id model;
    model_version version;
    std::set<adapter_id> adapters;

    friend auto operator==(loaded_model const&, loaded_model const&)
        -> bool = default;
};

/// The state that a target reports (`GET /state`). It does not tell whether
/// loading is complete; the response to a repeated command does.
struct observed_state
{
    incarnation started;
    std::string role;
    std::vector<loaded_model> models;
    fencing_number highest_fencing_number;

    friend auto operator==(observed_state const&, observed_state const&)
        -> bool = default;
};

// Commands state the desired end state, so they are idempotent.

struct load_model
{
    model_id model;
    model_version version;

    friend auto operator==(load_model const&, load_model const&)
        -> bool = default;
};

struct unload_model
{
    model_id model;

    friend auto operator==(unload_model const&, unload_model const&)
        -> bool = default;
};

struct set_version
{
    model_id model;
    model_version version;

    friend auto operator==(set_version const&, set_version const&)
        -> bool = default;
};

struct load_adapter
{
    model_id model;
    model_version version;
    adapter_id adapter;

    friend auto operator==(load_adapter const&, load_adapter const&)
        -> bool = default;
};

struct set_role
{
    std::string role;

    friend auto operator==(set_role const&, set_role const&) -> bool = default;
};

using model_command =
    std::variant<load_model, unload_model, set_version, load_adapter, set_role>;

/// The model that a command applies to; empty for `set_role`.
auto model_of(model_command const& it) -> std::optional<model_id>;

/// Whether a replica that serves the model is interrupted by the command.
auto interrupts_serving(model_command const& it) -> bool;

/// The weights that the target fetches from the weight store for `it`, if any.
auto weights_for(model_command const& it) -> std::optional<load_model>;

/// The next command that brings a target of `service` closer to `desired`;
/// empty if there is no difference. Adapters that are not in `desired` stay
/// loaded, because engines have no command to unload an adapter.
auto next_command(desired_state const& desired, service_id const& service,
                  observed_state const& observed)
    -> std::optional<model_command>;

/// The entry of `model` in `observed`, or null if it is not loaded.
auto find_loaded(observed_state const& observed, model_id const& model)
    -> loaded_model const*;

} // namespace primrosedeal::model_order
