#pragma once

#include "core/random.hpp"
#include "routes/configuration.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

/// Indexes one accepted configuration. Immutable: a request uses the table that
/// was in force when it arrived.
namespace primrosedeal::routes
{

class route_table
{
public:
    explicit route_table(configuration it);
    route_table(route_table const&) = delete;
    auto operator=(route_table const&) -> route_table& = delete;

    /// Route of `host` with the longest prefix that matches the path of
    /// `request_target`; null if there is none. `host` may include a port.
    [[nodiscard]] auto match(std::string_view host,
                             std::string_view request_target) const
        -> route const*;

    /// Organisation that `key` belongs to, or null.
    [[nodiscard]] auto find_organisation(std::string_view key) const
        -> organisation const*;

    [[nodiscard]] auto find(service_id const& id) const -> service const*;

    /// Whether routes that are not anonymous require a key.
    [[nodiscard]] auto requires_keys() const -> bool
    {
        return !configuration_.organisations.empty();
    }

    [[nodiscard]] auto version() const -> configuration_version
    {
        return configuration_.version;
    }

    [[nodiscard]] auto limits() const -> client_limits const&
    {
        return configuration_.limits;
    }

    [[nodiscard]] auto all() const -> configuration const&
    {
        return configuration_;
    }

private:
    using by_prefix = std::unordered_map<std::string, route const*>;

    configuration configuration_;
    std::unordered_map<std::string, by_prefix> by_host_;
    std::unordered_map<std::string, organisation const*> by_key_;
    std::unordered_map<std::string, service const*> by_service_;
};

/// Whether requests on `it` may run at `service`.
auto allows(route const& it, service_id const& service) -> bool;

/// Chooses a service of `it` at random, in proportion to the weights; null if
/// the route has none.
auto choose_service(route const& it, random_source& random)
    -> service_id const*;

} // namespace primrosedeal::routes
