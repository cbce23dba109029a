#pragma once

#include "http1/client.hpp"
#include "net/event_loop.hpp"

#include <cstdint>
#include <map>
#include <memory>

/// Fire-and-forget HTTP calls, such as the release of a copy that would
/// otherwise expire by itself.
namespace primrosedeal::gateway
{

class background_calls
{
public:
    /// Cancels the call after `timeout` without progress at the other end.
    void start(net::event_loop& loop, net::endpoint const& to,
               http1::request const& message, duration timeout);

private:
    std::uint64_t next_ = 0;
    std::map<std::uint64_t, std::unique_ptr<http1::fetch>> calls_;
};

} // namespace primrosedeal::gateway
