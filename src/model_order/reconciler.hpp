#pragma once

#include "model_order/model_state.hpp"

/// Reconciles the engines of one failure domain with the configuration: while
/// it holds the lease, sends commands until the observed state is the desired
/// one.
///
/// Guarantees: no command is sent unless the lease is valid for `lease_margin`
/// more by the clock passed in; no command is sent while the key-value service
/// is unavailable; no command interrupts a replica if fewer ready replicas than
/// the replica floor would remain. docs/design/model-orders.md says what is not
/// guaranteed for targets that ignore fencing numbers.
///
/// Usage: pass events, perform the returned actions, and report the result of
/// each action by its event. Directly before the bytes of a command are passed
/// to the socket, call `permit_send`. If it is false, drop the command without
/// an event. Pass `timer_due` at `next_timer()`.
namespace primrosedeal::model_order
{

/// Numbers the commands of one process.
using command_serial = strong<struct command_serial_tag, std::uint64_t>;

/// Numbers the state reads of one process.
using read_serial = strong<struct read_serial_tag, std::uint64_t>;

// ---- events -------------------------------------------------------------

/// This process became the lease holder. `valid_until` is computed from a time
/// before the request was sent, so the lease does not expire earlier at the
/// service.
struct lease_acquired
{
    fencing_number number;
    time_point valid_until;
};

struct lease_renewed
{
    time_point valid_until;
};

struct lease_lost
{
};

/// The accepted configuration. A revision older than the last is ignored.
struct desired_state_changed
{
    desired_state state;
    revision number;
};

struct listed_target
{
    target_id id;
    service_id service;
    /// It gets no commands and does not count as ready.
    bool leaving = false;
};

/// All engines of the failure domain.
struct targets_updated
{
    std::vector<listed_target> targets;
};

/// Result of `read_state`; `state` is empty if the target did not respond.
struct state_read
{
    target_id target;
    read_serial serial;
    std::optional<observed_state> state;
};

enum class command_result
{
    done,
    /// The target is loading; the response to the same command, sent again,
    /// shows when it is done.
    loading,
    /// The target has received a larger number from a later holder.
    stale_fencing_number,
    /// Rejected for another reason; the command had no effect.
    rejected,
    /// No response: the command may have taken effect.
    no_response,
};

struct command_response
{
    target_id target;
    command_serial serial;
    command_result result = command_result::no_response;
};

/// Result of `request_weights`.
struct weights_response
{
    target_id target;
    bool available = false;
    duration retry_after{};
};

struct timer_due
{
};
struct platform_up
{
};
struct platform_down
{
};

using event = std::variant<lease_acquired, lease_renewed, lease_lost,
                           desired_state_changed, targets_updated, state_read,
                           command_response, weights_response, timer_due,
                           platform_up, platform_down>;

// ---- actions ------------------------------------------------------------

struct read_state
{
    target_id target;
    read_serial serial;
};

struct request_weights
{
    target_id target;
    load_model what;
};

struct send_command
{
    target_id target;
    model_command command;
    fencing_number number;
    command_serial serial;
};

/// Release the lease: a target reported a later holder.
struct release_lease
{
};

using action =
    std::variant<read_state, request_weights, send_command, release_lease>;
using actions = std::vector<action>;

// ---- decisions ----------------------------------------------------------

struct reconciler_settings
{
    /// Remaining validity of the lease below which no command is sent.
    duration lease_margin = 2s;
    /// Time from acquiring the lease to the first command to targets that
    /// ignore fencing numbers. By then, commands of the former holder that were
    /// delayed by less than `lease_margin` plus this time have arrived.
    duration takeover_delay = 10s;
    /// Time between two state reads of a target that responds.
    duration reread_interval = 15s;
    /// Time between two attempts at a target that is loading or has failed.
    duration poll_interval = 1s;
    /// Targets of the failure domain that load at the same time.
    std::size_t max_concurrent_loads = 4;
    /// Minimum time between the starts of two loads.
    duration min_load_interval = 500ms;
};

struct reconciler_status
{
    std::size_t targets = 0;
    /// Targets in the desired state, confirmed in this term.
    std::size_t converged = 0;
    /// Targets whose next command would leave fewer ready replicas than the
    /// replica floor.
    std::size_t held_by_floor = 0;
};

class reconciler
{
public:
    explicit reconciler(reconciler_settings settings) : settings_(settings) {}

    auto on_event(event const& it, time_point now) -> actions;

    /// Whether the command may be sent now; true at most once for each serial.
    auto permit_send(target_id const& target, command_serial serial,
                     time_point now) -> bool;

    [[nodiscard]] auto next_timer() const -> std::optional<time_point>;

    [[nodiscard]] auto holds_lease(time_point now) const -> bool;

    [[nodiscard]] auto status() const -> reconciler_status;

private:
    struct sent_command
    {
        model_command command;
        command_serial serial;
        bool permitted = false;
    };

    struct target_record
    {
        service_id service;
        bool leaving = false;
        std::optional<observed_state> observed;
        std::optional<incarnation> started;
        /// Models that a response of this term confirmed as completely loaded.
        std::set<model_id> confirmed;
        std::optional<sent_command> in_flight;
        /// The command to repeat until the target responds that it is done.
        std::optional<model_command> unfinished;
        std::optional<read_serial> pending_read;
        bool weights_requested = false;
        bool weights_granted = false;
        time_point next_read;
        time_point next_attempt;
    };
    using target_records = std::map<target_id, target_record>;

    void on(lease_acquired const& it);
    void on(lease_renewed const& it);
    void on(lease_lost const& it);
    void on(desired_state_changed const& it);
    void on(targets_updated const& it);
    void on(state_read const& it);
    void on(command_response const& it);
    void on(weights_response const& it);
    void on(timer_due const& it);
    void on(platform_up const& it);
    void on(platform_down const& it);

    void reset_for_term(target_record& it) const;
    void step();
    void step_target(target_id const& id, target_record& it);
    void begin_command(target_id const& id, target_record& it,
                       model_command const& command);
    auto must_wait_for_weights(target_id const& id, target_record& it,
                               model_command const& command) -> bool;
    void on_done(target_record& it, model_command const& command);
    auto choose_command(target_record const& it) const
        -> std::optional<model_command>;
    auto confirming_command(target_record const& it) const
        -> std::optional<model_command>;
    auto may_command(target_record const& it) const -> bool;
    auto keeps_replica_floor(target_id const& id, target_record const& it,
                             model_command const& command) const -> bool;
    auto loading_count() const -> std::size_t;
    static void
    drop_stale_confirmations(target_record& it,
                             std::optional<observed_state> const& latest);
    static auto is_ready(target_record const& it, model_id const& model)
        -> bool;

    reconciler_settings settings_;
    std::optional<fencing_number> fencing_number_;
    time_point acquired_at_;
    time_point valid_until_;
    bool platform_up_ = true;
    desired_state desired_;
    revision desired_revision_;
    target_records targets_;
    std::uint64_t next_serial_ = 1;
    time_point next_load_;
    std::size_t held_by_floor_ = 0;
    time_point now_;
    actions out_;
};

} // namespace primrosedeal::model_order
