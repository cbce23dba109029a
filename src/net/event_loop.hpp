#pragma once

#include "core/units.hpp"

#include <functional>
#include <memory>

struct event_base;

/// One libevent loop, the home of one task.
///
/// All sockets and state of a task are touched only on its loop's thread.
/// Other threads reach a task through `post` or a `mailbox`.
namespace primrosedeal::net
{

/// A pending call; destroying it cancels the call.
class timer
{
public:
    timer();
    timer(timer&& other) noexcept;
    auto operator=(timer&& other) noexcept -> timer&;
    ~timer();

    [[nodiscard]] auto pending() const -> bool
    {
        return state_ != nullptr;
    }

    void cancel();

private:
    friend class event_loop;
    struct state;
    std::unique_ptr<state> state_;
};

class event_loop
{
public:
    /// Throws std::runtime_error if libevent cannot make a loop.
    event_loop();
    event_loop(event_loop const&) = delete;
    auto operator=(event_loop const&) -> event_loop& = delete;
    ~event_loop();

    /// Runs until `stop`. Call from one thread.
    void run();

    /// Ends `run`; safe from any thread.
    void stop();

    /// Runs `work` on the loop's thread soon; safe from any thread. Work is
    /// run in the order posted.
    void post(std::function<void()> work);

    /// Runs `work` once after `delay`, no sooner. Only on the loop's thread.
    auto after(duration delay, std::function<void()> work) -> timer;

    /// The same, but input that has arrived by the time the call is due is
    /// handled first. For timeouts of peers: after a pause of this process both
    /// the timeout and the input that it waits for are due.
    auto after_input(duration delay, std::function<void()> work) -> timer;

    /// Monotonic time now.
    static auto now() -> time_point;

    /// Civil time now.
    static auto wall_now() -> wall_time;

    [[nodiscard]] auto base() const -> event_base*
    {
        return base_;
    }

private:
    auto after_passes(duration delay, int passes, std::function<void()> work)
        -> timer;

    struct queue;
    event_base* base_;
    std::unique_ptr<queue> queue_;
};

/// Ignores SIGPIPE and turns on libevent's locks; call once in main before
/// any loop is made.
void initialise_process();

/// Calls `handler` on the loop's thread when `signal_number` arrives.
class signal_watch
{
public:
    signal_watch(event_loop& loop, int signal_number,
                 std::function<void()> handler);
    signal_watch(signal_watch const&) = delete;
    auto operator=(signal_watch const&) -> signal_watch& = delete;
    ~signal_watch();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Typed messages into a task. `send` is safe from any thread; `handler`
/// runs on the task's loop.
template <class Message>
class mailbox
{
public:
    mailbox(event_loop& loop, std::function<void(Message)> handler)
        : loop_(loop), handler_(std::make_shared<std::function<void(Message)>>(
                           std::move(handler)))
    {
    }

    void send(Message it)
    {
        loop_.post([handler = handler_, message = std::move(it)]() mutable
                   { (*handler)(std::move(message)); });
    }

private:
    event_loop& loop_;
    std::shared_ptr<std::function<void(Message)>> handler_;
};

} // namespace primrosedeal::net
