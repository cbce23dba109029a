#include "gateway/entry_source.hpp"

#include "log/log.hpp"

#include <algorithm>
#include <utility>

// Switching from the own watch to a feed loses nothing: the feed's first
// message tells the revision after which it starts, the own watch goes on until
// this host knows that revision, and what the feed brings meanwhile waits.
// Switching back starts a watch at the last revision delivered.
namespace primrosedeal::gateway
{

namespace
{

/// Between reads of a value that the store did not give.
constexpr auto large_retry_pause = duration{1s};

} // namespace

entry_source::entry_source(net::event_loop& loop,
                           external::key_value_service& store,
                           random_source& random, peer_exchange& peers,
                           fleet::fleet_view const& others,
                           host_settings const& own, follower_events events)
    : loop_(loop), store_(store), peers_(peers), others_(others),
      self_(own.host), domain_(own.domain), events_(std::move(events)),
      follower_(loop, store, random, own_events())
{
    peers_.set_greeting(
        [this]
        {
            flush();
            return make_message();
        });
}

entry_source::~entry_source() = default;

void entry_source::start()
{
    follower_.start();
}

auto entry_source::own_events() -> follower_events
{
    auto out = follower_events{};
    out.on_snapshot = [this](std::vector<external::stored_value> const& it)
    {
        events_.on_snapshot(it);
        // Followers cannot tell what changed before the snapshot.
        peers_.drop_followers();
        use_feed_soon();
    };
    out.on_entry = [this](external::watch_event const& it)
    {
        events_.on_entry(it);
        publish(it);
        use_feed_soon();
    };
    out.on_lost = [this](std::string const& why)
    {
        contact_lost(why);
    };
    out.on_regained = [this](time_point last_answer)
    {
        contact_regained(std::max(last_answer, last_heard_));
    };
    return out;
}

void entry_source::tick(time_point now)
{
    if (feed_ && now - feed_->heard_at > fleet::feed_timeout)
    {
        leave_feed("silent", now);
    }
    std::erase_if(distrusted_,
                  [&](auto const& it) { return it.second <= now; });
    auto peers = others_.peers_in(domain_);
    for (auto& it : peers)
    {
        it.feed_failed = distrusted_.contains(it.id);
    }
    auto const choice = fleet::choose_source(
        {self_, follower_.in_contact(), {peers.data(), peers.size()}});
    if (auto const* const to = std::get_if<fleet::follow_peer>(&choice))
    {
        if (!feed_ || feed_->id != to->id)
        {
            follow(to->id, now);
        }
    }
    else
    {
        // A feed in use tells by its messages when it loses the store.
        follower_.set_turn(std::get<fleet::watch_store>(choice).hosts_ahead);
    }
    if (peers_.followers() > 0)
    {
        peers_.publish(make_message());
    }
}

void entry_source::follow(host_id const& id, time_point now)
{
    auto const at = peers_.known().find(id);
    if (at == peers_.known().end())
    {
        return;
    }
    if (feed_)
    {
        leave_feed("another host comes first", now, false);
    }
    feed_.emplace();
    feed_->id = id;
    feed_->heard_at = now;
    feed_->link = peers_.follow(
        at->second,
        [this](std::string_view bytes)
        { on_message(bytes, net::event_loop::now()); },
        [this] { leave_feed("closed", net::event_loop::now()); });
}

void entry_source::on_message(std::string_view bytes, time_point now)
{
    auto const it = fleet::decode_feed_message(bytes);
    if (!it || !it->in_contact)
    {
        leave_feed(it ? "it lost the store" : "unreadable", now);
        return;
    }
    feed_->heard_at = now;
    if (!feed_->starts_after)
    {
        feed_->starts_after = it->at;
        use_feed_if_caught_up(now);
        if (feed_ && !feed_->in_use)
        {
            follower_.resume();
        }
        return;
    }
    if (feed_->in_use)
    {
        last_heard_ = now;
        take(it->entries);
        return;
    }
    feed_->waiting.insert(feed_->waiting.end(), it->entries.begin(),
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

void entry_source::use_feed_soon()
{
    if (feed_ && !feed_->in_use)
    {
        post([this] { use_feed_if_caught_up(net::event_loop::now()); });
    }
}

void entry_source::use_feed_if_caught_up(time_point now)
{
    if (!feed_ || feed_->in_use || !feed_->starts_after ||
        follower_.at() < *feed_->starts_after)
    {
        return;
    }
    feed_->in_use = true;
    feed_->known = follower_.at();
    follower_.pause();
    peers_.drop_followers();
    log::write(log::level::info, "store_followed_through",
               {{"peer", feed_->id.value()},
                {"revision", std::to_string(follower_.at().value())}});
    if (away_)
    {
        contact_regained(last_heard_);
    }
    last_heard_ = now;
    take(std::exchange(feed_->waiting, {}));
}

void entry_source::take(std::vector<fleet::feed_entry> const& entries)
{
    for (auto const& it : entries)
    {
        if (it.at <= feed_->known)
        {
            continue;
        }
        if (it.too_large)
        {
            want_large(it);
            continue;
        }
        auto event = external::watch_event{it.key, {}, it.at};
        if (it.value)
        {
            event.value = external::stored_value{it.key, *it.value, it.at,
                                                 it.at, external::lease_id{0}};
        }
        follower_.take(event);
    }
}

void entry_source::want_large(fleet::feed_entry const& it)
{
    auto const [at, added] =
        large_reads_.try_emplace(it.key, large_read{it.at, it.at});
    at->second.newest = it.at;
    if (added)
    {
        read_large(it.key);
    }
}

void entry_source::read_large(std::string const& key)
{
    auto request = external::range_request{};
    request.key = key;
    store_.range(external::call_purpose::configuration_read, request,
                 [this, held = std::weak_ptr{alive_},
                  key](external::answer<external::range_result> const& it)
                 {
                     if (!held.expired())
                     {
                         on_large(key, it);
                     }
                 });
}

void entry_source::read_large_again()
{
    auto const all = large_reads_;
    for (auto const& [key, it] : all)
    {
        if (it.failed)
        {
            large_reads_.at(key).failed = false;
            read_large(key);
        }
    }
}

void entry_source::on_large(std::string const& key,
                            external::answer<external::range_result> const& it)
{
    auto const found = large_reads_.find(key);
    if (found == large_reads_.end())
    {
        // A peer gave it meanwhile.
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
        large_retry_ =
            loop_.after(large_retry_pause, [this] { read_large_again(); });
        return;
    }
    auto newest = read->at;
    for (auto const& value : read->values)
    {
        newest = value.modified;
        events_.on_entry({value.key, value, value.modified});
    }
    if (newest < wanted.newest)
    {
        // Written again since the store answered.
        read_large(key);
        return;
    }
    large_reads_.erase(key);
}

void entry_source::leave_feed(std::string const& why, time_point now,
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
        distrusted_[left.id] = now + fleet::feed_failure_backoff;
    }
    // The link may be the caller.
    loop_.post([held = left.link] {});
    log::write(log::level::info, "feed_left",
               {{"peer", left.id.value()},
                {"why", why},
                {"in_use", left.in_use ? "true" : "false"},
                {"revision", std::to_string(follower_.at().value())}});
    // The own watch reads again what is missing.
    follower_.rewind_to(at());
    large_reads_.clear();
    if (left.in_use)
    {
        follower_.resume();
    }
}

void entry_source::contact_lost(std::string const& why)
{
    if (peers_.followers() > 0)
    {
        peers_.publish(make_message());
        peers_.drop_followers();
    }
    if (!std::exchange(away_, true))
    {
        events_.on_lost(why);
    }
}

void entry_source::contact_regained(time_point last_answer)
{
    away_ = false;
    events_.on_regained(last_answer);
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
    out.in_contact = follower_.in_contact();
    out.at = follower_.at();
    out.entries = std::exchange(unsent_, {});
    unsent_bytes_ = 0;
    return fleet::encode(out);
}

auto entry_source::in_contact() const -> bool
{
    return follower_.in_contact() || (feed_ && feed_->in_use);
}

auto entry_source::store_contact(time_point now) const
    -> std::optional<duration>
{
    return follower_.contact_time(now);
}

auto entry_source::at() const -> external::store_revision
{
    auto out = follower_.at();
    for (auto const& [key, it] : large_reads_)
    {
        out = std::min(out, external::store_revision{it.first.value() - 1});
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
    follower_.skip_to(at);
    use_feed_if_caught_up(now);
}

} // namespace primrosedeal::gateway
