#include "gateway/link_monitor.hpp"

#include <algorithm>

namespace primrosedeal::gateway
{

auto to_string(traffic_class it) -> std::string_view
{
    switch (it)
    {
    case traffic_class::digests:
        return "digests";
    case traffic_class::feed:
        return "feed";
    case traffic_class::states:
        return "states";
    }
    return "unknown";
}

void link_monitor::record_delay(duration late)
{
    longest_delay_ = std::max(longest_delay_, late);
}

auto link_monitor::sample(traffic_totals const& totals, time_point now)
    -> std::optional<link_sample>
{
    if (since_ == time_point{})
    {
        since_ = now;
        last_ = totals;
        return std::nullopt;
    }
    if (now - since_ < link_sample_period)
    {
        return std::nullopt;
    }
    auto out = link_sample{};
    out.span = now - since_;
    out.loop_delay = longest_delay_;
    auto sum = traffic_bytes{};
    for (auto const it :
         {traffic_class::digests, traffic_class::feed, traffic_class::states})
    {
        auto& bytes = out.bytes.of(it);
        bytes.sent = totals.of(it).sent - last_.of(it).sent;
        bytes.received = totals.of(it).received - last_.of(it).received;
        sum.sent += bytes.sent;
        sum.received += bytes.received;
    }
    auto const most = static_cast<double>(std::max(sum.sent, sum.received));
    auto const reported = reported_link_fraction * link_ * to_seconds(out.span);
    out.link_busy = link_ > 0 && most > reported;
    out.loop_late = longest_delay_ >= reported_loop_delay;
    since_ = now;
    last_ = totals;
    longest_delay_ = {};
    auto const noteworthy = out.link_busy || out.loop_late;
    auto const before = reported_;
    reported_ = noteworthy;
    return noteworthy || before ? std::optional{out} : std::nullopt;
}

} // namespace primrosedeal::gateway
