#pragma once

#include "core/verdict.hpp"
#include "order/order_key.hpp"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Events that an `order_coordinator` handles and actions that it returns.
namespace primrosedeal::order
{

/// One request of a caller, unique within this process.
using order_request_id = strong<struct order_request_id_tag, std::uint64_t>;

/// Distinguishes a claim from all other claims of the same key.
using claim_nonce = strong<struct claim_nonce_tag, std::uint64_t>;

/// The call that is sent to the target. Immutable once it was requested.
struct target_call
{
    service_id service;
    std::string path;
    std::string body;
    std::string content_type;
};

/// The record of a caller-chosen key in the key-value service. The key of an
/// abandoned claim was not dispatched and never will be.
struct claim_record
{
    process_id owner;
    claim_nonce nonce;
    bool abandoned = false;

    friend auto operator==(claim_record const&, claim_record const&)
        -> bool = default;
};

// ---- events -------------------------------------------------------------

/// A caller, or another host on a caller's behalf, requests an order.
struct order_requested
{
    order_request_id request_id;
    idempotency_key key;
    std::shared_ptr<target_call const> call;
    time_point deadline;
    /// The caller may have sent this key before, so another process may have
    /// run it for an earlier request. While the key-value service is
    /// unavailable, only a request with false can be answered with `not_run`.
    bool repeat = false;
    /// Received from another entry host: it is not forwarded again.
    bool forwarded = false;
};

/// The caller disconnected. Its order continues.
struct caller_disconnected
{
    order_request_id request_id;
};

/// `write_claim` completed. `found` is the record now stored under the key:
/// the new one if it was created, else the existing one.
struct claim_write_completed
{
    idempotency_key key;
    claim_nonce nonce;
    claim_record found;
};

/// `write_claim` got no response: the record may or may not be stored.
struct claim_write_failed
{
    idempotency_key key;
    claim_nonce nonce;
};

/// `read_claim` completed; `found` is empty if there is no record.
struct claim_read_completed
{
    idempotency_key key;
    claim_nonce nonce;
    std::optional<claim_record> found;
};

/// `read_claim` failed.
struct claim_read_failed
{
    idempotency_key key;
    claim_nonce nonce;
};

/// `mark_abandoned` completed: the key now has the abandoned record or that of
/// another claim.
struct abandon_completed
{
    idempotency_key key;
    claim_nonce nonce;
};

/// `mark_abandoned` failed or its response was lost.
struct abandon_failed
{
    idempotency_key key;
    claim_nonce nonce;
};

/// There is no further target to try, and nothing was sent.
struct no_target
{
};

/// No connection was made and no byte of the call was sent.
struct not_connected
{
    target_id target;
};

/// A byte may have been sent, and no complete response was received.
struct call_interrupted
{
};

struct target_response
{
    int status = 0;
    std::string body;
};

using dispatch_result =
    std::variant<no_target, not_connected, call_interrupted, target_response>;

struct dispatch_completed
{
    idempotency_key key;
    attempt_id attempt;
    dispatch_result outcome;
};

/// What a caller receives. `code` is empty if and only if the target responded;
/// `status` and `body` are then its response.
struct reply
{
    verdict ran = verdict::may_have_run;
    std::optional<reason> code;
    int status = 0;
    std::string body;
    /// The body was too large for the outcome cache.
    bool body_dropped = false;
    std::optional<duration> retry_after;
};

/// The owner of a forwarded order replied.
struct forward_completed
{
    order_request_id request_id;
    reply owner_reply;
};

/// The owner could not be reached, or its reply was lost.
struct forward_failed
{
    order_request_id request_id;
};

/// The time returned by `order_coordinator::next_timer` has passed.
struct timer_due
{
};

/// The key-value service became available or unavailable.
struct platform_up
{
};
struct platform_down
{
};

using event =
    std::variant<order_requested, caller_disconnected, claim_write_completed,
                 claim_write_failed, claim_read_completed, claim_read_failed,
                 abandon_completed, abandon_failed, dispatch_completed,
                 forward_completed, forward_failed, timer_due, platform_up,
                 platform_down>;

// ---- actions ------------------------------------------------------------

/// Store `record` under `key` if there is no record; never replace one.
struct write_claim
{
    idempotency_key key;
    claim_record record;
};

struct read_claim
{
    idempotency_key key;
    claim_nonce nonce;
};

/// Store `record` (abandoned) under `key` if there is no record, or if the
/// stored one has the same owner and nonce. Keep the record of another claim.
struct mark_abandoned
{
    idempotency_key key;
    claim_record record;
};

/// Choose a target of `call->service` that is not in `tried`, and send to it
/// if `order_coordinator::permit_send` returns true.
struct dispatch
{
    idempotency_key key;
    attempt_id attempt;
    std::shared_ptr<target_call const> call;
    std::vector<target_id> tried;
    time_point send_before;
};

struct send_reply
{
    order_request_id request_id;
    reply content;
};

/// Send the order to the process that owns it, with
/// `order_requested::forwarded` set.
struct forward
{
    order_request_id request_id;
    idempotency_key key;
    std::shared_ptr<target_call const> call;
    process_id owner;
    time_point deadline;
    bool repeat = false;
};

using action = std::variant<write_claim, read_claim, mark_abandoned, dispatch,
                            send_reply, forward>;
using actions = std::vector<action>;

} // namespace primrosedeal::order
