#include "memory/budget.hpp"

#include <algorithm>

namespace primrosedeal::memory
{

namespace
{

/// What the process needs itself: its program, the entries of the store, and
/// the state of hosts and targets. It starts with 10 MB.
constexpr auto own_need = std::size_t{40} << 20U;
/// Largest answer of a target; one has to fit in any case.
constexpr auto largest_answer = std::size_t{8} << 20U;

} // namespace

auto make_budget(std::size_t limit) -> budget
{
    auto const whole = limit == 0 ? default_memory_limit : limit;
    // A quarter stays free for fragments of the heap, buffers of the kernel
    // that are not counted, and what is about to be freed.
    auto const all = (whole - std::min(own_need, whole / 2)) / 4 * 3;
    auto out = budget{};
    out.bodies = all / 8 * 5;
    out.small_requests = all / 8;
    // Hosts with much memory need no more than a process without a limit.
    out.unsent = std::min(out.unsent, all / 8);
    out.collected = std::clamp(all / 8, largest_answer, out.collected);
    out.tunnels = all / 16;
    out.received = all / 16;
    return out;
}

auto share_of(std::size_t total, std::size_t connections, std::size_t least,
              std::size_t most) -> std::size_t
{
    return std::clamp(total / std::max(connections, assumed_connections), least,
                      most);
}

} // namespace primrosedeal::memory
