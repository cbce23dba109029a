#include "gateway/gateway.hpp"

#include "core/overloaded.hpp"
#include "gateway/digest_task.hpp"
#include "gateway/entry_source.hpp"
#include "gateway/host_state.hpp"
#include "gateway/log_text.hpp"
#include "gateway/peer_exchange.hpp"
#include "gateway/relay.hpp"
#include "http1/server.hpp"
#include "log/log.hpp"

#include <csignal>
#include <random>
#include <utility>

// One loop carries everything: a host has a part of one core, and a second
// thread would only add switches.
namespace primrosedeal::gateway
{

namespace
{

constexpr auto tick_period = duration{250ms};
/// Between questions to peers while the store does not answer.
constexpr auto peer_period = duration{500ms};
/// Time for the balancer to see that this host takes no new connections.
constexpr auto balancer_notice = duration{2500ms};
/// Descriptors left to the store, peers, files and targets' connections.
constexpr auto reserved_descriptors = std::size_t{600};

/// Time for the own registration to come back as an entry of the store.
constexpr auto register_pause = duration{2s};

constexpr auto ok = 200;
constexpr auto unavailable = 503;
constexpr auto not_found = 404;

auto random_seed() -> std::uint64_t
{
    auto device = std::random_device{};
    constexpr auto word = 32U;
    return (std::uint64_t{device()} << word) | device();
}

class gateway_process
{
public:
    gateway_process(net::event_loop& loop, host_settings const& settings,
                    settings_source reload, protocol const& wire,
                    external::key_value_service& store)
        : loop_(loop), reload_(std::move(reload)), store_(store),
          host_(loop, wire, settings, random_seed()),
          clients_(loop, [this](http1::request it,
                                std::shared_ptr<http1::exchange> client)
                   { on_request(std::move(it), std::move(client)); }),
          readiness_(loop, [this](http1::request const& it,
                                  std::shared_ptr<http1::exchange> const& from)
                     { on_readiness_query(it, *from); }),
          metrics_(loop,
                   [this](http1::request const&,
                          std::shared_ptr<http1::exchange> const& from)
                   {
                       from->reply({ok, {{"Content-Type", "text/plain"}}},
                                   host_.metrics.text(), true);
                   }),
          peers_(
              loop, {settings.host, net::to_string(settings.store)},
              [this](external::store_revision held) { return own_state(held); },
              [this](peer_state const& it) { on_peer_state(it); }),
          digests_(host_, peers_, digest_events()),
          source_(loop, store, host_.random, peers_, host_.others, settings,
                  source_handlers())
    {
    }

    auto run() -> bool
    {
        auto const& at = host_.settings;
        clients_.listen(at.clients);
        readiness_.listen(at.readiness);
        metrics_.listen(at.metrics);
        peers_.listen(at.peers);
        apply_limits();
        log::write(log::level::info, "started",
                   {{"host", at.host.value()},
                    {"domain", at.domain.value()},
                    {"clients", net::to_string(at.clients)},
                    {"store", net::to_string(at.store)}});
        auto const terminate =
            net::signal_watch{loop_, SIGTERM,
                              [this]
                              {
                                  leave(net::event_loop::now());
                              }};
        auto const reload = net::signal_watch{loop_, SIGHUP,
                                              [this]
                                              {
                                                  reload_settings();
                                              }};
        source_.start();
        tick();
        ask_peers();
        digests_.start();
        loop_.run();
        auto const left = host_.relays.size();
        log::write(log::level::info, "stopped",
                   {{"unanswered", std::to_string(left)}});
        return left == 0;
    }

private:
    auto digest_events() -> digest_task_events
    {
        auto out = digest_task_events{};
        out.store_contact = [this](time_point now)
        {
            return source_.store_contact(now);
        };
        out.on_replaced = [this](target_id const& id, time_point now)
        {
            note_targets(directory::target_replaced{id}, now);
        };
        return out;
    }

