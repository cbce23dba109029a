#pragma once

#include "model_order/model_state.hpp"

/// Gives orders to the engines of one failure domain while it holds the
/// lease, so that they come to have what the configuration declares.
///
/// Promises: no order is sent without a margin on the lease by the clock
/// passed in; nothing is ordered while the key-value service is out; a change
/// never takes a replica away where fewer than the floor would be left. What
/// cannot be promised where targets ignore fencing numbers is in
/// docs/design/model-orders.md.
///
/// How a task uses it: feed events, carry out the actions, and answer each of
/// them by its event. Directly before an order's bytes go to the socket, call
/// `permit_send`; send only if it is true, else drop the order without an
/// event. Feed `timer_due` at `next_timer()`.
namespace primrosedeal::model_order
{

/// Numbers the orders of one process.
using order_serial = strong<struct order_serial_tag, std::uint64_t>;

/// Numbers the read-backs of one process.
using read_serial = strong<struct read_serial_tag, std::uint64_t>;

// ---- events -------------------------------------------------------------

/// This process became the holder. `valid_until` is counted from before the
/// request was sent, so the service keeps the lease at least that long.
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

/// The accepted configuration; an older revision than the last is ignored.
struct declared
{
    desired_state state;
    revision number;
};

struct listed_target
{
    target_id id;
    service_id service;
    /// It gets no orders and does not count as serving.
    bool leaving = false;
};

/// All engines of the failure domain.
struct targets_listed
{
    std::vector<listed_target> targets;
};

/// Answer to `read_state`; empty if the target did not answer.
struct state_read
{
    target_id target;
    read_serial serial;
    std::optional<observed_state> state;
};

enum class order_result
{
    done,
    /// The target loads; the same order, sent again, tells when it is done.
    loading,
    /// The target has seen a later holder's number.
    old_fencing_number,
    /// The target refused for another reason; nothing happened.
    refused,
    /// No answer: the order may have taken effect.
    lost,
};

struct order_answered
{
    target_id target;
    order_serial serial;
    order_result result = order_result::lost;
};

/// Answer to `ask_weights`.
struct weights_answered
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

using event =
    std::variant<lease_acquired, lease_renewed, lease_lost, declared,
                 targets_listed, state_read, order_answered, weights_answered,
                 timer_due, platform_up, platform_down>;

// ---- actions ------------------------------------------------------------

struct read_state
{
    target_id target;
    read_serial serial;
};

struct ask_weights
{
    target_id target;
    load_model what;
};

struct send_order
{
    target_id target;
    model_order order;
    fencing_number number;
    order_serial serial;
};

/// Give the lease back: a later holder was seen.
struct release_lease
{
};

using action = std::variant<read_state, ask_weights, send_order, release_lease>;
using actions = std::vector<action>;

// ---- decisions ----------------------------------------------------------

struct orderer_settings
{
    /// No order is sent with less of the lease left.
    duration lease_margin = 2s;
    /// A new holder's wait before targets that ignore fencing numbers.
    duration guard_time = 10s;
    /// Time between two read-backs of a target that is as declared.
    duration reread = 15s;
    /// Time between two looks at a target that loads or failed.
    duration poll = 1s;
    /// Targets of the failure domain that load at one time.
    std::size_t max_loading = 4;
    /// Shortest time between two loads that begin.
    duration load_interval = 500ms;
};

struct orderer_status
{
    std::size_t targets = 0;
    /// As declared, and confirmed in this term.
    std::size_t settled = 0;
    /// Orders that wait because the floor would be broken.
    std::size_t held_by_floor = 0;
};

class orderer
{
public:
    explicit orderer(orderer_settings settings) : settings_(settings) {}

    auto on_event(event const& it, time_point now) -> actions;

    /// Whether the order may leave at this moment; true at most once for a
    /// serial.
    auto permit_send(target_id const& target, order_serial serial,
                     time_point now) -> bool;

    [[nodiscard]] auto next_timer() const -> std::optional<time_point>;

    [[nodiscard]] auto holds_lease(time_point now) const -> bool;

    [[nodiscard]] auto status() const -> orderer_status;

private:
    struct sent_order
    {
        model_order order;
        order_serial serial;
        bool permitted = false;
    };

    struct record
    {
        service_id service;
        bool leaving = false;
        std::optional<observed_state> seen;
        std::optional<incarnation> started;
        /// Models that an answer of this term said are loaded to the end.
        std::set<model_id> confirmed;
        std::optional<sent_order> sent;
        /// The order to repeat until the target says that it is done.
        std::optional<model_order> unfinished;
        std::optional<read_serial> reading;
        bool asking_weights = false;
        bool weights_granted = false;
        time_point next_read;
        time_point next_try;
    };
    using records = std::map<target_id, record>;

    void on(lease_acquired const& it);
    void on(lease_renewed const& it);
    void on(lease_lost const& it);
    void on(declared const& it);
    void on(targets_listed const& it);
    void on(state_read const& it);
    void on(order_answered const& it);
    void on(weights_answered const& it);
    void on(timer_due const& it);
    void on(platform_up const& it);
    void on(platform_down const& it);

    void begin_term(record& it) const;
    void step();
    void step_target(target_id const& id, record& it);
    void begin_order(target_id const& id, record& it, model_order const& order);
    auto wait_for_weights(target_id const& id, record& it,
                          model_order const& order) -> bool;
    void on_done(record& it, model_order const& order);
    auto wanted_order(record const& it) const -> std::optional<model_order>;
    auto confirming_order(record const& it) const -> std::optional<model_order>;
    auto may_order_to(record const& it) const -> bool;
    auto floor_allows(target_id const& id, record const& it,
                      model_order const& order) const -> bool;
    auto loading() const -> std::size_t;
    static void keep_confirmed(record& it,
                               std::optional<observed_state> const& now_seen);
    static auto is_ready(record const& it, model_id const& model) -> bool;

    orderer_settings settings_;
    std::optional<fencing_number> number_;
    time_point acquired_at_;
    time_point valid_until_;
    bool platform_up_ = true;
    desired_state desired_;
    revision declared_;
    records targets_;
    std::uint64_t next_serial_ = 1;
    time_point next_load_;
    std::size_t held_by_floor_ = 0;
    time_point now_;
    actions out_;
};

} // namespace primrosedeal::model_order
