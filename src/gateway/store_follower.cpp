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

void store_follower::read_all()
{
    store_.range(external::call_purpose::configuration_read, everything(),
                 [this](external::answer<external::range_result> const& it)
                 { on_read(it); });
}

void store_follower::on_read(external::answer<external::range_result> const& it)
{
    if (auto const* const why = std::get_if<external::call_failure>(&it))
    {
        lost(why->text);
        again([this] { read_all(); });
        return;
    }
    auto const& read = std::get<external::range_result>(it);
    at_ = read.at;
    regained();
    events_.on_snapshot(read.values);
    open_watch();
}

void store_follower::open_watch()
{
    auto handlers = external::watch_handlers{};
    handlers.on_event = [this](external::watch_event const& it)
    {
        regained();
        if (it.value)
        {
            at_ = std::max(at_, it.value->modified);
        }
        events_.on_entry(it);
    };
    handlers.on_open = [this]
    {
        regained();
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
    if (why.fault == external::call_fault::refused)
    {
        // The history since the last event is gone.
        read_all();
        return;
    }
    lost(why.text);
    again([this] { open_watch(); });
}

void store_follower::again(std::function<void()> work)
{
    auto const pause =
        least_pause + external::full_jitter(retry_pause, failures_++, random_);
    retry_ = loop_.after(pause, std::move(work));
}

void store_follower::lost(std::string const& why)
{
    if (std::exchange(in_contact_, false) || failures_ == 0)
    {
        events_.on_lost(why);
    }
}

void store_follower::regained()
{
    failures_ = 0;
    if (!std::exchange(in_contact_, true))
    {
        events_.on_regained();
    }
}

} // namespace primrosedeal::gateway
