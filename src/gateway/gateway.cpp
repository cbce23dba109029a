#include "gateway/gateway.hpp"

#include "core/overloaded.hpp"
#include "dispatch/shutdown_steps.hpp"
#include "fleet/configuration_lag.hpp"
#include "gateway/client_limits.hpp"
#include "gateway/client_memory_log.hpp"
#include "gateway/digest_task.hpp"
#include "gateway/entry_source.hpp"
#include "gateway/host_state.hpp"
#include "gateway/link_monitor.hpp"
#include "gateway/log_text.hpp"
#include "gateway/origin_task.hpp"
#include "gateway/own_link_events.hpp"
#include "gateway/path_events.hpp"
#include "gateway/peer_exchange.hpp"
#include "gateway/relay.hpp"
#include "gateway/rollout_task.hpp"
#include "gateway/target_events.hpp"
#include "gateway/tunnel_server.hpp"
#include "gateway/version_reader.hpp"
#include "http1/server.hpp"
#include "log/log.hpp"
#include "reachability/tunnel_limit.hpp"

#include <csignal>
#include <exception>
#include <random>
#include <utility>

// Everything runs on one event loop: a host has a fraction of one core, so a
// second thread would only add context switches.
namespace primrosedeal::gateway
{

namespace
{

constexpr auto tick_period = duration{250ms};
/// Interval of state requests to peers while the store does not answer.
constexpr auto peer_poll_period = duration{500ms};
/// Interval of the steps of a shutdown.
constexpr auto shutdown_period = duration{50ms};
/// Time for this host's registration to appear in its copy of the store before
/// it is written again.
constexpr auto registration_retry_delay = duration{2s};

/// Period of the counts of calls to the store.
constexpr auto store_calls_period = duration{5s};

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
                    settings_loader reload, protocol const& wire,
                    external::key_value_service& store)
        : loop_(loop), reload_(std::move(reload)), store_(store),
          host_(loop, wire, settings, random_seed()),
          client_server_(loop, [this](http1::request it,
                                      std::shared_ptr<http1::exchange> client)
                         { on_request(std::move(it), std::move(client)); }),
          readiness_server_(loop,
                            [this](http1::request const& it,
                                   std::shared_ptr<http1::exchange> const& from)
                            { on_readiness_query(it, *from); }),
          metrics_server_(loop,
                          [this](http1::request const&,
                                 std::shared_ptr<http1::exchange> const& from)
                          {
                              from->reply(
                                  {ok, {{"Content-Type", "text/plain"}}},
                                  host_.metrics.text(), true);
                          }),
          peers_(
              loop, {settings.host, net::to_string(settings.store)},
              [this](external::store_revision held)
              { return make_state_for_peer(held); },
              [this](peer_state const& it) { on_peer_state(it); }),
          digests_(host_, peers_, make_digest_events()),
          origins_(host_, peers_, store), versions_(host_, store),
          rollouts_(host_, peers_, store),
          tunnel_limit_(settings.link_bytes_per_second),
          tunnels_(loop, make_tunnel_limits(settings), make_tunnel_events()),
          source_(loop, store, host_.random, peers_, host_.other_hosts,
                  settings, make_source_events()),
          link_monitor_(settings.link_bytes_per_second),
          lag_(settings.change_bound)
    {
        host_.tunnel_address = [this](host_id const& id)
        {
            return tunnel_address(id);
        };
        host_.read_versions = [this](service_id const& service,
                                     stream_origin::record_handler done)
        {
            versions_.read(service, std::move(done), net::event_loop::now());
        };
        host_.prober.on_answered = [this]
        {
            on_connection_answered(host_, net::event_loop::now());
        };
    }

