#include "serve/caller.hpp"

#include "core/verdict.hpp"

namespace primrosedeal::serve
{

auto authenticate(net::server_request const& it,
                  configuration_view const& configuration) -> organisation_id
{
    constexpr auto scheme = std::string_view{"Bearer "};
    auto const header = net::find_header(it.headers, "Authorization");
    auto const* known = static_cast<organisation_id const*>(nullptr);
    if (header && header->starts_with(scheme))
    {
        auto const hash =
            configuration::hash_key(header->substr(scheme.size()));
        known = configuration.keys.find(hash);
    }
    if (known == nullptr)
    {
        refuse(reason::unauthenticated,
               "Authorization: a known bearer key was expected");
    }
    return *known;
}

} // namespace primrosedeal::serve
