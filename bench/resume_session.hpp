#pragma once

#include "fleet.hpp"
#include "generation/state_machine.hpp"
#include "retry/budget.hpp"
#include "retry/resume_budget.hpp"
#include "routing/router.hpp"
#include "workload.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// One generation of the resume benchmark: the real machine, router and
/// budget over model engines.
namespace primrosedeal::bench
{

/// Where a resume goes.
enum class resume_kind
{
    /// From nothing, at a random target.
    restart,
    /// Immediately, at a random target.
    random_target,
    latency,
    resource,
};

auto to_string(resume_kind it) -> std::string;
auto policy_of(resume_kind it) -> generation::resume_policy;

struct resume_figures
{
    std::vector<double> latencies;
    std::vector<double> first_tokens;
    std::size_t losses = 0;
    std::size_t failed = 0;
    std::size_t refused = 0;
    std::uint64_t relayed = 0;
};

/// What one entry host knows, and what all share in a run.
struct resume_host
{
    routing::router router{routing::router_settings{}};
    /// Pays for early second attempts.
    retry::budget retries{retry::budget_settings{}};
    retry::resume_budget budget{retry::resume_budget_settings{}};
    std::vector<routing::candidate> targets;
    /// When a target last reported, and last failed a generation.
    std::vector<time_point> heard;
    std::vector<time_point> suspect_since;
    /// Connections older than this are silent.
    time_point silent_before{};
};

struct resume_world
{
    event_queue queue;
    std::unique_ptr<fleet> engines;
    std::vector<resume_host> hosts;
    random_source random{17};
    resume_figures figures;
    resume_kind kind = resume_kind::latency;
    /// First tokens of requests after this count as bystanders'.
    time_point fault_at{};
};

class resume_session : public std::enable_shared_from_this<resume_session>
{
public:
    /// `world` and `item` must outlive the session.
    resume_session(resume_world& world, request const& item, bool poison);

    void start();

private:
    struct connection
    {
        std::uint32_t target = 0;
        std::uint64_t handle = 0;
        time_point opened{};
    };

    void feed(generation::any_event const& it);
    void feed_later(duration delay, generation::any_event it);
    void perform(std::vector<generation::any_action> const& actions);
    void act(generation::action::choose_target const& it);
    void act(generation::action::start_attempt const& it);
    void act(generation::action::cancel_attempt const& it);
    void act(generation::action::relay const& it);
    void act(generation::action::probe const& it);
    void act(generation::action::finish const& it);
    void act(generation::action::target_evidence const& it);
    void act(generation::action::resumed const& it);
    void act(generation::action::chunk_dropped const& /*it*/) {}

    auto choose(generation::action::choose_target const& it)
        -> routing::outcome;
    void connect(attempt_id attempt, std::uint32_t prefix,
                 engine_work const& work);
    /// Tokens before `prefix` are not relayed: a restart makes them again.
    void on_engine(attempt_id attempt, std::uint32_t prefix, engine_event what,
                   std::uint32_t offset);
    void on_timer(time_point at);
    void set_timer();
    void end_attempt(attempt_id attempt);
    auto host() -> resume_host&;
    [[nodiscard]] auto organisation() const -> organisation_id;

    resume_world& world_;
    request const& item_;
    bool poison_;
    generation::state_machine machine_;
    std::map<attempt_id, connection> open_;
    std::optional<time_point> timer_;
    bool had_output_ = false;
    bool broken_with_output_ = false;
};

} // namespace primrosedeal::bench
