#pragma once

#include "gateway/host_state.hpp"
#include "http1/memory_task.hpp"

#include <cstdint>
#include <map>
#include <string>

/// Counts what is done with clients for want of memory, and logs when that
/// begins and ends.
///
/// Load pattern: a flood of clients makes hundreds of decisions a second, which
/// are counted one by one and logged together.
namespace primrosedeal::gateway
{

class client_memory_log
{
public:
    explicit client_memory_log(host_state& host) : host_(host) {}

    void on_event(http1::memory_event const& it);

private:
    void on_calm();

    host_state& host_;
    /// Decisions by group and kind since the shortage began.
    std::map<std::string, std::uint64_t> counts_;
    time_point last_at_{};
    net::timer calm_;
};

} // namespace primrosedeal::gateway
