#include "gateway/relay.hpp"

#include "core/part_of.hpp"
#include "gateway/log_text.hpp"
#include "log/log.hpp"

// Keeps the copies of running streams. The copy that grows with a run is given
// with its request and cannot be replaced. Once it is lost, the memory is
// copied to another target while the run goes on, and copied again before that
// copy expires; the run itself stays where it is, so that no further attempt is
// spent unless its target is lost too.
namespace primrosedeal::gateway
{

namespace
{

/// A copy of a long prompt takes some ten milliseconds; others may be ahead.
constexpr auto copy_timeout = duration{1500ms};
/// Copies asked for in one request, and the time between one that was refused
/// and the next: a target that has no room may have some soon.
constexpr auto max_copies_asked = 12U;
constexpr auto copy_retry_pause = duration{300ms};
/// A copy is brought up to date after this part of its lifetime.
constexpr auto renewal_part = 0.5;
/// Time for a target to free a copy; it expires by itself if that fails.
constexpr auto release_timeout = duration{1s};

} // namespace

void relay::warn_others(directory::listed_target const& lost, time_point now)
{
    host_.just_lost.push_back(lost.id);
    auto const in_doubt = host_.doubts.domain_suspected(lost.domain, now);
    // Relays may end or start another attempt while they are told.
    auto const all = host_.relays;
    for (auto const& [key, it] : all)
    {
        it->on_target_lost(lost.id, now);
        if (in_doubt)
        {
            it->on_domain_in_doubt(lost.domain);
        }
    }
}

void relay::on_target_lost(target_id const& id, time_point now)
{
    if (!current_)
    {
        return;
    }
    auto lost = spare_ && spare_->to.id == id;
    if (lost)
    {
        drop_spare();
    }
    if (current_->copy && current_->copy->id == id && !current_->copy_lost)
    {
        current_->copy_lost = true;
        lost = true;
    }
    if (lost)
    {
        protect(now);
    }
}

template <class Concerned>
void relay::check_copies(Concerned const& concerned)
{
    if (current_ && current_->copy && !current_->copy_lost &&
        concerned(*current_->copy))
    {
        check_copy(*current_->copy);
    }
    if (spare_ && concerned(spare_->to))
    {
        check_copy(spare_->to);
    }
}

void relay::on_domain_in_doubt(domain_id const& domain)
{
    check_copies([&](directory::listed_target const& it)
                 { return it.domain == domain; });
}

void relay::on_target_in_doubt(target_id const& id)
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
                           if (it && !alive)
                           {
                               it->on_target_lost(id, net::event_loop::now());
                           }
                       });
}

void relay::protect(time_point now)
{
    auto const& engine = admitted_.service->engine;
    auto const needed =
        current_ && current_->has_event && current_->copy_lost && !spare_;
    if (!needed || !engine || !engine->supports_copy_on_demand ||
        copies_asked_ >= max_copies_asked)
    {
        return;
    }
    auto const to = dispatch::place_copy(view(), placement(), current_->target,
                                         now, host_.random);
    if (!to)
    {
        copy_timer_ = host_.loop.after(copy_retry_pause, [this]
                                       { protect(net::event_loop::now()); });
        return;
    }
    spare_.emplace();
    spare_->to = *to;
    host_.loads.copy_added(to->id, facts_.size);
    ask_for_copy(now);
}

void relay::ask_for_copy(time_point now)
{
    ++copies_asked_;
    spare_->asked_at = now;
    spare_->call = std::make_unique<http1::fetch>(
        host_.loop, current_->target.address,
        host_.wire.make_copy_order({facts_.id, spare_->to.address}),
        copy_timeout,
        [this](std::optional<net::http_response> const& answer, bool)
        { on_copied(answer, net::event_loop::now()); });
}

void relay::on_copied(std::optional<net::http_response> const& it,
                      time_point now)
{
    auto const name = it ? host_.wire.read_copied(*it) : std::nullopt;
    log::write(log::level::info, name ? "stream_copied" : "stream_not_copied",
               {{"request", facts_.id.value()},
                {"from", current_->target.id.value()},
                {"to", spare_->to.id.value()},
                {"status", it ? std::to_string(it->status) : "none"},
                {"took_ms", milliseconds(now - spare_->asked_at)}});
    if (name)
    {
        spare_->name = name;
        auto const lifetime = admitted_.service->engine->copy_lifetime;
        copy_timer_ =
            host_.loop.after(part_of(lifetime, renewal_part),
                             [this]
                             {
                                 if (spare_)
                                 {
                                     ask_for_copy(net::event_loop::now());
                                 }
                             });
        return;
    }
    // The call that has just ended is still on the stack.
    host_.loop.post(
        [held = std::shared_ptr<http1::fetch>{std::move(spare_->call)}] {});
    drop_spare();
    copy_timer_ = host_.loop.after(copy_retry_pause,
                                   [this] { protect(net::event_loop::now()); });
}

void relay::drop_spare()
{
    copy_timer_.cancel();
    if (!spare_)
    {
        return;
    }
    host_.loads.copy_dropped(spare_->to.id, facts_.size);
    if (spare_->name)
    {
        auto const& at = current_->target.address;
        host_.errands.start(host_.loop, at,
                            host_.wire.make_release(at, *spare_->name),
                            release_timeout);
    }
    spare_.reset();
}

} // namespace primrosedeal::gateway
