#include "generation/session.hpp"

#include <utility>

// `choose_target` is always the last action of its event, so its result can be
// fed back immediately. The timer is updated after each event. While tokens
// arrive, its deadline only moves later; the timer is then left to fire early
// and is re-armed.
namespace primrosedeal::generation
{

session::session(net::event_loop& loop, spec what, resume_policy policy,
                 session_callbacks const& callbacks, sink to)
    : loop_(loop), machine_(std::move(what), policy), callbacks_(callbacks),
      sink_(std::move(to))
{
}

session::~session()
{
    while (!attempts_.empty())
    {
        end_attempt(attempts_.begin()->first);
    }
}

void session::start()
{
    perform(machine_.start(net::event_loop::now()));
    arm_timer();
}

void session::caller_slow()
{
    reading_paused_ = true;
    for (auto& [id, it] : attempts_)
    {
        it.stream->pause_reading();
    }
    feed(event::caller_slow{});
}

void session::caller_ready()
{
    if (!std::exchange(reading_paused_, false))
    {
        return;
    }
    for (auto& [id, it] : attempts_)
    {
        it.stream->resume_reading();
    }
    feed(event::caller_ready{});
}

void session::caller_disconnected()
{
    feed(event::caller_disconnected{});
}

void session::feed(any_event const& it)
{
    perform(machine_.on_event(it, net::event_loop::now()));
    arm_timer();
}

void session::perform(std::vector<any_action> const& actions)
{
    for (auto const& it : actions)
    {
        std::visit([this](auto const& a) { perform_one(a); }, it);
    }
}

void session::perform_one(action::choose_target const& it)
{
    auto const answer = callbacks_.choose(machine_.request(), it);
    if (auto const* const found = std::get_if<chosen_target>(&answer))
    {
        endpoints_[found->choice.target] = found->at;
        feed(found->choice);
        return;
    }
    feed(std::get<event::no_target>(answer));
}

void session::perform_one(action::start_attempt const& it)
{
    auto stream = std::make_unique<engine_stream>(
        loop_, endpoints_.at(it.target), machine_.request(), it,
        [this](any_event const& e) { feed(e); });
    if (reading_paused_)
    {
        stream->pause_reading();
    }
    attempts_.emplace(it.attempt, active_attempt{it.target, std::move(stream)});
}

void session::perform_one(action::cancel_attempt const& it)
{
    end_attempt(it.attempt);
}

void session::perform_one(action::relay const& it)
{
    sink_.relay(it);
}

void session::perform_one(action::probe const& it)
{
    constexpr auto max_probe_time = 5s;
    auto const target = it.target;
    probe_ = probe_engine(loop_, endpoints_.at(target), max_probe_time,
                          [this, target](bool answered) {
                              feed(event::probe_result{target, answered});
                          });
}

void session::perform_one(action::finish const& it)
{
    timer_.cancel();
    sink_.finish(it);
}

void session::perform_one(action::target_evidence const& it)
{
    callbacks_.evidence(it.target, it.loss);
}

void session::perform_one(action::resumed const& it)
{
    callbacks_.resumed(it);
}

void session::perform_one(action::chunk_dropped const& it)
{
    callbacks_.dropped(it);
}

void session::arm_timer()
{
    auto const at = machine_.wake_at();
    if (!at)
    {
        timer_.cancel();
        return;
    }
    if (timer_.pending() && timer_at_ <= *at)
    {
        return;
    }
    timer_at_ = *at;
    timer_ = loop_.after(*at - net::event_loop::now(),
                         [this] { feed(event::timer{}); });
}

void session::end_attempt(attempt_id id)
{
    auto node = attempts_.extract(id);
    if (!node.empty())
    {
        callbacks_.attempt_ended(node.mapped().target, machine_.request());
    }
}

} // namespace primrosedeal::generation
