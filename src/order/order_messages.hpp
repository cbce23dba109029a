#pragma once

#include "core/verdict.hpp"
#include "order/order_key.hpp"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What goes into an `order_book` and what it asks for.
namespace primrosedeal::order
{

/// One request of a caller, numbered by the task within this process.
using ask_id = strong<struct ask_id_tag, std::uint64_t>;

/// Tells one claim from every other claim of the same key.
using claim_nonce = strong<struct claim_nonce_tag, std::uint64_t>;

/// What is sent to the target. Never changed after it was asked.
struct plain_call
{
    service_id service;
    std::string path;
    std::string body;
    std::string content_type;
};

/// The record of a chosen key in the key-value service. An abandoned claim
/// was never dispatched and never will be.
struct claim_record
{
    process_id owner;
    claim_nonce nonce;
    bool abandoned = false;

    friend auto operator==(claim_record const&, claim_record const&)
        -> bool = default;
};

// ---- events -------------------------------------------------------------

/// A caller, or another host on a caller's behalf, wants the order run.
struct asked
{
    ask_id ask;
    call_key key;
    std::shared_ptr<plain_call const> call;
    time_point deadline;
    /// The caller may have sent this chosen key before, so that an earlier
    /// request may have run it elsewhere. Only with false can a request that
    /// finds the key-value service away be told `not_run`.
    bool repeat = false;
    /// Another entry host handed it over: it is not handed on again.
    bool forwarded = false;
};

/// The caller went away. Its order goes on if it was already asked for.
struct asker_gone
{
    ask_id ask;
};

/// `write_claim` was answered. `found` is the record that stands under the
/// key now, the new one if it was created.
struct claim_answered
{
    call_key key;
    claim_nonce nonce;
    claim_record found;
};

/// The answer to `write_claim` was lost: the record may or may not be there.
struct claim_lost
{
    call_key key;
    claim_nonce nonce;
};

/// `read_claim` was answered; empty if there is no record.
struct claim_read_back
{
    call_key key;
    claim_nonce nonce;
    std::optional<claim_record> found;
};

/// `read_claim` failed.
struct claim_unread
{
    call_key key;
    claim_nonce nonce;
};

/// `mark_abandoned` was answered: a record stands under the key now, the
/// abandoned one or another's.
struct abandon_answered
{
    call_key key;
    claim_nonce nonce;
};

/// `mark_abandoned` failed or its answer was lost.
struct abandon_lost
{
    call_key key;
    claim_nonce nonce;
};

/// No target is left to try, and nothing was sent.
struct no_target
{
};

/// No connection was made and not a byte of the call left this process.
struct not_connected
{
    target_id target;
};

/// A byte may have left, and no whole answer came.
struct broken
{
};

struct target_answer
{
    int status = 0;
    std::string body;
};

using outcome_of_dispatch =
    std::variant<no_target, not_connected, broken, target_answer>;

struct dispatch_outcome
{
    call_key key;
    attempt_id attempt;
    outcome_of_dispatch outcome;
};

/// What a caller is told. `code` is empty if and only if the target answered,
/// and then `status` and `body` are its answer.
struct reply
{
    verdict ran = verdict::may_have_run;
    std::optional<reason> code;
    int status = 0;
    std::string body;
    /// The answer was too large to keep for repeat askers.
    bool body_dropped = false;
    std::optional<duration> retry_after;
};

/// The owner of a forwarded order answered.
struct forward_answered
{
    ask_id ask;
    reply from_owner;
};

/// The owner could not be reached, or its answer was lost.
struct forward_lost
{
    ask_id ask;
};

/// `order_book::next_timer` has come.
struct timer_due
{
};

/// The key-value service answers, or no longer does.
struct platform_up
{
};
struct platform_down
{
};

using event = std::variant<asked, asker_gone, claim_answered, claim_lost,
                           claim_read_back, claim_unread, abandon_answered,
                           abandon_lost, dispatch_outcome, forward_answered,
                           forward_lost, timer_due, platform_up, platform_down>;

// ---- actions ------------------------------------------------------------

/// Create `record` under `key` if there is none; never replace one.
struct write_claim
{
    call_key key;
    claim_record record;
};

struct read_claim
{
    call_key key;
    claim_nonce nonce;
};

/// Leave `record` (abandoned) under `key` if there is none, or if the one
/// there has the same owner and nonce. Another's record stays as it is.
struct mark_abandoned
{
    call_key key;
    claim_record record;
};

/// Choose a target of `call->service` outside `tried`, ask
/// `order_book::permit_send`, and only then send.
struct dispatch
{
    call_key key;
    attempt_id attempt;
    std::shared_ptr<plain_call const> call;
    std::vector<target_id> tried;
    time_point send_before;
};

struct answer
{
    ask_id ask;
    reply what;
};

/// Hand the order to the process that owns it, with `asked::forwarded` set.
struct forward
{
    ask_id ask;
    call_key key;
    std::shared_ptr<plain_call const> call;
    process_id owner;
    time_point deadline;
    bool repeat = false;
};

using action = std::variant<write_claim, read_claim, mark_abandoned, dispatch,
                            answer, forward>;
using actions = std::vector<action>;

} // namespace primrosedeal::order
