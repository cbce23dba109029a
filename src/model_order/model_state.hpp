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

/// What engines should have loaded, what they have, and the orders that lead
/// from one to the other. All for one failure domain.
namespace primrosedeal::model_order
{

/// Number of a holder's term; a later holder's is larger.
using fencing_number = strong<struct fencing_number_tag, std::uint64_t>;

inline constexpr auto serving_role = std::string_view{"serving"};

struct desired_model
{
    model_id model;
    service_id service;
    model_version version;
    std::set<adapter_id> adapters;
    /// Replicas in this failure domain that must go on serving.
    std::uint32_t floor = 0;

    friend auto operator==(desired_model const&, desired_model const&)
        -> bool = default;
};

/// Every target of a service should serve all models of that service.
struct desired_state
{
    std::vector<desired_model> models;
    /// Services whose targets refuse an order with an old fencing number.
    std::set<service_id> checking_services;

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

/// What a target says about itself (`GET /state`). It does not say whether
/// loading is over; the answer to a repeated order does.
struct observed_state
{
    incarnation started;
    std::string role;
    std::vector<loaded_model> models;
    fencing_number highest;

    friend auto operator==(observed_state const&, observed_state const&)
        -> bool = default;
};

// Orders state the end that is wanted, so that one may be repeated.

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

using model_order =
    std::variant<load_model, unload_model, set_version, load_adapter, set_role>;

/// The model that an order is about; empty for a role.
auto model_of(model_order const& it) -> std::optional<model_id>;

/// Whether a replica that serves the model stops serving it for a while.
auto interrupts_serving(model_order const& it) -> bool;

/// What the target must fetch from the weight store for `it`, if anything.
auto weights_for(model_order const& it) -> std::optional<load_model>;

/// The next order that brings a target of `service` closer to `desired`;
/// empty if it is there. Adapters that are not declared stay loaded, since
/// the engines take no order to drop one.
auto next_order(desired_state const& desired, service_id const& service,
                observed_state const& seen) -> std::optional<model_order>;

/// The loaded form of `model` at the target, or null.
auto find_loaded(observed_state const& seen, model_id const& model)
    -> loaded_model const*;

} // namespace primrosedeal::model_order
