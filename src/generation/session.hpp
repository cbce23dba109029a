#pragma once

#include "generation/engine_stream.hpp"
#include "generation/state_machine.hpp"
#include "net/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <variant>

/// Runs a `state_machine` with sockets and timers on one event loop.
namespace primrosedeal::generation
{

/// A target chosen by the router and its address.
struct chosen_target
{
    event::target_chosen choice;
    net::endpoint at;
};

/// Functions that a session calls, all on its event loop.
struct session_callbacks
{
    std::function<std::variant<chosen_target, event::no_target>(
        spec const&, action::choose_target const&)>
        choose;
    /// Called exactly once for every started attempt.
    std::function<void(target_id const&, spec const&)> attempt_ended;
    std::function<void(target_id const&, attempt_loss const&)> evidence;
    std::function<void(action::resumed const&)> resumed;
    std::function<void(action::chunk_dropped const&)> dropped;
};

/// Receives the output of a generation.
struct sink
{
    std::function<void(action::relay const&)> relay;
    /// The last call. The session must not be destroyed inside it, but may be
    /// afterwards.
    std::function<void(action::finish const&)> finish;
};

class session
{
public:
    session(net::event_loop& loop, spec what, resume_policy policy,
            session_callbacks const& callbacks, sink to);
    session(session const&) = delete;
    auto operator=(session const&) -> session& = delete;
    ~session();

    void start();
    void caller_slow();
    void caller_ready();
    void caller_disconnected();

    [[nodiscard]] auto state() const -> state_machine const&
    {
        return machine_;
    }

private:
    struct active_attempt
    {
        target_id target;
        std::unique_ptr<engine_stream> stream;
    };

    void feed(any_event const& it);
    void perform(std::vector<any_action> const& actions);
    void perform_one(action::choose_target const& it);
    void perform_one(action::start_attempt const& it);
    void perform_one(action::cancel_attempt const& it);
    void perform_one(action::relay const& it);
    void perform_one(action::probe const& it);
    void perform_one(action::finish const& it);
    void perform_one(action::target_evidence const& it);
    void perform_one(action::resumed const& it);
    void perform_one(action::chunk_dropped const& it);
    void arm_timer();
    void end_attempt(attempt_id id);

    net::event_loop& loop_;
    state_machine machine_;
    session_callbacks const& callbacks_;
    sink sink_;
    std::map<attempt_id, active_attempt> attempts_;
    std::map<target_id, net::endpoint> endpoints_;
    std::unique_ptr<net::http_call> probe_;
    net::timer timer_;
    time_point timer_at_{};
    bool reading_paused_ = false;
};

} // namespace primrosedeal::generation
