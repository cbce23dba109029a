#include "fleet/send_pacing.hpp"

#include "fleet/digest.hpp"

#include <algorithm>
#include <cmath>

namespace primrosedeal::fleet
{

namespace
{

/// A digest without loads fits.
constexpr auto min_paced_digest = std::size_t{256};

/// Bytes a second of the slower link that digests may take; zero: no bound.
auto permitted(link_pair const& it) -> double
{
    auto const slower = it.sender <= 0     ? it.receiver
                        : it.receiver <= 0 ? it.sender
                                           : std::min(it.sender, it.receiver);
    return digest_link_fraction * std::max(slower, 0.0);
}

} // namespace

auto digest_interval(std::size_t bytes, std::size_t receivers,
                     link_pair const& links) -> duration
{
    auto const rate = permitted(links);
    if (rate <= 0)
    {
        return min_digest_period;
    }
    auto const round =
        static_cast<double>((bytes + datagram_overhead_bytes) * receivers);
    auto const seconds = std::min(round / rate, to_seconds(max_digest_period));
    return std::max(min_digest_period, duration{static_cast<duration::rep>(
                                           std::ceil(seconds * 1e6))});
}

auto max_paced_digest(std::size_t receivers, link_pair const& links)
    -> std::size_t
{
    auto const rate = permitted(links);
    if (rate <= 0 || receivers == 0)
    {
        return max_digest_bytes;
    }
    auto const each =
        rate * to_seconds(max_digest_period) / static_cast<double>(receivers);
    auto const room = static_cast<std::size_t>(each);
    return std::clamp(room - std::min(room, datagram_overhead_bytes),
                      min_paced_digest, max_digest_bytes);
}

void link_budget::refill(time_point now)
{
    auto const span = std::min(now - refilled_at_, saving_);
    bytes_ = std::min(bytes_ + rate_ * to_seconds(span),
                      rate_ * to_seconds(saving_));
    refilled_at_ = now;
}

void link_budget::spend(std::size_t bytes, std::size_t datagrams)
{
    bytes_ -=
        static_cast<double>((bytes + datagram_overhead_bytes) * datagrams);
}

} // namespace primrosedeal::fleet
