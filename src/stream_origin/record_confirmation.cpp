#include "stream_origin/record_confirmation.hpp"

#include <algorithm>

namespace primrosedeal::stream_origin
{

void record_confirmation::apply(external::store_era confirmed)
{
    confirmed_ = confirmed;
}

void record_confirmation::observe(record_view const& it, time_point now)
{
    if (it.era != view_.era)
    {
        era_since_ = now;
    }
    view_ = it;
    contact_since_ =
        it.contact ? std::optional{now - *it.contact} : std::nullopt;
}

auto record_confirmation::complete_in(external::store_era era) const -> bool
{
    return era == external::store_era{} || confirmed_ == era;
}

auto record_confirmation::settled_for(time_point now) const -> duration
{
    return contact_since_ ? now - std::max(era_since_, *contact_since_)
                          : duration{};
}

auto record_confirmation::next_write(time_point now)
    -> std::optional<external::store_era>
{
    auto const wait = std::min(
        confirmation_slot * static_cast<duration::rep>(view_.hosts_ahead),
        max_confirmation_wait);
    if (complete() || !view_.complete || !contact_since_ ||
        settled_for(now) < confirmation_delay + wait || now < next_write_at_)
    {
        return std::nullopt;
    }
    next_write_at_ = now + confirmation_retry;
    return view_.era;
}

auto record_confirmation::expected_wait(time_point now) const -> duration
{
    return complete()
               ? duration{}
               : std::max(confirmation_delay - settled_for(now), duration{});
}

} // namespace primrosedeal::stream_origin
