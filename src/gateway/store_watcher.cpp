#include "gateway/store_watcher.hpp"

#include "external/backoff.hpp"
#include "log/log.hpp"

#include <algorithm>

namespace primrosedeal::gateway
{

namespace
{

/// Backoff after failed calls: the store bills refused calls too, but a host
/// must detect its return well within the time in which a change has to be in
/// force.
constexpr auto retry_backoff =
    external::backoff_settings{.base = 200ms, .cap = 500ms};
constexpr auto min_retry_delay = duration{100ms};
/// Delay added per host of the domain that retries before this one, up to
/// `max_retry_rank` hosts: one host in contact is enough to feed the others.
constexpr auto retry_delay_per_rank = duration{300ms};
constexpr auto max_retry_rank = std::size_t{8};
/// Watches that are cut within this time of each other are opened again ever
/// later, as after failed calls.
constexpr auto cuts_in_row = duration{5s};

/// Every key of the store.
auto all_keys() -> external::range_request
{
    auto out = external::range_request{};
    out.range_end = std::string(1, '\0');
    return out;
}

} // namespace

store_watcher::store_watcher(net::event_loop& loop,
                             external::key_value_service& store,
                             random_source& random, store_watcher_events events)
    : loop_(loop), store_(store), random_(random), events_(std::move(events))
{
}

store_watcher::~store_watcher() = default;

void store_watcher::start()
{
    read_all(external::call_purpose::configuration_read);
}

void store_watcher::pause()
{
    paused_ = true;
    in_contact_ = false;
    retry_.cancel();
    end_watch();
}

void store_watcher::end_watch()
{
    ++generation_;
    // This may run inside a callback of the watch, so destroy it later.
    loop_.post([held = std::shared_ptr<external::watch>{std::move(watch_)}] {});
}

void store_watcher::resume(duration delay)
{
    paused_ = false;
    if (!watch_ && !in_contact_)
    {
        ++generation_;
        retry_.cancel();
        if (delay > 0s)
        {
            retry_ = loop_.after(delay, [this] { reconnect(); });
            return;
        }
        reconnect();
    }
}

void store_watcher::apply_event(external::watch_event const& it)
{
    // Older values of entries that a peer's copy replaced may still be on their
    // way.
    if (it.at <= replaced_as_of_)
    {
        return;
    }
    delivered_revision_ = std::max(delivered_revision_, it.at);
    events_.on_entry(it);
}

void store_watcher::advance_to(external::store_revision at)
{
    delivered_revision_ = std::max(delivered_revision_, at);
    replaced_as_of_ = at;
    read_needed_ = false;
}

void store_watcher::rewind_to(external::store_revision at)
{
    delivered_revision_ = std::min(delivered_revision_, at);
    replaced_as_of_ = std::min(replaced_as_of_, at);
}

void store_watcher::reconnect()
{
    if (read_needed_)
    {
        read_all(external::call_purpose::configuration_read);
    }
    else
    {
        open_watch();
    }
}

void store_watcher::read_all(external::call_purpose purpose)
{
    read_needed_ = true;
    auto request = all_keys();
    request.may_be_old = purpose == external::call_purpose::configuration_read;
    store_.range(
        purpose, request,
        [this, generation = ++generation_, purpose, held = delivered_revision_](
            external::answer<external::range_result> const& it)
        {
            if (generation == generation_)
            {
                on_read(it, purpose, held);
            }
        });
}

void store_watcher::on_read(external::answer<external::range_result> const& it,
                            external::call_purpose purpose,
                            external::store_revision held)
{
    if (auto const* const why = std::get_if<external::call_failure>(&it))
    {
        on_call_failed(why->text);
        schedule_retry();
        return;
    }
    auto const& read = std::get<external::range_result>(it);
    // A peer may have provided newer entries since the read began. The watch
    // does not deliver the changes between the two again.
    auto outdated = read.at < delivered_revision_;
    // A read that may be old can be labelled with a later era than its entries
    // have. A read of the newest ones is not behind it otherwise.
    auto const went_back = outdated &&
                           purpose == external::call_purpose::history_read &&
                           read.at < held && read.at.era() == held.era();
    auto const restored =
        went_back || (delivered_revision_ != external::store_revision{} &&
                      read.at.era() > delivered_revision_.era());
    if (restored)
    {
        log::write(log::level::warning, "store_restored",
                   {{"revision", to_string(read.at)},
                    {"held", to_string(delivered_revision_)}});
        outdated = false;
        delivered_revision_ = read.at;
        replaced_as_of_ = std::min(replaced_as_of_, read.at);
        events_.on_restored();
    }
    delivered_revision_ = std::max(delivered_revision_, read.at);
    read_needed_ = false;
    on_call_answered(net::event_loop::now());
    if (!outdated)
    {
        events_.on_snapshot(read.values);
    }
    if (!paused_)
    {
        open_watch();
    }
}

void store_watcher::open_watch()
{
    auto handlers = external::watch_handlers{};
    // An ended watch is destroyed later and may still report.
    auto const generation = ++generation_;
    handlers.on_event = [this, generation](external::watch_event const& it)
    {
        if (generation == generation_)
        {
            on_call_answered(net::event_loop::now());
            apply_event(it);
        }
    };
    handlers.on_open = [this, generation]
    {
        if (generation != generation_)
        {
            return;
        }
        on_call_answered(net::event_loop::now());
        if (pause_between_ > 0s && generation == generation_)
        {
            end_watch();
            retry_ = loop_.after(pause_between_, [this] { reconnect(); });
        }
    };
    handlers.on_end = [this, generation](external::call_failure const& why)
    {
        if (generation == generation_)
        {
            on_watch_end(why);
        }
    };
    watch_ = store_.watch_range(external::call_purpose::configuration_watch,
                                all_keys(), delivered_revision_,
                                std::move(handlers));
}

void store_watcher::on_watch_end(external::call_failure const& why)
{
    auto const held = std::move(watch_);
    if (why.fault == external::call_fault::refused)
    {
        // The store has no history since the last event.
        read_all(external::call_purpose::history_read);
        return;
    }
    if (why.fault == external::call_fault::interrupted && in_contact_)
    {
        auto const now = net::event_loop::now();
        cuts_ =
            now - std::exchange(last_cut_, now) < cuts_in_row ? cuts_ + 1 : 0;
        log::write(log::level::info, "watch_cut",
                   {{"revision", to_string(delivered_revision_)}});
        // The store answers the first call of a watch at once.
        retry_ =
            loop_.after(external::full_jitter(retry_backoff, cuts_, random_),
                        [this] { reconnect(); });
        return;
    }
    on_call_failed(why.text);
    schedule_retry();
}

void store_watcher::schedule_retry()
{
    auto const rank = std::min<std::size_t>(hosts_ahead_, max_retry_rank);
    auto const delay =
        min_retry_delay +
        retry_delay_per_rank * static_cast<duration::rep>(rank) +
        external::full_jitter(retry_backoff, failures_++, random_);
    retry_ = loop_.after(delay, [this] { reconnect(); });
}

void store_watcher::on_call_failed(std::string const& why)
{
    if (std::exchange(in_contact_, false) || failures_ == 0)
    {
        events_.on_lost(why);
    }
}

void store_watcher::on_call_answered(time_point now)
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

auto store_watcher::contact_duration(time_point now) const
    -> std::optional<duration>
{
    return in_contact_ ? std::optional{now - in_contact_since_} : std::nullopt;
}

} // namespace primrosedeal::gateway
