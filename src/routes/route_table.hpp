#pragma once

#include "core/random.hpp"
#include "routes/configuration.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

/// Look-ups in one accepted configuration. Immutable: a request keeps the
/// table that was in force when it arrived.
namespace primrosedeal::routes
{

class route_table
{
public:
    explicit route_table(configuration it);
    route_table(route_table const&) = delete;
    auto operator=(route_table const&) -> route_table& = delete;

    /// The route of `host` whose prefix is the longest that begins the path
    /// of `target`; null if there is none. `host` may carry a port.
    [[nodiscard]] auto match(std::string_view host,
                             std::string_view target) const -> route const*;

    /// Holder of `key`, or null.
    [[nodiscard]] auto holder_of(std::string_view key) const
        -> organisation const*;

    [[nodiscard]] auto find(service_id const& id) const -> service const*;

    /// Whether requests need a key at all.
    [[nodiscard]] auto asks_for_keys() const -> bool
    {
        return !it_.organisations.empty();
    }

    [[nodiscard]] auto version() const -> configuration_version
    {
        return it_.version;
    }

    [[nodiscard]] auto limits() const -> client_limits const&
    {
        return it_.limits;
    }

    [[nodiscard]] auto all() const -> configuration const&
    {
        return it_;
    }

private:
    using by_prefix = std::unordered_map<std::string, route const*>;

    configuration it_;
    std::unordered_map<std::string, by_prefix> by_host_;
    std::unordered_map<std::string, organisation const*> by_key_;
    std::unordered_map<std::string, service const*> by_service_;
};

/// Draws a service by the weights of `it`; null if it names none.
auto choose_service(route const& it, random_source& random)
    -> service_id const*;

} // namespace primrosedeal::routes
