#include "standins/free_ports.hpp"

#include "http1/server.hpp"

#include <memory>

namespace primrosedeal::standins
{

auto free_ports(net::event_loop& loop, std::string const& ip, std::size_t n)
    -> std::vector<std::uint16_t>
{
    auto out = std::vector<std::uint16_t>{};
    // All are held until the last is known, so that no two are the same.
    auto held = std::vector<std::unique_ptr<http1::server>>{};
    while (out.size() < n)
    {
        held.push_back(std::make_unique<http1::server>(
            loop, [](auto const&, auto const&) {}));
        out.push_back(held.back()->listen({ip, 0}));
    }
    return out;
}

} // namespace primrosedeal::standins
