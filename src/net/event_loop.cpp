#include "net/event_loop.hpp"

#include <event2/event.h>
#include <event2/thread.h>

#include <csignal>
#include <ctime>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

// Posted work goes into a locked vector; one event wakes the loop, which
// swaps the vector out and runs it, so a burst costs one wake-up.
namespace primrosedeal::net
{

namespace
{

auto to_timeval(duration it) -> timeval
{
    auto const us = it.count() < 0 ? 0 : it.count();
    constexpr auto per_second = 1'000'000;
    return {us / per_second, us % per_second};
}

} // namespace

struct timer::state
{
    event* ev = nullptr;
    timer* owner = nullptr;
    std::function<void()> work;
    time_point due_at{};
    /// Passes of the loop to wait for once the timer is due.
    int passes_left = 0;

    ~state()
    {
        if (ev != nullptr)
        {
            event_free(ev);
        }
    }
};

timer::timer() = default;

timer::timer(timer&& other) noexcept : state_(std::move(other.state_))
{
    if (state_)
    {
        state_->owner = this;
    }
}

auto timer::operator=(timer&& other) noexcept -> timer&
{
    state_ = std::move(other.state_);
    if (state_)
    {
        state_->owner = this;
    }
    return *this;
}

timer::~timer() = default;

void timer::cancel()
{
    state_.reset();
}

struct event_loop::queue
{
    std::mutex mutex;
    std::vector<std::function<void()>> work;
    event* wake = nullptr;

    void run_all()
    {
        auto taken = std::vector<std::function<void()>>{};
        {
            auto const lock = std::lock_guard{mutex};
            taken.swap(work);
        }
        for (auto& it : taken)
        {
            it();
        }
    }
};

event_loop::event_loop()
    : base_(event_base_new()), queue_(std::make_unique<queue>())
{
    if (base_ == nullptr)
    {
        throw std::runtime_error("libevent: no event base");
    }
    queue_->wake = event_new(
        base_, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* arg)
        { static_cast<queue*>(arg)->run_all(); },
        queue_.get());
}

event_loop::~event_loop()
{
    queue_->work.clear();
    event_free(queue_->wake);
    event_base_free(base_);
}

void event_loop::run()
{
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop()
{
    post([this] { event_base_loopbreak(base_); });
}

void event_loop::post(std::function<void()> work)
{
    {
        auto const lock = std::lock_guard{queue_->mutex};
        queue_->work.push_back(std::move(work));
    }
    event_active(queue_->wake, EV_TIMEOUT, 0);
}

auto event_loop::after(duration delay, std::function<void()> work) -> timer
{
    return after_passes(delay, 0, std::move(work));
}

auto event_loop::after_input(duration delay, std::function<void()> work)
    -> timer
{
    // Input is read in the next pass, and its deferred callbacks may run after
    // the timers of that pass.
    constexpr auto passes = 2;
    return after_passes(delay, passes, std::move(work));
}

auto event_loop::after_passes(duration delay, int passes,
                              std::function<void()> work) -> timer
{
    auto it = timer{};
    it.state_ = std::make_unique<timer::state>();
    it.state_->work = std::move(work);
    it.state_->owner = &it;
    it.state_->due_at = now() + delay;
    it.state_->passes_left = passes;
    auto const fire = [](evutil_socket_t, short, void* arg)
    {
        auto* const self = static_cast<timer::state*>(arg);
        // libevent counts from the start of the pass in which a timer was set,
        // on a coarse clock.
        if (auto const left = self->due_at - now(); left > 0us)
        {
            auto const tv = to_timeval(left);
            event_add(self->ev, &tv);
            return;
        }
        if (self->passes_left > 0)
        {
            --self->passes_left;
            auto const at_once = timeval{};
            event_add(self->ev, &at_once);
            return;
        }
        // The timer is over before its work runs, so the work may re-arm it.
        auto const held = std::exchange(self->owner->state_, nullptr);
        held->work();
    };
    it.state_->ev = event_new(base_, -1, 0, fire, it.state_.get());
    auto const tv = to_timeval(delay);
    event_add(it.state_->ev, &tv);
    return it;
}

auto event_loop::now() -> time_point
{
    // Unlike CLOCK_MONOTONIC, this clock counts the time that the host was
    // suspended, so deadlines that passed meanwhile are seen to have passed.
    auto ts = timespec{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::seconds{ts.tv_sec} +
        std::chrono::nanoseconds{ts.tv_nsec})};
}

auto event_loop::wall_now() -> wall_time
{
    return std::chrono::time_point_cast<std::chrono::seconds>(
        std::chrono::system_clock::now());
}

void initialise_process()
{
    if (std::signal(SIGPIPE, SIG_IGN) == SIG_ERR)
    {
        throw std::runtime_error("cannot ignore SIGPIPE");
    }
    if (evthread_use_pthreads() != 0)
    {
        throw std::runtime_error("libevent: no thread support");
    }
}

struct signal_watch::state
{
    event* ev = nullptr;
    std::function<void()> handler;
};

signal_watch::signal_watch(event_loop& loop, int signal_number,
                           std::function<void()> handler)
    : state_(std::make_unique<state>())
{
    state_->handler = std::move(handler);
    state_->ev = evsignal_new(
        loop.base(), signal_number,
        [](evutil_socket_t, short, void* arg)
        { static_cast<state*>(arg)->handler(); },
        state_.get());
    event_add(state_->ev, nullptr);
}

signal_watch::~signal_watch()
{
    event_free(state_->ev);
}

} // namespace primrosedeal::net