    auto run() -> bool
    {
        // Before anything that a signal could cut: its default is to end the
        // process.
        auto const terminate =
            net::signal_watch{loop_, SIGTERM,
                              [this]
                              {
                                  begin_shutdown(net::event_loop::now());
                              }};
        auto const reload = net::signal_watch{loop_, SIGHUP,
                                              [this]
                                              {
                                                  reload_settings();
                                              }};
        auto const& at = host_.settings;
        client_server_.listen(at.clients);
        readiness_server_.listen(at.readiness);
        metrics_server_.listen(at.metrics);
        client_server_.on_dropped_input([this](http1::dropped_input const& it)
                                        { on_dropped_input(it); });
        client_server_.on_rejected([this](http1::rejected_request const& it)
                                   { on_rejected(it); });
        client_server_.on_memory([this](http1::memory_event const& it)
                                 { memory_log_.on_event(it); });
        client_server_.on_replaced([this]
                                   { host_.metrics.connection_replaced(); });
        peers_.listen(at.peers);
        tunnels_.limit_rate(tunnel_limit_.bytes_per_second());
        tunnels_.listen(at.tunnels);
        apply_limits();
        log::write(log::level::info, "started",
                   {{"host", at.host.value()},
                    {"domain", at.domain.value()},
                    {"clients", net::to_string(at.clients)},
                    {"store", net::to_string(at.store)}});
        started_at_ = net::event_loop::now();
        source_.start(started_at_);
        tick();
        poll_peers();
        digests_.start();
        run_loop();
        auto const left = host_.relays.size();
        log::write(log::level::info, "stopped",
                   {{"unanswered", std::to_string(left)}});
        return left == 0;
    }

private:
    void run_loop()
    {
        try
        {
            loop_.run();
        }
        catch (std::exception const& e)
        {
            log::write(
                log::level::error, "process_failed",
                {{"why", e.what()},
                 {"open_requests", std::to_string(host_.relays.size())}});
            throw;
        }
    }

    auto make_digest_events() -> digest_task_events
    {
        auto out = digest_task_events{};
        out.store_contact = [this](time_point now)
        {
            return source_.store_contact(now);
        };
        out.configuration = [this]
        {
            return host_.table
                       ? std::optional{fleet::used_configuration{
                             host_.table->version(), configuration_adopted_at_}}
                       : std::nullopt;
        };
        out.on_replaced = [this](target_id const& id, time_point now)
        {
            apply_target_event(directory::target_replaced{id}, now);
        };
        return out;
    }

    auto tunnel_address(host_id const& id) const -> std::optional<net::endpoint>
    {
        auto const it = peers_.known_peers().find(id);
        return it == peers_.known_peers().end()
                   ? std::nullopt
                   : std::optional{net::endpoint{it->second.address,
                                                 host_.settings.tunnels.port}};
    }

    auto make_tunnel_events() -> tunnel_events
    {
        auto out = tunnel_events{};
        out.lookup = [this](target_id const& id)
        {
            return find_for_tunnel(id);
        };
        out.admit = [this]
        {
            return may_open_tunnel();
        };
        out.on_closed = [this]
        {
            tunnel_limit_.closed();
        };
        out.on_opened = [this](target_id const& id)
        {
            on_connected_for_tunnel(id,
                                    reachability::connection_result::accepted);
        };
        out.on_refused = [this](target_id const& id, http1::tunnel_refusal why)
        {
            if (why == http1::tunnel_refusal::target_refused)
            {
                on_connected_for_tunnel(
                    id, reachability::connection_result::refused);
            }
            else if (why == http1::tunnel_refusal::target_timed_out)
            {
                on_connected_for_tunnel(
                    id, reachability::connection_result::timed_out);
            }
            log::write(
                log::level::info, "tunnel_refused",
                {{"target", id.value()}, {"why", std::string{to_string(why)}}});
        };
        out.on_ended = [](target_id const& id, tunnel_summary const& it)
        {
            log::write(log::level::info, "tunnel_ended",
                       {{"target", id.value()},
                        {"to_target", std::to_string(it.bytes.to_target)},
                        {"to_host", std::to_string(it.bytes.to_host)},
                        {"why", std::string{to_string(it.why)}},
                        {"host_silent_ms", milliseconds(it.host_silence)}});
        };
        return out;
    }

    /// A target that this host may not reach either is not looked up.
    auto find_for_tunnel(target_id const& id) const
        -> std::optional<net::endpoint>
    {
        auto const* const it = host_.targets.find(id);
        return it != nullptr && !host_.paths.unreachable(it->service)
                   ? std::optional{it->address}
                   : std::nullopt;
    }

    /// The connection of a tunnel is one of this host's own.
    void on_connected_for_tunnel(target_id const& id,
                                 reachability::connection_result result)
    {
        auto const now = net::event_loop::now();
        if (auto const* const it = host_.targets.find(id))
        {
            // The connection began this long ago at most.
            on_direct_connection(host_, directory::listed_target{*it}, result,
                                 now - tunnel_limits{}.connect_timeout, now);
        }
    }

