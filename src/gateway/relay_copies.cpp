#include "gateway/relay.hpp"

#include "core/part_of.hpp"
#include "gateway/log_text.hpp"
#include "gateway/target_events.hpp"
#include "log/log.hpp"

// Maintains the KV cache copies of running streams. The backup that grows with
// a run is set in its request and cannot be changed later. After its loss, the
// KV cache is copied to another target while the run continues, and copied
// again before that copy expires. The run itself is not moved, so no further
// attempt is spent unless its target is lost too.
namespace primrosedeal::gateway
{

namespace
{

/// Copying the cache of a long prompt takes some ten milliseconds, but other
/// copies may be queued before it.
constexpr auto copy_timeout = duration{1500ms};
/// Limit of copy requests per client request, and the delay after a refused
/// one: a target without memory for a copy may have some soon.
constexpr auto max_copy_requests = 12U;
constexpr auto copy_retry_pause = duration{300ms};
/// Fraction of a copy's lifetime after which it is updated.
constexpr auto renewal_fraction = 0.5;
/// Timeout of the call that frees a copy; the copy expires by itself if the
/// call fails.
constexpr auto release_timeout = duration{1s};

} // namespace

void relay::report_target_loss(directory::listed_target const& lost,
                               time_point now)
{
    host_.newly_lost.push_back(lost.id);
    auto const domain_suspected =
        host_.detector.domain_suspected(lost.domain, now);
    // A notified relay may end or start another attempt, which changes the map.
    auto const all = host_.relays;
    for (auto const& [key, it] : all)
    {
        it->on_target_lost(lost.id, now);
        if (domain_suspected)
        {
            it->on_domain_suspected(lost.domain);
        }
    }
}

void relay::on_target_lost(target_id const& id, time_point now)
{
    if (!current_)
    {
        return;
    }
    auto lost = replacement_ && replacement_->to.id == id;
    if (lost)
    {
        drop_replacement();
    }
    if (current_->copy && current_->copy->id == id && !current_->copy_lost)
    {
        current_->copy_lost = true;
        lost = true;
    }
    if (lost)
    {
        ensure_copy(now);
    }
}

template <class Predicate>
void relay::check_copies(Predicate const& matches)
{
    if (current_ && current_->copy && !current_->copy_lost &&
        matches(*current_->copy))
    {
        check_copy(*current_->copy);
    }
    if (replacement_ && matches(replacement_->to))
    {
        check_copy(replacement_->to);
    }
}

void relay::on_domain_suspected(domain_id const& domain)
{
    check_copies([&](directory::listed_target const& it)
                 { return it.domain == domain; });
}

void relay::on_target_suspected(target_id const& id)
{
    check_copies([&](directory::listed_target const& it)
                 { return it.id == id; });
}

void relay::check_copy(directory::listed_target const& target)
{
    host_.prober.probe(target.address,
                       [self = weak_from_this(), id = target.id](bool alive)
                       {
                           auto const it = self.lock();
                           if (it && !alive && !it->host_.own_link.down() &&
                               !it->path_lost())
                           {
                               it->on_target_lost(id, net::event_loop::now());
                           }
                       });
}

void relay::ensure_copy(time_point now)
{
    auto const& engine = admitted_.service->engine;
    auto const needed =
        current_ && current_->has_event && current_->copy_lost && !replacement_;
    if (!needed || !engine || !engine->supports_copy_on_demand ||
        copy_requests_ >= max_copy_requests)
    {
        return;
    }
    host_.update_limits(admitted_.service->id, now);
    auto const to = dispatch::place_copy(view(), placement(now),
                                         current_->target, now, host_.random);
    if (!to)
    {
        copy_timer_ = host_.loop.after(
            copy_retry_pause, [this] { ensure_copy(net::event_loop::now()); });
        return;
    }
    replacement_.emplace();
    replacement_->to = *to;
    host_.loads.copy_added(to->id, metadata_.size);
    request_copy(now);
}

void relay::request_copy(time_point now)
{
    ++copy_requests_;
    replacement_->requested_at = now;
    replacement_->call = std::make_unique<http1::fetch>(
        host_.loop, current_->target.address,
        host_.wire.make_copy_request({metadata_.id, replacement_->to.address}),
        copy_timeout,
        [this](std::optional<net::http_response> const& response, bool)
        { on_copy_result(response, net::event_loop::now()); },
        http1::max_control_answer, current_->path.path);
}

void relay::on_copy_result(std::optional<net::http_response> const& it,
                           time_point now)
{
    if (it && host_.wire.states_leaving(it->headers))
    {
        on_target_leaving(host_, current_->target, now);
    }
    auto const name = it ? host_.wire.read_copy_name(*it) : std::nullopt;
    log::write(log::level::info, name ? "stream_copied" : "stream_not_copied",
               {{"request", metadata_.id.value()},
                {"from", current_->target.id.value()},
                {"to", replacement_->to.id.value()},
                {"status", it ? std::to_string(it->status) : "none"},
                {"took_ms", milliseconds(now - replacement_->requested_at)}});
    if (name)
    {
        replacement_->name = name;
        auto const lifetime = admitted_.service->engine->copy_lifetime;
        copy_timer_ =
            host_.loop.after(part_of(lifetime, renewal_fraction),
                             [this]
                             {
                                 if (replacement_)
                                 {
                                     request_copy(net::event_loop::now());
                                 }
                             });
        return;
    }
    // This runs inside the call's handler, so destroy the call later.
    host_.loop.post([held = std::shared_ptr<http1::fetch>{
                         std::move(replacement_->call)}] {});
    drop_replacement();
    copy_timer_ = host_.loop.after(copy_retry_pause, [this]
                                   { ensure_copy(net::event_loop::now()); });
}

void relay::drop_replacement()
{
    copy_timer_.cancel();
    if (!replacement_)
    {
        return;
    }
    host_.loads.copy_dropped(replacement_->to.id, metadata_.size);
    if (replacement_->name)
    {
        auto const& at = current_->target.address;
        host_.background_calls.start(
            host_.loop, at, host_.wire.make_release(at, *replacement_->name),
            release_timeout);
    }
    replacement_.reset();
}

} // namespace primrosedeal::gateway
