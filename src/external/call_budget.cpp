#include "external/call_budget.hpp"

#include <algorithm>

// One bucket for all purposes, since the bill is one. Claims come from
// callers and may be many; what they leave untouched keeps leases alive and
// configuration moving during a rush of orders.
namespace primrosedeal::external
{

auto to_string(call_purpose it) -> std::string_view
{
    switch (it)
    {
    case call_purpose::configuration_read:
        return "configuration_read";
    case call_purpose::configuration_watch:
        return "configuration_watch";
    case call_purpose::configuration_write:
        return "configuration_write";
    case call_purpose::lease:
        return "lease";
    case call_purpose::claim:
        return "claim";
    case call_purpose::history_read:
        return "history_read";
    case call_purpose::large_value_read:
        return "large_value_read";
    case call_purpose::registration:
        return "registration";
    case call_purpose::version_write:
        return "version_write";
    case call_purpose::version_read:
        return "version_read";
    }
    return "unknown";
}

void call_budget::refill(time_point now)
{
    if (now <= refilled_)
    {
        return;
    }
    tokens_ = std::min(settings_.burst,
                       tokens_ + to_seconds(now - refilled_) * settings_.rate);
    refilled_ = now;
}

auto call_budget::allow(call_purpose purpose, time_point now) -> bool
{
    refill(now);
    auto& counters = counters_[static_cast<std::size_t>(purpose)];
    auto const reserved = purpose == call_purpose::claim
                              ? settings_.burst * settings_.reserved_part
                              : 0.0;
    if (tokens_ < 1.0 + reserved)
    {
        ++counters.over_budget;
        return false;
    }
    tokens_ -= 1.0;
    ++counters.made;
    return true;
}

} // namespace primrosedeal::external