    auto source_handlers() -> follower_events
    {
        auto out = follower_events{};
        out.on_snapshot = [this](std::vector<external::stored_value> const& it)
        {
            on_snapshot(it, net::event_loop::now());
        };
        out.on_entry = [this](external::watch_event const& it)
        {
            on_entry(it, net::event_loop::now());
        };
        out.on_lost = [this](std::string const& why)
        {
            host_.metrics.store_call_failed();
            log::write(log::level::warning, "store_lost", {{"why", why}});
            note_targets(directory::store_lost{}, net::event_loop::now());
        };
        out.on_regained = [this](time_point last_answer)
        {
            on_store_regained(last_answer, net::event_loop::now());
        };
        return out;
    }

    void on_store_regained(time_point last_answer, time_point now)
    {
        auto const served_others = host_.others.store_served_since(last_answer);
        auto const first = last_answer == time_point{};
        log::write(
            log::level::info, "store_regained",
            {{"away_ms", first ? "first" : milliseconds(now - last_answer)},
             {"served_others", served_others ? "true" : "false"}});
        note_targets(directory::store_regained{served_others}, now);
    }

    void on_request(http1::request it, std::shared_ptr<http1::exchange> client)
    {
        relay::start(host_, std::move(it), std::move(client),
                     net::event_loop::now());
    }

    void on_readiness_query(http1::request const& it, http1::exchange& from)
    {
        if (!host_.wire.is_readiness_query(it.target))
        {
            from.reply({not_found, {}}, {}, false);
            return;
        }
        auto const ready = host_.table != nullptr && !host_.leaving_since;
        from.reply({ready ? ok : unavailable, {}}, {}, true);
    }

    void on_snapshot(std::vector<external::stored_value> const& it,
                     time_point now)
    {
        auto entries = entry_map{};
        for (auto const& value : it)
        {
            entries[value.key] = {value.value, value.modified};
        }
        auto targets = replace_entries(std::move(entries), now);
        note_targets(directory::all_entries{std::move(targets)}, now);
    }

    /// Holds `entries` in place of the present ones, applies those that
    /// changed and name no target, and returns all targets.
    auto replace_entries(entry_map entries, time_point now)
        -> std::vector<directory::listed_target>
    {
        auto const before = std::exchange(entries_, std::move(entries));
        auto out = std::vector<directory::listed_target>{};
        for (auto const& [key, held] : entries_)
        {
            auto const old = before.find(key);
            auto const changed =
                old == before.end() || old->second.at < held.at;
            if (!changed && !host_.wire.names_target(key))
            {
                continue;
            }
            auto entry = host_.wire.read_entry(key, held.value);
            auto* const target = std::get_if<directory::entry_written>(&entry);
            if (target == nullptr)
            {
                apply(entry, now);
            }
            else if (target->it)
            {
                out.push_back(std::move(*target->it));
            }
        }
        return out;
    }

    void on_entry(external::watch_event const& it, time_point now)
    {
        auto const value =
            it.value ? std::optional{it.value->value} : std::nullopt;
        if (value)
        {
            entries_[it.key] = {*value, it.at};
        }
        else
        {
            entries_.erase(it.key);
        }
        auto const entry = host_.wire.read_entry(it.key, value);
        if (std::holds_alternative<directory::entry_written>(entry) && !value)
        {
            note_targets(
                directory::entry_removed{
                    std::get<directory::entry_written>(entry).id},
                now);
            return;
        }
        apply(entry, now);
    }

    void apply(store_entry const& it, time_point now)
    {
        std::visit(overloaded{[&](configuration_entry const& e) { adopt(e); },
                              [&](directory::entry_written const& e)
                              { note_targets(e, now); },
                              [&](host_entry const& e) { know_host(e); },
                              [](other_entry const&) {
                              }},
                   it);
    }

    void know_host(host_entry const& it)
    {
        peers_.know(it.id, it.peers);
        host_.known_hosts = std::max<std::size_t>(peers_.known().size(), 1);
    }

