#pragma once

#include "generation/model.hpp"
#include "generation/output_buffer.hpp"
#include "generation/silence.hpp"

#include <optional>
#include <vector>

/// State machine of one generation, from its first attempt to its last token.
///
/// Guarantees for any order of events:
/// - `relay` actions contain every token exactly once, in order, starting at
///   offset `spec.prior_tokens.size()`;
/// - all relayed tokens belong to one generation: a token is accepted only from
///   an active attempt and only at the next offset, and every attempt starts
///   from exactly the tokens accepted before it;
/// - `finish` is the last action and occurs exactly once, unless the caller
///   disconnected.
///
/// The owner performs the actions in order, reports their results as events,
/// and sends `event::timer` at `wake_at()`. Memory: the tokens of the
/// generation and at most two attempts.
namespace primrosedeal::generation
{

class state_machine
{
public:
    state_machine(spec what, resume_policy policy);

    /// Call once, before any event.
    auto start(time_point now) -> std::vector<any_action>;

    /// Returns no actions after the generation has ended.
    auto on_event(any_event const& it, time_point now)
        -> std::vector<any_action>;

    /// When to send `event::timer`; empty if no timer is needed.
    [[nodiscard]] auto wake_at() const -> std::optional<time_point>;

    [[nodiscard]] auto ended() const -> bool
    {
        return ended_;
    }

    [[nodiscard]] auto request() const -> spec const&
    {
        return spec_;
    }

    /// Model version of the output; empty before the first token if the request
    /// did not specify one.
    [[nodiscard]] auto version() const -> model_version const&
    {
        return version_;
    }

private:
    struct attempt
    {
        attempt_id id;
        target_id target;
        model_version version;
        /// Offset of the first token that it generates.
        std::uint64_t first_offset = 0;
        /// Time of its last new token, or of its start if there was none.
        time_point last_progress{};
        bool has_tokens = false;
        std::optional<time_point> probe_deadline;
        bool second_requested = false;
        /// It answered a probe before its first token.
        bool answered_probe = false;
    };

    /// A loss after which output has not continued yet.
    struct unresolved_loss
    {
        retry_reason cause;
        time_point since;
        target_id target;
    };

    void handle(event::target_chosen const& it);
    void handle(event::no_target const& it);
    void handle(event::chunk const& it);
    void handle(event::attempt_finished const& it);
    void handle(event::attempt_lost const& it);
    void handle(event::probe_result const& it);
    void handle(event::timer const& it);
    void handle(event::caller_slow const& it);
    void handle(event::caller_ready const& it);
    void handle(event::caller_disconnected const& it);

    void request_target(std::optional<retry_reason> retry,
                        std::optional<target_id> prefer);
    void check_silence(attempt_id id);
    void start_second(attempt& silent_attempt);
    void on_silent_target(attempt& it);
    void handle_loss(attempt_id id, attempt_loss const& loss);
    void record_failure(attempt const& lost, attempt_loss const& loss);
    void accept_chunk(attempt& from, event::chunk const& it);
    void record_progress(attempt& winner);
    void record_resume(attempt const& by);
    void relay_ready(bool last);
    void complete(std::string const& finish_reason);
    void fail(reason code, std::string text,
              std::optional<duration> retry_after);
    void cancel_all();
    [[nodiscard]] auto tokens_within_limit(event::chunk const& it) const
        -> std::size_t;
    [[nodiscard]] auto end_reached() const -> std::optional<std::string>;
    [[nodiscard]] auto has_output() const -> bool;
    [[nodiscard]] auto silence_limit(attempt const& it) const -> duration;
    [[nodiscard]] auto second_attempt_delay(attempt const& it) const
        -> std::optional<duration>;
    [[nodiscard]] auto next_attempt_cause() const
        -> std::optional<retry_reason>;
    [[nodiscard]] auto may_start_second(attempt const& it) const -> bool;
    [[nodiscard]] auto next_check(attempt const& it) const -> time_point;
    auto find(attempt_id id) -> attempt*;

    spec spec_;
    resume_policy policy_;
    output_buffer output_;
    silence_detector silence_;
    model_version version_;
    std::vector<attempt> attempts_;
    std::vector<target_id> excluded_;
    std::optional<unresolved_loss> loss_;
    std::optional<time_point> next_choice_at_;
    std::uint32_t attempts_started_ = 0;
    std::uint32_t failures_ = 0;
    bool target_requested_ = false;
    bool may_have_run_ = false;
    bool caller_slow_ = false;
    bool ended_ = false;
    /// Time of the event that is being handled.
    time_point now_{};
    std::vector<any_action> actions_;
};

} // namespace primrosedeal::generation