    auto may_open_tunnel() -> bool
    {
        auto work = own_work_;
        work.leaving = host_.shutdown_started_at.has_value();
        return tunnel_limit_.admit(work, net::event_loop::now());
    }

    auto make_source_events() -> store_watcher_events
    {
        auto out = store_watcher_events{};
        out.on_restored = [this]
        {
            snapshot_is_restored_ = true;
            on_store_restored(net::event_loop::now());
        };
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
            apply_target_event(directory::store_lost{}, net::event_loop::now());
        };
        out.on_regained = [this](time_point last_answer)
        {
            on_store_regained(last_answer, net::event_loop::now());
        };
        return out;
    }

    /// Entries that live targets have yet to write again are missing, as after
    /// an outage, though the store may have served others in the meantime.
    void on_store_restored(time_point now)
    {
        restored_at_ = now;
        apply_target_event(directory::store_lost{}, now);
        apply_target_event(directory::store_regained{false}, now);
        origins_.on_store_restored(now);
    }

    void on_store_regained(time_point last_answer, time_point now)
    {
        auto const rewritten =
            !restored_at_ || now - *restored_at_ >= directory::lapse_grace;
        auto const served_others =
            rewritten && host_.other_hosts.store_served_since(last_answer);
        log::write(log::level::info, "store_regained",
                   {{"away_ms", milliseconds(now - last_answer)},
                    {"served_others", served_others ? "true" : "false"}});
        apply_target_event(directory::store_regained{served_others}, now);
    }

    void on_request(http1::request it, std::shared_ptr<http1::exchange> client)
    {
        relay::start(host_, std::move(it), std::move(client),
                     net::event_loop::now());
    }

    /// A request among the bytes crossed the end of its connection.
    void on_dropped_input(http1::dropped_input const& it)
    {
        host_.metrics.client_input_dropped(to_string(it.why));
        log::write(log::level::info, "client_input_dropped",
                   {{"why", std::string{to_string(it.why)}},
                    {"announced", it.announced ? "true" : "false"},
                    {"leaving", host_.shutdown_started_at ? "true" : "false"},
                    {"requests_before", std::to_string(it.requests)},
                    {"connection_age_ms", milliseconds(it.connection_age)},
                    {"since_end_ms", milliseconds(it.since_end)},
                    {"bytes", std::to_string(it.bytes)}});
    }

    void on_rejected(http1::rejected_request const& it)
    {
        auto const status = std::to_string(it.status);
        host_.metrics.request_rejected(status);
        log::write(log::level::info, "request_rejected",
                   {{"status", status},
                    {"problem", std::string{it.problem}},
                    {"requests_before", std::to_string(it.requests)},
                    {"connection_age_ms", milliseconds(it.connection_age)}});
    }

    void on_readiness_query(http1::request const& it, http1::exchange& from)
    {
        if (!host_.wire.is_readiness_query(it.target))
        {
            from.reply({not_found, {}}, {}, false);
            return;
        }
        auto const ready = host_.table != nullptr && !host_.shutdown_started_at;
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
        if (std::exchange(snapshot_is_restored_, false))
        {
            apply_target_event(directory::restored_entries{std::move(targets)},
                               now);
            return;
        }
        apply_target_event(directory::all_entries{std::move(targets)}, now);
    }

    /// Replaces the copy of the store by `entries`, applies changed entries
    /// other than targets, and returns all targets.
    auto replace_entries(entry_map entries, time_point now)
        -> std::vector<directory::listed_target>
    {
        auto const before = std::exchange(entries_, std::move(entries));
        auto out = std::vector<directory::listed_target>{};
        for (auto const& [key, held] : entries_)
        {
            auto const old = before.find(key);
            auto const changed = old == before.end() ||
                                 old->second.mod_revision != held.mod_revision;
            if (!changed && !host_.wire.is_target_key(key))
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
        remove_lost_records(before, now);
        origins_.observe(make_store_position(now), now);
        return out;
    }

    /// A record of versions and a status are never removed, but a restored
    /// store may lack them. They are written again once they count as missing.
    void remove_lost_records(entry_map const& before, time_point now)
    {
        for (auto const& [key, old] : before)
        {
            if (entries_.contains(key))
            {
                continue;
            }
            auto const it = host_.wire.read_entry(key, std::nullopt);
            if (std::holds_alternative<versions_entry>(it) ||
                std::holds_alternative<rollout_entry_removed>(it))
            {
                apply(it, now);
            }
        }
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
            apply_target_event(
                directory::entry_removed{
                    std::get<directory::entry_written>(entry).id},
                now);
            return;
        }
        apply(entry, now);
    }

    void apply(store_entry const& it, time_point now)
    {
        std::visit(
            overloaded{
                [&](configuration_entry const& e) { adopt_from_entry(e, now); },
                [&](directory::entry_written const& e)
                { apply_target_event(e, now); },
                [&](host_entry const& e) { update_host(e); },
                [&](origins_entry const& e) { origins_.merge(e.bytes, now); },
                [&](versions_entry const& e) { origins_.adopt(e); },
                [&](confirmation_entry const& e) { origins_.adopt(e); },
                [&](auto const& e)
                { rollouts_.apply(e, make_store_position(now), now); },
                [](other_entry const&) {
                }},
            it);
    }

    void update_host(host_entry const& it)
    {
        peers_.update_peer(it.id, it.peer_address);
        host_.known_host_count =
            std::max<std::size_t>(peers_.known_peers().size(), 1);
    }

    void adopt_from_entry(configuration_entry const& it, time_point now)
    {
        adopt_configuration(it, source_.in_contact() ? "store" : "peer", now);
    }

    /// `from`: for the log.
    void adopt_configuration(configuration_entry const& it,
                             std::string const& from, time_point now)
    {
        if (!it.parsed)
        {
            host_.metrics.configuration_unreadable("all");
            log::write(log::level::error, "configuration_unreadable",
                       {{"why", it.error}});
            return;
        }
        auto const before = host_.table
                                ? std::to_string(host_.table->version().value())
                                : std::string{"none"};
        if (host_.table && it.parsed->version <= host_.table->version())
        {
            return;
        }
        host_.table = std::make_shared<routes::route_table const>(*it.parsed);
        peers_.set_configuration(it.text);
        configuration_adopted_at_ = now;
        host_.metrics.configuration_version(it.parsed->version.value());
        apply_limits();
        log::write(log::level::info, "configuration_adopted",
                   {{"version", std::to_string(it.parsed->version.value())},
                    {"before", before},
                    {"routes", std::to_string(it.parsed->routes.size())},
                    {"from", from}});
        log_unreadable_members(it);
    }

    /// Fetches the configuration of another host if this one's own path does
    /// not bring it.
    void fetch_later_configuration(time_point now)
    {
        auto const own = used_version();
        auto others = host_.other_hosts.configured_hosts();
        auto newest = own;
        for (auto const& it : others)
        {
            newest = std::max(newest, it.version);
        }
        host_.metrics.newest_configuration_version(newest.value());
        std::erase_if(others, [this](auto const& it)
                      { return !peers_.known_peers().contains(it.id); });
        auto view = fleet::lag_view{};
        view.domain = host_.settings.domain;
        view.own = own;
        view.others = others;
        // A host that has just started may have read an older copy.
        view.path_settled = source_.in_contact() &&
                            now - started_at_ > host_.settings.change_bound;
        auto const from = lag_.next(view, host_.random, now);
        if (!from)
        {
            return;
        }
        log::write(
            log::level::warning, "configuration_behind",
            {{"version", std::to_string(own.value())},
             {"newest", std::to_string(newest.value())},
             {"behind_ms", milliseconds(*lag_.behind_for(now))},
             {"store_in_contact", source_.in_contact() ? "true" : "false"},
             {"peer", from->value()}});
        peers_.fetch_configuration(
            *from, [this, from = *from](std::optional<std::string> const& text)
            { on_fetched_configuration(from, text, net::event_loop::now()); });
    }

    void on_fetched_configuration(host_id const& from,
                                  std::optional<std::string> const& text,
                                  time_point now)
    {
        if (text)
        {
            adopt_configuration(host_.wire.read_configuration(*text), "host",
                                now);
        }
        lag_.fetch_ended(from, used_version(), now);
    }

    /// Zero if there is none.
    auto used_version() const -> routes::configuration_version
    {
        return host_.table ? host_.table->version()
                           : routes::configuration_version{};
    }

    void log_unreadable_members(configuration_entry const& it)
    {
        constexpr auto most = std::size_t{8};
        auto members = std::string{};
        for (auto i = std::size_t{0}; i < std::min(most, it.unreadable.size());
             ++i)
        {
            members += (i == 0 ? "" : " ") + it.unreadable[i];
        }
        if (!members.empty())
        {
            host_.metrics.configuration_unreadable("members");
            log::write(log::level::error, "configuration_members_unreadable",
                       {{"version", std::to_string(it.parsed->version.value())},
                        {"count", std::to_string(it.unreadable.size())},
                        {"members", members}});
        }
    }

    void apply_limits()
    {
        client_server_.set_limits(
            apply_client_limits(host_.settings, host_.table.get()));
        auto const queries = make_query_limits(host_.settings);
        readiness_server_.set_limits(queries);
        metrics_server_.set_limits(queries);
    }

    template <class Event>
    void apply_target_event(Event const& it, time_point now)
    {
        on_targets_changed(host_, host_.targets.handle(it, now),
                           source_.in_contact(), now);
    }

    auto make_state_for_peer(external::store_revision held) -> peer_state
    {
        auto const fresh =
            source_.in_contact() &&
            !host_.targets.removals_uncertain(net::event_loop::now());
        return make_peer_state(held, entries_, source_.delivered_revision(),
                               fresh);
    }

    /// A peer's copy is used only while this host cannot get its own.
    void on_peer_state(peer_state const& it)
    {
        auto const needed = it.fresh || !host_.table;
        if (!should_poll_peers() || !needed ||
            it.as_of < source_.delivered_revision())
        {
            return;
        }
        auto merged = merge(entries_, it);
        if (!merged)
        {
            return;
        }
        auto const now = net::event_loop::now();
        if (it.as_of.era() > source_.delivered_revision().era())
        {
            origins_.on_store_restored(now);
        }
        auto targets = replace_entries(std::move(*merged), now);
        log::write(log::level::info, "peer_entries_taken",
                   {{"revision", to_string(it.as_of)},
                    {"fresh", it.fresh ? "true" : "false"},
                    {"targets", std::to_string(targets.size())}});
        if (it.fresh)
        {
            peer_copy_taken_at_ = now;
        }
        apply_target_event(directory::peer_entries{std::move(targets)}, now);
        source_.replaced_by_peer(it.as_of, now);
    }

    /// Registers this host in the store for its peers. The entry outlives the
    /// process, so a restart at the same address writes nothing.
    void register_host(time_point now)
    {
        auto const& own = host_.settings;
        auto const key = host_.wire.host_key(own.host);
        auto const at = net::to_string(own.peers);
        auto const held = entries_.find(key);
        auto const known = held != entries_.end() && held->second.value == at;
        if (known || entries_.empty() || now < next_registration_at_)
        {
            return;
        }
        next_registration_at_ = now + registration_retry_delay;
        auto write = external::transaction{};
        write.then.emplace_back(external::put{key, at, external::lease_id{0}});
        store_.commit(
            external::call_purpose::registration, write,
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

    auto should_poll_peers() const -> bool
    {
        return !source_.in_contact() || source_.needs_peer();
    }

    /// Hosts of the same failure domain that are in contact with the store.
    auto preferred_peers() const -> std::vector<host_id>
    {
        auto out = std::vector<host_id>{};
        for (auto const& it : host_.other_hosts.peers_in(host_.settings.domain))
        {
            if (it.store_contact)
            {
                out.push_back(it.id);
            }
        }
        return out;
    }

    void poll_peers()
    {
        if (should_poll_peers())
        {
            peers_.fetch_from_peers(preferred_peers(), host_.settings.seeds,
                                    host_.settings.peers,
                                    source_.delivered_revision(), host_.random);
        }
        peer_timer_ = loop_.after(peer_poll_period, [this] { poll_peers(); });
    }

    /// Counts the calls to the store, and logs them while there are new ones.
    void observe_store_calls(time_point now)
    {
        if (now < store_calls_due_at_)
        {
            return;
        }
        store_calls_due_at_ = now + store_calls_period;
        auto const made = store_.calls_made();
        if (made == std::exchange(store_calls_, made))
        {
            return;
        }
        using external::call_purpose;
        auto const count = [&](call_purpose purpose)
        {
            auto const n = made[static_cast<std::size_t>(purpose)];
            host_.metrics.store_calls(to_string(purpose), n);
            return std::to_string(n);
        };
        log::write(log::level::info, "store_calls",
                   {{"reads", count(call_purpose::configuration_read)},
                    {"history_reads", count(call_purpose::history_read)},
                    {"large_reads", count(call_purpose::large_value_read)},
                    {"watches", count(call_purpose::configuration_watch)},
                    {"registrations", count(call_purpose::registration)},
                    {"version_writes", count(call_purpose::version_write)},
                    {"version_reads", count(call_purpose::version_read)}});
    }

    /// Logs how much of the link and of the processor other hosts take.
    void observe_link(time_point now)
    {
        if (tick_due_at_ != time_point{})
        {
            own_work_.loop_delay = now - tick_due_at_;
            link_monitor_.record_delay(own_work_.loop_delay);
        }
        tick_due_at_ = now + tick_period;
        auto totals = traffic_totals{};
        totals.of(traffic_class::digests) = digests_.traffic();
        totals.of(traffic_class::feed) = peers_.feed_traffic();
        totals.of(traffic_class::states) = peers_.state_traffic();
        for (auto const it : {traffic_class::digests, traffic_class::feed,
                              traffic_class::states})
        {
            host_.metrics.peer_bytes(to_string(it), "sent", totals.of(it).sent);
            host_.metrics.peer_bytes(to_string(it), "received",
                                     totals.of(it).received);
        }
        auto const it = link_monitor_.sample(totals, now);
        if (!it)
        {
            return;
        }
        own_work_.link_busy = it->link_busy;
        auto const bytes = [&](traffic_class of)
        {
            auto const& seen = it->bytes.of(of);
            return std::to_string(seen.sent) + '/' +
                   std::to_string(seen.received);
        };
        log::write(
            log::level::info, "link_usage",
            {{"link_busy", it->link_busy ? "true" : "false"},
             {"loop_late", it->loop_late ? "true" : "false"},
             {"loop_delay_ms", milliseconds(it->loop_delay)},
             {"span_ms", milliseconds(it->span)},
             {"digests", bytes(traffic_class::digests)},
             {"feed", bytes(traffic_class::feed)},
             {"states", bytes(traffic_class::states)},
             {"hosts_heard", std::to_string(host_.other_hosts.live_hosts())}});
    }

    auto make_copy_view(time_point now) const -> fleet::copy_view
    {
        auto out = fleet::copy_view{};
        out.in_contact = source_.in_contact();
        if (peer_copy_taken_at_)
        {
            out.peer_copy_age = now - *peer_copy_taken_at_;
        }
        out.answers_others = host_.other_hosts.hosts_in_contact() > 0;
        out.hosts_heard = host_.other_hosts.live_hosts();
        out.hosts_known = host_.known_host_count;
        return out;
    }

    auto make_store_position(time_point now) const -> store_position
    {
        auto out = store_position{};
        out.read = !entries_.empty();
        out.era = source_.delivered_revision().era();
        out.contact = source_.store_contact(now);
        out.written_at = [this](std::string const& key)
        {
            auto const held = entries_.find(key);
            return held == entries_.end() ? external::store_revision{0}
                                          : held->second.mod_revision;
        };
        return out;
    }

    void tick()
    {
        auto const now = net::event_loop::now();
        observe_link(now);
        observe_store_calls(now);
        on_targets_changed(host_, host_.targets.expire(now),
                           source_.in_contact(), now);
        for (auto const& id : host_.other_hosts.expire(now))
        {
            log::write(log::level::warning, "host_silent",
                       {{"peer", id.value()},
                        {"hosts_heard",
                         std::to_string(host_.other_hosts.live_hosts())}});
        }
        probe_paths(host_, now);
        host_.quarantine.expire(now);
        host_.unresolved_runs.expire(now);
        host_.limits.expire(now);
        host_.reported_losses.expire(now);
        host_.rejection_limits.expire(now);
        host_.rejections.expire(now);
        // The permission needs several seconds without a pause between calls.
        host_.may_admit_trials(now);
        host_.metrics.log_lines_dropped(log::dropped_lines());
        host_.list_is_current = fleet::list_is_current(make_copy_view(now));
        origins_.tick(make_store_position(now), now);
        rollouts_.tick(make_store_position(now), now);
        source_.tick(now);
        fetch_later_configuration(now);
        register_host(now);
        tick_timer_ = loop_.after(tick_period, [this] { tick(); });
    }

    void begin_shutdown(time_point now)
    {
        if (host_.shutdown_started_at)
        {
            return;
        }
        host_.shutdown_started_at = now;
        client_server_.close_after_answers();
        auto const last =
            dispatch::final_answer_time(now, host_.settings.shutdown_grace);
        auto const all = host_.relays;
        for (auto const& [key, it] : all)
        {
            it->limit_deadline(last, now);
        }
        log::write(log::level::info, "leaving",
                   {{"open_requests", std::to_string(host_.relays.size())}});
        continue_shutdown(now);
    }

    void continue_shutdown(time_point now)
    {
        auto view = dispatch::shutdown_view{};
        view.started_at = *host_.shutdown_started_at;
        view.grace = host_.settings.shutdown_grace;
        view.accepting = client_server_.listening();
        view.connections = client_server_.connections();
        view.open_requests = host_.relays.size();
        view.open_tunnels = tunnels_.open();
        std::visit(overloaded{[](dispatch::keep_connections) {},
                              [&](dispatch::stop_accepting)
                              { client_server_.stop_listening(); },
                              [&](dispatch::end_idle_connections)
                              { client_server_.close_idle(now); },
                              [&](dispatch::end_connections)
                              { client_server_.close_unanswered(); },
                              [&](dispatch::exit_process)
                              {
                                  loop_.stop();
                              }},
                   dispatch::next_shutdown_step(view, now));
        shutdown_timer_ =
            loop_.after(shutdown_period,
                        [this] { continue_shutdown(net::event_loop::now()); });
    }

    void reload_settings()
    {
        try
        {
            auto const it = reload_();
            auto const changed = !(it == host_.settings);
            // Listening addresses and the store's address change only with a
            // restart.
            host_.settings.seeds = it.seeds;
            if (!host_.shutdown_started_at)
            {
                // Open requests have been given the time of the grace before.
                host_.settings.shutdown_grace = it.shutdown_grace;
            }
            host_.settings.retry_ratio = it.retry_ratio;
            host_.settings.retry_slack = it.retry_slack;
            host_.settings.rollouts = it.rollouts;
            host_.settings.max_descriptors = it.max_descriptors;
            host_.settings.memory_limit = it.memory_limit;
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
    settings_loader reload_;
    external::key_value_service& store_;
    host_state host_;
    client_memory_log memory_log_{host_};
    http1::server client_server_;
    http1::server readiness_server_;
    http1::server metrics_server_;
    peer_exchange peers_;
    digest_task digests_;
    origin_task origins_;
    version_reader versions_;
    rollout_task rollouts_;
    reachability::tunnel_limit tunnel_limit_;
    tunnel_server tunnels_;
    entry_source source_;
    link_monitor link_monitor_;
    /// What this host's own callers take, as of the last tick.
    reachability::tunnel_limit::own_work own_work_;
    entry_map entries_;
    fleet::configuration_lag lag_;
    time_point configuration_adopted_at_{};
    time_point started_at_{};
    net::timer tick_timer_;
    time_point tick_due_at_{};
    net::timer peer_timer_;
    net::timer shutdown_timer_;
    time_point next_registration_at_{};
    external::calls_by_purpose store_calls_{};
    time_point store_calls_due_at_{};
    /// The next snapshot is the first one of a restored store.
    bool snapshot_is_restored_ = false;
    /// When this host learned that the store was restored from a copy.
    std::optional<time_point> restored_at_;
    /// When the entries of a peer that was in contact were last taken.
    std::optional<time_point> peer_copy_taken_at_;
};

} // namespace

auto run_gateway(net::event_loop& loop, host_settings const& settings,
                 settings_loader const& reload, protocol const& wire,
                 external::key_value_service& store) -> bool
{
    auto process = gateway_process{loop, settings, reload, wire, store};
    return process.run();
}

} // namespace primrosedeal::gateway