    void adopt(configuration_entry const& it)
    {
        if (!it.it)
        {
            log::write(log::level::error, "configuration_unreadable",
                       {{"why", it.error}});
            return;
        }
        auto const before = host_.table
                                ? std::to_string(host_.table->version().value())
                                : std::string{"none"};
        if (host_.table && it.it->version <= host_.table->version())
        {
            return;
        }
        host_.table = std::make_shared<routes::route_table const>(*it.it);
        host_.metrics.configuration_version(it.it->version.value());
        apply_limits();
        log::write(log::level::info, "configuration_adopted",
                   {{"version", std::to_string(it.it->version.value())},
                    {"before", before},
                    {"routes", std::to_string(it.it->routes.size())},
                    {"from", source_.in_contact() ? "store" : "peer"}});
    }

    void apply_limits()
    {
        auto out = http1::server_limits{};
        auto const descriptors = host_.settings.max_descriptors;
        out.max_connections = descriptors > 2 * reserved_descriptors
                                  ? descriptors - reserved_descriptors
                                  : descriptors / 2;
        if (host_.table)
        {
            auto const& limits = host_.table->limits();
            out.sizes = {limits.head_bytes, limits.body_bytes};
            out.head_timeout = limits.head_timeout;
            out.idle_timeout = limits.idle_timeout;
        }
        clients_.set_limits(out);
    }

    template <class Event>
    void note_targets(Event const& it, time_point now)
    {
        log_changes(host_.targets.handle(it, now));
    }

    void log_changes(std::vector<directory::change> const& changes)
    {
        for (auto const& it : changes)
        {
            host_.metrics.target_changed(to_string(it.to));
            log::write(log::level::info, "target_changed",
                       {{"target", it.id.value()},
                        {"to", std::string{to_string(it.to)}},
                        {"store_in_contact",
                         source_.in_contact() ? "true" : "false"}});
            if (it.to == directory::change_kind::gone)
            {
                host_.doubts.forget(it.id);
                tell_relays(it.id);
            }
        }
    }

    /// Streams whose copy was there need another.
    void tell_relays(target_id const& gone)
    {
        auto const now = net::event_loop::now();
        auto const all = host_.relays;
        for (auto const& [key, it] : all)
        {
            it->on_target_lost(gone, now);
        }
    }

    auto own_state(external::store_revision held) -> peer_state
    {
        auto const fresh =
            source_.in_contact() &&
            !host_.targets.removals_uncertain(net::event_loop::now());
        return newer_than(held, entries_, source_.at(), fresh);
    }

    /// A peer's copy counts only while this host cannot get its own.
    void on_peer_state(peer_state const& it)
    {
        auto const needed = it.fresh || !host_.table;
        if (!asks_peers() || !needed || it.at < source_.at())
        {
            return;
        }
        auto merged = merge(entries_, it);
        if (!merged)
        {
            return;
        }
        auto const now = net::event_loop::now();
        auto targets = replace_entries(std::move(*merged), now);
        log::write(log::level::info, "peer_entries_taken",
                   {{"revision", std::to_string(it.at.value())},
                    {"fresh", it.fresh ? "true" : "false"},
                    {"targets", std::to_string(targets.size())}});
        note_targets(directory::peer_entries{std::move(targets)}, now);
        source_.replaced_by_peer(it.at, now);
    }

    /// Lets peers find this host. Its entry outlives the process, so a restart
    /// at the same address writes nothing.
    void register_host(time_point now)
    {
        auto const& own = host_.settings;
        auto const key = host_.wire.host_key(own.host);
        auto const at = net::to_string(own.peers);
        auto const held = entries_.find(key);
        auto const known = held != entries_.end() && held->second.value == at;
        if (known || entries_.empty() || now < register_after_)
        {
            return;
        }
        register_after_ = now + register_pause;
        auto write = external::transaction{};
        write.then.emplace_back(external::put{key, at, external::lease_id{0}});
        store_.commit(
            external::call_purpose::configuration_write, write,
            [](external::answer<external::transaction_result> const& it)
            {
                if (auto const* const why =
                        std::get_if<external::call_failure>(&it))
                {
                    log::write(log::level::warning, "host_not_registered",
                               {{"why", why->text}});
                }
            });
    }

