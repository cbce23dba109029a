#include "gateway/store_follower.hpp"

#include "external/backoff.hpp"

#include <algorithm>

namespace primrosedeal::gateway
{

namespace
{

/// Between calls that fail: the store bills refused calls too, and a host
/// must notice its return well within the time for a change to be in force.
constexpr auto retry_pause =
    external::backoff_settings{.base = 200ms, .cap = 500ms};
constexpr auto least_pause = duration{100ms};
/// Added for each host of the domain that tries before this one, up to so
/// many: one of them is enough to feed the others.
constexpr auto turn_pause = duration{300ms};
constexpr auto most_turns = std::size_t{8};

/// Every key of the store.
auto everything() -> external::range_request
{
    auto out = external::range_request{};
    out.range_end = std::string(1, '\0');
    return out;
}

} // namespace

store_follower::store_follower(net::event_loop& loop,
                               external::key_value_service& store,
                               random_source& random, follower_events events)
    : loop_(loop), store_(store), random_(random), events_(std::move(events))
{
}

store_follower::~store_follower() = default;

void store_follower::start()
{
    read_all();
}

void store_follower::pause()
{
    paused_ = true;
    in_contact_ = false;
    retry_.cancel();
    ++reads_;
    // The watch may be the caller.
    loop_.post([held = std::shared_ptr<external::watch>{std::move(watch_)}] {});
}

void store_follower::resume()
{
    paused_ = false;
    if (!watch_ && !in_contact_)
    {
        ++reads_;
        retry_.cancel();
        ask();
    }
}

void store_follower::take(external::watch_event const& it)
{
    at_ = std::max(at_, it.at);
    events_.on_entry(it);
}

void store_follower::skip_to(external::store_revision at)
{
    at_ = std::max(at_, at);
    read_needed_ = false;
}

void store_follower::rewind_to(external::store_revision at)
{
    at_ = std::min(at_, at);
}

void store_follower::ask()
{
    if (read_needed_)
    {
        read_all();
    }
    else
    {
        open_watch();
    }
}

void store_follower::read_all()
{
    read_needed_ = true;
    store_.range(external::call_purpose::configuration_read, everything(),
                 [this, started = ++reads_](
                     external::answer<external::range_result> const& it)
                 {
                     if (started == reads_)
                     {
                         on_read(it);
                     }
                 });
}

void store_follower::on_read(external::answer<external::range_result> const& it)
{
    if (auto const* const why = std::get_if<external::call_failure>(&it))
    {
        lost(why->text);
        again();
        return;
    }
    auto const& read = std::get<external::range_result>(it);
    at_ = std::max(at_, read.at);
    read_needed_ = false;
    answered(net::event_loop::now());
    events_.on_snapshot(read.values);
    if (!paused_)
    {
        open_watch();
    }
}

void store_follower::open_watch()
{
    auto handlers = external::watch_handlers{};
    handlers.on_event = [this](external::watch_event const& it)
    {
        answered(net::event_loop::now());
        at_ = std::max(at_, it.at);
        events_.on_entry(it);
    };
    handlers.on_open = [this]
    {
        answered(net::event_loop::now());
    };
    handlers.on_end = [this](external::call_failure const& why)
    {
        on_watch_end(why);
    };
    watch_ = store_.watch_range(external::call_purpose::configuration_watch,
                                everything(), at_, std::move(handlers));
}

void store_follower::on_watch_end(external::call_failure const& why)
{
    auto const held = std::move(watch_);
    if (paused_)
    {
        return;
    }
    if (why.fault == external::call_fault::refused)
    {
        // The history since the last event is gone.
        read_all();
        return;
    }
    lost(why.text);
    again();
}

void store_follower::again()
{
    auto const turn = std::min<std::size_t>(hosts_before_, most_turns);
    auto const pause = least_pause +
                       turn_pause * static_cast<duration::rep>(turn) +
                       external::full_jitter(retry_pause, failures_++, random_);
    retry_ = loop_.after(pause, [this] { ask(); });
}

void store_follower::lost(std::string const& why)
{
    if (std::exchange(in_contact_, false) || failures_ == 0)
    {
        events_.on_lost(why);
    }
}

void store_follower::answered(time_point now)
{
    if (paused_)
    {
        return;
    }
    failures_ = 0;
    auto const before = std::exchange(last_answer_, now);
    if (!std::exchange(in_contact_, true))
    {
        in_contact_since_ = now;
        events_.on_regained(before);
    }
}

auto store_follower::contact_time(time_point now) const
    -> std::optional<duration>
{
    return in_contact_ ? std::optional{now - in_contact_since_} : std::nullopt;
}

} // namespace primrosedeal::gateway
