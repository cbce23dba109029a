#include "serve/control_plane.hpp"

#include "log/log.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace primrosedeal::serve
{

namespace
{

constexpr auto mark_lifetime = std::chrono::seconds{3600};
constexpr auto usage_lifetime = std::chrono::seconds{30};
constexpr auto kept_until_replaced = std::chrono::seconds{0};

auto etcd_settings_of(settings::host_settings const& from)
    -> external::etcd_settings
{
    auto it = external::etcd_settings{};
    it.address = from.key_value;
    return it;
}

} // namespace

control_plane::control_plane(net::event_loop& loop,
                             settings::host_settings const& settings,
                             incarnation start, std::uint64_t seed,
                             metrics::process_metrics& counters,
                             std::function<void(to_data)> send_to_data,
                             std::function<void()> on_drained)
    : loop_(loop), settings_(settings), start_(start), counters_(counters),
      to_data_(std::move(send_to_data)), on_drained_(std::move(on_drained)),
      store_(loop, etcd_settings_of(settings)),
      claims_(store_, [this](order::event it)
              { to_data_(claim_answer{std::move(it)}); }),
      members_(loop, task_settings_of(mix64(seed ^ 3U)),
               {[this](membership::member const& it) { on_member(it); },
                [this](membership::record const& it, host_id const& from)
                { on_item(it, from); },
                [this](incarnation it) { start_ = it; },
                [this](std::string_view name)
                {
                    return answer_peer(name);
                }}),
      targets_(loop, settings.host_list, mix64(seed ^ 1U),
               {[this](targets_changed it) { to_data_(std::move(it)); },
                [this](load_reported const& it) { to_data_(it); },
                [this](target::leaving_mark const& it)
                {
                    publish(membership::topic::target_leaving, it.id.value(),
                            it.start.value(), membership::urgency::urgent, "",
                            mark_lifetime);
                },
                [this](external::host_list const& it)
                {
                    on_list(it);
                }}),
      configuration_(
          loop, store_, settings.host, mix64(seed ^ 2U),
          {[this](configuration_changed it) { to_data_(std::move(it)); },
           [this](revision it)
           {
               publish(membership::topic::configuration, settings_.host.value(),
                       it.value(), membership::urgency::urgent, "",
                       kept_until_replaced);
           },
           [this](host_id const& peer, std::string const& request,
                  std::function<void(std::optional<std::string>)> done)
           {
               members_.fetch_body(peer, absl::WebSafeBase64Escape(request),
                                   std::move(done));
           },
           [this]
           {
               return domain_hosts();
           }}),
      operators_(
          loop, settings.listen_operators, settings.operator_secret, counters,
          {[this] { return why_not_ready(); }, [this] { return status(); },
           [this]
           {
               refresh_metrics();
           }})
{
}

void control_plane::on_message(to_control const& it)
{
    std::visit([this](auto const& m) { take(m); }, it);
}

void control_plane::start_drain()
{
    if (!std::exchange(draining_, true))
    {
        log::write(log::level::info, "drain_started", {});
        members_.leave();
        to_data_(drain{});
    }
}

void control_plane::take(target_seen const& it)
{
    targets_.on_event(it.event);
}

void control_plane::take(claim_wanted const& it)
{
    claims_.carry_out(it.action);
}

void control_plane::take(usage_digest const& it)
{
    publish(membership::topic::usage, settings_.host.value(), ++usage_sequence_,
            membership::urgency::bulk, it.digest, usage_lifetime);
}

void control_plane::take(drained const& /*it*/)
{
    log::write(log::level::info, "drained", {});
    on_drained_();
}

void control_plane::on_list(external::host_list const& it)
{
    auto peers = peers_changed{};
    for (auto const& each : it.entry_hosts)
    {
        peers.peers.push_back({each.id, each.address});
    }
    to_data_(std::move(peers));
}

/// A body's name travels as a header, so the request in it is base64.
auto control_plane::answer_peer(std::string_view name) const
    -> std::optional<std::string>
{
    auto request = std::string{};
    return absl::WebSafeBase64Unescape({name.data(), name.size()}, &request)
               ? configuration_.answer_peer(request)
               : std::nullopt;
}

void control_plane::on_member(membership::member const& it)
{
    log::write(log::level::info, "member_state",
               {{"host", it.id.value()},
                {"failure_domain", it.domain.value()},
                {"incarnation", std::to_string(it.start.value())},
                {"state", std::string{membership::to_string(it.state)}}});
}

void control_plane::on_item(membership::record const& it, host_id const& from)
{
    auto const& key = it.key;
    auto const own = from == settings_.host;
    switch (key.topic)
    {
    case membership::topic::target_leaving:
        targets_.on_event(target::leaving_mark{
            target_id{key.name}, incarnation{it.version.sequence}});
        return;
    case membership::topic::configuration:
        if (!own)
        {
            configuration_.on_announcement(host_id{key.name},
                                           revision{it.version.sequence});
        }
        return;
    case membership::topic::usage:
        if (!own)
        {
            to_data_(usage_heard{host_id{key.name}, it.payload});
        }
        return;
    default:
        return;
    }
}

/// Keys with one writer compare by its incarnation first; marks of a target
/// have many writers, who agree on the target's own incarnation.
void control_plane::publish(membership::topic topic, std::string const& name,
                            std::uint64_t sequence, membership::urgency urgency,
                            std::string payload, std::chrono::seconds lifetime)
{
    auto const many_writers = topic == membership::topic::target_leaving;
    auto it = membership::record{};
    it.key = {topic, name};
    it.version = {many_writers ? 0 : start_.value(), sequence};
    it.urgency = urgency;
    it.payload = std::move(payload);
    it.lifetime = lifetime;
    members_.publish(it);
}

auto control_plane::task_settings_of(std::uint64_t seed) const
    -> membership::task_settings
{
    auto it = membership::task_settings{};
    it.self = settings_.host;
    it.domain = settings_.domain;
    it.start = start_;
    it.listen = settings_.listen_peers;
    it.secret = settings_.peer_secret;
    it.seed = seed;
    it.gossip.seeds = settings_.seeds;
    return it;
}

auto control_plane::domain_hosts() const -> std::vector<host_id>
{
    auto hosts = std::vector<host_id>{};
    for (auto const& it : members_.members())
    {
        auto const counts = it.domain == settings_.domain &&
                            it.state == membership::host_state::alive;
        if (counts)
        {
            hosts.push_back(it.id);
        }
    }
    return hosts;
}

auto control_plane::why_not_ready() const -> std::optional<std::string>
{
    if (draining_)
    {
        return "shutting down";
    }
    if (auto why = configuration_.follower().not_ready())
    {
        return why;
    }
    return targets_.has_list()
               ? std::nullopt
               : std::optional<std::string>{"no host list has been read yet"};
}

auto control_plane::leaving_targets() const -> std::size_t
{
    return count_targets(target::target_state::leaving);
}

auto control_plane::count_targets(target::target_state state) const
    -> std::size_t
{
    auto const all = targets_.table().all();
    auto const n = std::count_if(all.begin(), all.end(),
                                 [&](target::target_view const& it)
                                 { return it.state == state; });
    return static_cast<std::size_t>(n);
}

auto control_plane::status() const -> std::string
{
    auto targets = nlohmann::json::array();
    for (auto const& it : targets_.table().all())
    {
        targets.push_back(
            {{"id", it.it.id.value()},
             {"service", it.it.service.value()},
             {"incarnation", it.it.start.value()},
             {"state", std::string{target::to_string(it.state)}}});
    }
    auto members = nlohmann::json::array();
    for (auto const& it : members_.members())
    {
        members.push_back(
            {{"host", it.id.value()},
             {"failure_domain", it.domain.value()},
             {"state", std::string{membership::to_string(it.state)}}});
    }
    auto const not_ready = why_not_ready();
    auto const body =
        nlohmann::json{{"host", settings_.host.value()},
                       {"failure_domain", settings_.domain.value()},
                       {"incarnation", start_.value()},
                       {"revision", configuration_.follower().number().value()},
                       {"ready", !not_ready.has_value()},
                       {"why_not_ready", not_ready.value_or("")},
                       {"members", members},
                       {"targets", targets}};
    return body.dump() + "\n";
}

void control_plane::refresh_metrics()
{
    auto const hosts = members_.members();
    for (auto const state :
         {membership::host_state::alive, membership::host_state::suspect,
          membership::host_state::dead})
    {
        auto const n = std::count_if(hosts.begin(), hosts.end(),
                                     [&](membership::member const& it)
                                     { return it.state == state; });
        counters_.members(std::string{membership::to_string(state)},
                          static_cast<std::size_t>(n));
    }

    counters_.configuration_revision(
        configuration_.follower().number().value());
    auto const states =
        std::array{target::target_state::live, target::target_state::suspect,
                   target::target_state::leaving, target::target_state::failed};
    for (auto const state : states)
    {
        counters_.targets(std::string{target::to_string(state)},
                          count_targets(state));
    }
    for (auto i = std::size_t{0}; i < external::call_purpose_count; ++i)
    {
        auto const purpose = static_cast<external::call_purpose>(i);
        counters_.key_value_calls(std::string{external::to_string(purpose)},
                                  store_.budget().counters(purpose).made);
    }
}

} // namespace primrosedeal::serve
