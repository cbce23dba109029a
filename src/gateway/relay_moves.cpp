#include "gateway/relay.hpp"

#include "log/log.hpp"

// Keeps the copies of running streams. The copy of a stream is given with its
// request, so a stream whose copy is lost gets another one only by going on as
// a new attempt: its memory is copied while it runs, then it is stopped and
// sent on to the copy.
namespace primrosedeal::gateway
{

namespace
{

using dispatch::attempt_failure;

/// A copy of a long prompt takes some ten milliseconds; others may be ahead.
constexpr auto move_timeout = duration{1500ms};
/// Moves tried for one request, and the time between a failed one and the
/// next: a target that has no room may have some soon.
constexpr auto max_moves = 6U;
constexpr auto move_pause = duration{300ms};

} // namespace

void relay::warn_others(directory::listed_target const& lost, time_point now)
{
    host_.just_lost.push_back(lost.id);
    auto const in_doubt = host_.doubts.doubts(lost.domain, now);
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
    if (current_ && current_->copy && current_->copy->id == id &&
        !current_->copy_lost)
    {
        current_->copy_lost = true;
        relocate(now);
    }
}

void relay::on_domain_in_doubt(domain_id const& domain)
{
    if (current_ && current_->copy && current_->copy->domain == domain)
    {
        check_copy();
    }
}

void relay::on_target_in_doubt(target_id const& id)
{
    if (current_ && current_->copy && current_->copy->id == id)
    {
        check_copy();
    }
}

void relay::check_copy()
{
    if (current_->copy_lost)
    {
        return;
    }
    auto const& copy = *current_->copy;
    host_.prober.probe(copy.address,
                       [self = weak_from_this(), id = copy.id](bool alive)
                       {
                           auto const it = self.lock();
                           if (it && !alive)
                           {
                               it->on_target_lost(id, net::event_loop::now());
                           }
                       });
}

void relay::relocate(time_point now)
{
    auto const& engine = admitted_.service->engine;
    if (!engine || !engine->moves_runs || !current_->has_event || relocation_ ||
        moves_ >= max_moves)
    {
        return;
    }
    ++moves_;
    auto const to = dispatch::place_copy(view(), placement(), current_->target,
                                         now, host_.random);
    if (!to)
    {
        return;
    }
    relocation_.emplace();
    relocation_->from = current_->target;
    relocation_->to = *to;
    log::write(log::level::info, "stream_moving",
               {{"request", facts_.id.value()},
                {"from", current_->target.id.value()},
                {"to", to->id.value()},
                {"lost_copy", current_->copy->id.value()}});
    order_move(false);
}

void relay::move_if_unprotected(time_point now)
{
    if (current_ && current_->copy_lost)
    {
        relocate(now);
    }
}

void relay::order_move(bool stop)
{
    auto& it = *relocation_;
    it.stopping = stop;
    it.call = std::make_unique<http1::fetch>(
        host_.loop, it.from.address,
        host_.wire.make_move({facts_.id, it.to.address, stop}), move_timeout,
        [this](std::optional<net::http_response> const& answer, bool)
        { on_moved(answer, net::event_loop::now()); });
}

void relay::on_moved(std::optional<net::http_response> const& it,
                     time_point now)
{
    auto const answer = it ? host_.wire.read_move(*it) : move_answer{};
    if (relocation_->stopping)
    {
        relocation_->answer = answer;
        continue_moved(now);
        return;
    }
    if (!answer.copied)
    {
        log::write(log::level::info, "stream_not_moved",
                   {{"request", facts_.id.value()},
                    {"status", it ? std::to_string(it->status) : "none"}});
        relocation_.reset();
        move_again_ =
            host_.loop.after(move_pause, [this]
                             { move_if_unprotected(net::event_loop::now()); });
        return;
    }
    if (!host_.take_attempt(admitted_.service->id,
                            fleet::attempt_purpose::protection, now))
    {
        relocation_.reset();
        return;
    }
    order_move(true);
}

void relay::continue_moved(time_point now)
{
    auto const stopped = relocation_->stream_ended;
    auto const answer = relocation_->answer;
    if (!answer)
    {
        return;
    }
    if (!answer->handle)
    {
        // The run may go on; if it stopped, its stream's end comes as a loss.
        relocation_.reset();
        if (stopped)
        {
            on_failure(attempt_failure::broken, {}, now);
        }
        return;
    }
    if (!stopped)
    {
        return;
    }
    auto const it = std::move(*relocation_);
    relocation_.reset();
    interrupted_ = true;
    auto const& next = answer->copied ? it.to : it.from;
    if (!host_.targets.takes_new_work(next.id))
    {
        on_failure(attempt_failure::broken, {}, now);
        return;
    }
    auto const memory = kept_copy{it.from.address, *answer->handle};
    leave_target();
    if (answer->copied)
    {
        moved_from_.emplace(it.from, memory);
    }
    send(next, memory, now);
}

} // namespace primrosedeal::gateway
