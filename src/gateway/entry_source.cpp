#include "gateway/entry_source.hpp"

#include "log/log.hpp"

#include <algorithm>
#include <utility>

// Switching from this host's own watch to a feed loses no change: the feed's
// first message contains the revision after which it starts, the watch
// continues until this host has reached that revision, and changes from the
// feed are buffered until then. Switching back starts a watch at the last
// revision delivered.
namespace primrosedeal::gateway
{

namespace
{

/// Delay before a failed read of a large value is retried.
constexpr auto large_retry_delay = duration{1s};

auto next(external::store_revision at) -> external::store_revision
{
    return external::store_revision{at.value() + 1, at.era()};
}

} // namespace

auto redelivery::needs(external::watch_event const& it) const -> bool
{
    auto const found = missing.find(it.key);
    return until < it.at || (found != missing.end() && found->second <= it.at);
}

void redelivery::delivered(std::string const& key, external::store_revision at)
{
    auto const found = missing.find(key);
    if (found != missing.end())
    {
        found->second = std::max(found->second, next(at));
    }
}

entry_source::entry_source(net::event_loop& loop,
                           external::key_value_service& store,
                           random_source& random, peer_exchange& peers,
                           fleet::fleet_view const& other_hosts,
                           host_settings const& own,
                           store_watcher_events events)
    : loop_(loop), store_(store), peers_(peers), other_hosts_(other_hosts),
      self_(own.host), domain_(own.domain), events_(std::move(events)),
      watcher_(loop, store, random, make_watcher_events())
{
    peers_.set_greeting(
        [this]
        {
            flush();
            return make_message();
        });
}

entry_source::~entry_source() = default;

void entry_source::start(time_point now)
{
    started_at_ = now;
    watcher_.start();
}

auto entry_source::make_watcher_events() -> store_watcher_events
{
    auto out = store_watcher_events{};
    out.on_restored = [this]
    {
        events_.on_restored();
    };
    out.on_snapshot = [this](std::vector<external::stored_value> const& it)
    {
        redelivery_ = {};
        events_.on_snapshot(it);
        // A snapshot has no history, so followers would miss changes.
        peers_.drop_followers();
        schedule_feed_switch();
        set_pace(net::event_loop::now());
    };
    out.on_entry = [this](external::watch_event const& it)
    {
        if (redelivery_.needs(it))
        {
            redelivery_.delivered(it.key, it.at);
            events_.on_entry(it);
        }
        publish(it);
        schedule_feed_switch();
    };
    out.on_lost = [this](std::string const& why)
    {
        contact_lost(why);
    };
    out.on_regained = [this](time_point last_answer)
    {
        contact_regained(last_answer);
        set_pace(net::event_loop::now());
    };
    return out;
}

void entry_source::tick(time_point now)
{
    if (feed_ && now - feed_->last_message_at > fleet::feed_timeout)
    {
        stop_following("silent", now);
    }
    std::erase_if(excluded_hosts_,
                  [&](auto const& it) { return it.second <= now; });
    auto const peers = domain_peers();
    auto const choice = fleet::choose_source(view_of(peers, now));
    if (auto const* const to = std::get_if<fleet::follow_peer>(&choice))
    {
        if (!feed_ || feed_->id != to->id)
        {
            follow(to->id, now);
        }
    }
    // The messages of a feed in use report when its host loses the store.
    set_pace(now);
    if (peers_.followers() > 0)
    {
        peers_.publish(make_message());
    }
}

auto entry_source::domain_peers() const -> std::vector<fleet::domain_peer>
{
    auto out = other_hosts_.peers_in(domain_);
    for (auto& it : out)
    {
        it.feed_failed = excluded_hosts_.contains(it.id);
    }
    return out;
}

auto entry_source::view_of(std::vector<fleet::domain_peer> const& peers,
                           time_point now) const -> fleet::source_view
{
    auto const& known = peers_.known_peers();
    auto const others = known.size() > (known.contains(self_) ? 1U : 0U);
    return {self_,
            watcher_.contact_duration(now),
            now - started_at_,
            others,
            {peers.data(), peers.size()}};
}

void entry_source::set_pace(time_point now)
{
    auto const peers = domain_peers();
    auto const choice = fleet::choose_source(view_of(peers, now));
    if (auto const* const it = std::get_if<fleet::watch_store>(&choice))
    {
        watcher_.set_retry_rank(it->hosts_ahead);
        watcher_.set_pause(it->pause);
    }
}

void entry_source::follow(host_id const& id, time_point now)
{
    auto const at = peers_.known_peers().find(id);
    if (at == peers_.known_peers().end())
    {
        return;
    }
    if (feed_)
    {
        stop_following("a preferred host is available", now, false);
    }
    feed_.emplace();
    feed_->id = id;
    feed_->last_message_at = now;
    feed_->link = peers_.follow(
        at->second,
        [this, held = std::weak_ptr{feed_->alive}](std::string_view bytes)
        {
            if (!held.expired())
            {
                on_message(bytes, net::event_loop::now());
            }
        },
        [this, held = std::weak_ptr{feed_->alive}]
        {
            if (!held.expired())
            {
                stop_following("closed", net::event_loop::now());
            }
        });
}

void entry_source::on_message(std::string_view bytes, time_point now)
{
    auto const it =
        fleet::decode_feed_message(bytes, watcher_.delivered_revision().era());
    if (!it || !it->in_contact)
    {
        stop_following(it ? "the peer lost the store" : "unreadable", now);
        return;
    }
    // The feed does not continue what this host has, nor what came before.
    if (it->at.era() < watcher_.delivered_revision().era() ||
        (feed_->starts_after && it->at.era() != feed_->starts_after->era()))
    {
        stop_following("of another era of the store", now);
        return;
    }
    feed_->last_message_at = now;
    if (!feed_->starts_after)
    {
        feed_->starts_after = it->at;
        switch_to_feed_if_caught_up(now);
        if (feed_ && !feed_->in_use)
        {
            watcher_.resume();
        }
        return;
    }
    if (feed_->in_use)
    {
        last_feed_message_at_ = now;
        apply_entries(it->entries);
        return;
    }
    feed_->buffered.insert(feed_->buffered.end(), it->entries.begin(),
                           it->entries.end());
}

void entry_source::post(std::function<void()> work)
{
    loop_.post(
        [held = std::weak_ptr{alive_}, work = std::move(work)]
        {
            if (!held.expired())
            {
                work();
            }
        });
}

void entry_source::schedule_feed_switch()
{
    if (feed_ && !feed_->in_use)
    {
        post([this] { switch_to_feed_if_caught_up(net::event_loop::now()); });
    }
}

void entry_source::switch_to_feed_if_caught_up(time_point now)
{
    if (!feed_ || feed_->in_use || !feed_->starts_after ||
        watcher_.delivered_revision() < *feed_->starts_after)
    {
        return;
    }
    feed_->in_use = true;
    feed_->base_revision = watcher_.delivered_revision();
    watcher_.pause();
    peers_.drop_followers();
    log::write(log::level::info, "store_followed_through",
               {{"peer", feed_->id.value()},
                {"revision", to_string(watcher_.delivered_revision())}});
    if (loss_reported_)
    {
        contact_regained(watcher_.last_answer());
    }
    last_feed_message_at_ = now;
    apply_entries(std::exchange(feed_->buffered, {}));
}

void entry_source::apply_entries(std::vector<fleet::feed_entry> const& entries)
{
    for (auto const& it : entries)
    {
        if (it.at <= feed_->base_revision)
        {
            continue;
        }
        if (it.too_large)
        {
            request_large_value(it);
            continue;
        }
        // What is still being read of this key is older.
        large_reads_.erase(it.key);
        auto event = external::watch_event{it.key, {}, it.at};
        if (it.value)
        {
            event.value = external::stored_value{it.key, *it.value, it.at,
                                                 it.at, external::lease_id{0}};
        }
        watcher_.apply_event(event);
    }
}

void entry_source::request_large_value(fleet::feed_entry const& it)
{
    auto const [at, added] =
        large_reads_.try_emplace(it.key, large_read{it.at, it.at});
    at->second.newest = it.at;
    if (added)
    {
        read_large_value(it.key);
    }
}

void entry_source::read_large_value(std::string const& key)
{
    auto request = external::range_request{};
    request.key = key;
    store_.range(external::call_purpose::large_value_read, request,
                 [this, held = std::weak_ptr{alive_},
                  key](external::answer<external::range_result> const& it)
                 {
                     if (!held.expired())
                     {
                         on_large_value(key, it);
                     }
                 });
}

void entry_source::retry_large_values()
{
    auto const all = large_reads_;
    for (auto const& [key, it] : all)
    {
        if (it.failed)
        {
            large_reads_.at(key).failed = false;
            read_large_value(key);
        }
    }
}

void entry_source::on_large_value(
    std::string const& key, external::answer<external::range_result> const& it)
{
    auto const found = large_reads_.find(key);
    if (found == large_reads_.end())
    {
        // A peer's state has provided the value in the meantime.
        return;
    }
    auto const wanted = found->second;
    auto const* const read = std::get_if<external::range_result>(&it);
    if (read == nullptr)
    {
        found->second.failed = true;
        log::write(log::level::info, "large_value_not_read",
                   {{"key", key},
                    {"revision", std::to_string(wanted.newest.value())},
                    {"why", std::get<external::call_failure>(it).text}});
        large_retry_timer_ =
            loop_.after(large_retry_delay, [this] { retry_large_values(); });
        return;
    }
    auto newest = read->at;
    for (auto const& value : read->values)
    {
        newest = value.modified;
        if (newest >= wanted.first)
        {
            // Of reads of one key, an earlier one may be answered later.
            found->second.first =
                external::store_revision{newest.value() + 1, newest.era()};
            events_.on_entry({value.key, value, value.modified});
        }
    }
    if (newest < wanted.newest)
    {
        // The value was written again after the read.
        read_large_value(key);
        return;
    }
    large_reads_.erase(key);
}

void entry_source::stop_following(std::string const& why, time_point now,
                                  bool failed)
{
    if (!feed_)
    {
        return;
    }
    auto const left = std::move(*feed_);
    feed_.reset();
    if (failed)
    {
        excluded_hosts_[left.id] = now + fleet::feed_failure_backoff;
    }
    // This may run inside a callback of the link, so destroy it later.
    loop_.post([held = left.link] {});
    log::write(log::level::info, "feed_left",
               {{"peer", left.id.value()},
                {"why", why},
                {"in_use", left.in_use ? "true" : "false"},
                {"revision", to_string(watcher_.delivered_revision())}});
    if (redelivery_.until <= watcher_.delivered_revision())
    {
        redelivery_ = {};
    }
    // This host's own watch delivers the missing changes, and those between
    // them again.
    if (!large_reads_.empty())
    {
        redelivery_.until =
            std::max(redelivery_.until, watcher_.delivered_revision());
        for (auto const& [key, it] : large_reads_)
        {
            redelivery_.missing.try_emplace(key, it.first);
        }
    }
    watcher_.rewind_to(delivered_revision());
    large_reads_.clear();
    if (left.in_use)
    {
        auto const peers = domain_peers();
        watcher_.resume(failed ? fleet::feed_loss_delay(view_of(peers, now))
                               : duration{});
    }
}

void entry_source::contact_lost(std::string const& why)
{
    if (peers_.followers() > 0)
    {
        peers_.publish(make_message());
        peers_.drop_followers();
    }
    if (!std::exchange(loss_reported_, true))
    {
        events_.on_lost(why);
    }
}

void entry_source::contact_regained(time_point last_answer)
{
    loss_reported_ = false;
    // A host holds no entries from before its start that it could have lost.
    events_.on_regained(
        std::max({last_answer, last_feed_message_at_, started_at_}));
}

void entry_source::publish(external::watch_event const& it)
{
    if (peers_.followers() == 0)
    {
        return;
    }
    auto entry = fleet::feed_entry{it.key, {}, false, it.at};
    if (it.value)
    {
        entry.too_large = it.value->value.size() > fleet::max_feed_value;
        if (!entry.too_large)
        {
            entry.value = it.value->value;
        }
    }
    auto const size = entry.key.size() + entry.value.value_or("").size();
    if (unsent_bytes_ + size > fleet::max_feed_bytes)
    {
        flush();
    }
    unsent_bytes_ += size;
    unsent_.push_back(std::move(entry));
    if (!std::exchange(flush_posted_, true))
    {
        post([this] { flush(); });
    }
}

void entry_source::flush()
{
    flush_posted_ = false;
    if (!unsent_.empty())
    {
        peers_.publish(make_message());
    }
}

auto entry_source::make_message() -> std::string
{
    auto out = fleet::feed_message{};
    out.in_contact = watcher_.in_contact();
    out.at = watcher_.delivered_revision();
    out.entries = std::exchange(unsent_, {});
    unsent_bytes_ = 0;
    return fleet::encode(out);
}

auto entry_source::in_contact() const -> bool
{
    return watcher_.in_contact() || (feed_ && feed_->in_use);
}

auto entry_source::store_contact(time_point now) const
    -> std::optional<duration>
{
    return watcher_.contact_duration(now);
}

auto entry_source::delivered_revision() const -> external::store_revision
{
    auto out = watcher_.delivered_revision();
    for (auto const& [key, it] : large_reads_)
    {
        out = std::min(out, external::store_revision{it.first.value() - 1,
                                                     it.first.era()});
    }
    return out;
}

auto entry_source::needs_peer() const -> bool
{
    return std::any_of(large_reads_.begin(), large_reads_.end(),
                       [](auto const& it) { return it.second.failed; });
}

void entry_source::replaced_by_peer(external::store_revision at, time_point now)
{
    std::erase_if(large_reads_,
                  [&](auto const& it) { return it.second.newest <= at; });
    redelivery_.until = std::min(redelivery_.until, at);
    watcher_.advance_to(at);
    switch_to_feed_if_caught_up(now);
}

} // namespace primrosedeal::gateway
