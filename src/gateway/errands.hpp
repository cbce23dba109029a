#pragma once

#include "http1/client.hpp"
#include "net/event_loop.hpp"

#include <cstdint>
#include <map>
#include <memory>

/// Calls whose answer nobody waits for, such as freeing a copy that expires by
/// itself otherwise.
namespace primrosedeal::gateway
{

class errands
{
public:
    /// Gives up after `patience` without a sign of the other end.
    void start(net::event_loop& loop, net::endpoint const& to,
               http1::request const& message, duration patience);

private:
    std::uint64_t next_ = 0;
    std::map<std::uint64_t, std::unique_ptr<http1::fetch>> calls_;
};

} // namespace primrosedeal::gateway