    auto asks_peers() const -> bool
    {
        return !source_.in_contact() || source_.needs_peer();
    }

    /// The hosts of the own domain that the store answers.
    auto peers_to_ask() const -> std::vector<host_id>
    {
        auto out = std::vector<host_id>{};
        for (auto const& it : host_.others.peers_in(host_.settings.domain))
        {
            if (it.watches_store)
            {
                out.push_back(it.id);
            }
        }
        return out;
    }

    void ask_peers()
    {
        if (asks_peers())
        {
            peers_.ask(peers_to_ask(), host_.settings.seeds,
                       host_.settings.peers, source_.at(), host_.random);
        }
        peer_timer_ = loop_.after(peer_period, [this] { ask_peers(); });
    }

    void tick()
    {
        auto const now = net::event_loop::now();
        log_changes(host_.targets.expire(now));
        for (auto const& id : host_.others.expire(now))
        {
            log::write(
                log::level::warning, "host_silent",
                {{"peer", id.value()},
                 {"hosts_heard", std::to_string(host_.others.live_hosts())}});
        }
        host_.metrics.log_lines_dropped(log::dropped_lines());
        source_.tick(now);
        register_host(now);
        if (host_.leaving_since)
        {
            leave_further(now);
        }
        tick_timer_ = loop_.after(tick_period, [this] { tick(); });
    }

    void leave(time_point now)
    {
        if (host_.leaving_since)
        {
            return;
        }
        host_.leaving_since = now;
        clients_.close_after_answers();
        auto const last =
            dispatch::final_answer_time(now, host_.settings.shutdown_grace);
        auto const all = host_.relays;
        for (auto const& [key, it] : all)
        {
            it->end_by(last, now);
        }
        log::write(log::level::info, "leaving",
                   {{"open_requests", std::to_string(host_.relays.size())}});
    }

    void leave_further(time_point now)
    {
        auto const since = now - *host_.leaving_since;
        if (since < balancer_notice)
        {
            return;
        }
        clients_.close_idle();
        auto const over =
            since >= host_.settings.shutdown_grace - dispatch::grace_margin;
        if (over || (host_.relays.empty() && clients_.connections() == 0))
        {
            loop_.stop();
        }
    }

    void reload_settings()
    {
        try
        {
            auto const it = reload_();
            auto const changed = !(it == host_.settings);
            // Listening addresses and the store's hold for a process's life.
            host_.settings.seeds = it.seeds;
            host_.settings.shutdown_grace = it.shutdown_grace;
            host_.settings.retry_ratio = it.retry_ratio;
            host_.settings.retry_slack = it.retry_slack;
            host_.settings.max_descriptors = it.max_descriptors;
            apply_limits();
            log::write(log::level::info, "settings_reloaded",
                       {{"changed", changed ? "true" : "false"}});
        }
        catch (settings_error const& e)
        {
            log::write(log::level::error, "settings_kept", {{"why", e.what()}});
        }
    }

    net::event_loop& loop_;
    settings_source reload_;
    external::key_value_service& store_;
    host_state host_;
    http1::server clients_;
    http1::server readiness_;
    http1::server metrics_;
    peer_exchange peers_;
    digest_task digests_;
    entry_source source_;
    entry_map entries_;
    net::timer tick_timer_;
    net::timer peer_timer_;
    time_point register_after_{};
};

} // namespace

auto run_gateway(net::event_loop& loop, host_settings const& settings,
                 settings_source const& reload, protocol const& wire,
                 external::key_value_service& store) -> bool
{
    auto process = gateway_process{loop, settings, reload, wire, store};
    return process.run();
}

} // namespace primrosedeal::gateway
