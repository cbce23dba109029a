#pragma once

#include "generation/model.hpp"
#include "generation/silence.hpp"
#include "generation/splice.hpp"

#include <optional>
#include <vector>

/// One generation from its first attempt to its last token.
///
/// Promises, whatever the order of events:
/// - `relay` actions carry every token once, in order, from
///   `spec.already.size()` on;
/// - all relayed tokens continue one generation: a token is taken only from
///   an active attempt, at the next offset, and an attempt starts from
///   exactly the tokens accepted before it;
/// - `finish` is the last action and comes once, unless the caller went.
///
/// The user performs the actions in order, feeds what follows back as events
/// and sends `event::timer` when `wake_at()` has come. Memory: the tokens of
/// the generation and at most two attempts.
namespace primrosedeal::generation
{

class machine
{
public:
    machine(spec what, resume_policy policy);

    /// Call once, before any event.
    auto start(time_point now) -> std::vector<any_action>;

    /// Empty after the end.
    auto on_event(any_event const& it, time_point now)
        -> std::vector<any_action>;

    /// When to send `event::timer`, if at all.
    [[nodiscard]] auto wake_at() const -> std::optional<time_point>;

    [[nodiscard]] auto ended() const -> bool
    {
        return ended_;
    }

    [[nodiscard]] auto request() const -> spec const&
    {
        return spec_;
    }

    /// Version that the output belongs to; empty before the first token if
    /// the caller named none.
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
        /// Offset of its first token.
        std::uint64_t prefix = 0;
        /// Start, or the last time that it brought something new.
        time_point last_heard{};
        bool heard = false;
        std::optional<time_point> probe_ends;
        bool second_asked = false;
        /// It answered a probe and had not begun.
        bool known_alive = false;
    };

    /// Output stopped and has not gone on yet.
    struct open_loss
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
    void handle(event::caller_gone const& it);

    void choose(std::optional<retry_reason> retry,
                std::optional<target_id> prefer);
    void check_silence(attempt_id id);
    void start_second(attempt& beside);
    void on_silent_target(attempt& it);
    void lose(attempt_id id, attempt_loss const& loss);
    void note_failure(attempt const& lost, attempt_loss const& loss);
    void take(attempt& from, event::chunk const& it);
    void win(attempt& winner);
    void note_resumed(attempt const& by);
    void relay_ready(bool last);
    void complete(std::string const& finish_reason);
    void give_up(reason code, std::string text,
                 std::optional<duration> retry_after);
    void cancel_all();
    [[nodiscard]] auto tokens_within_limit(event::chunk const& it) const
        -> std::size_t;
    [[nodiscard]] auto end_reached() const -> std::optional<std::string>;
    [[nodiscard]] auto has_output() const -> bool;
    [[nodiscard]] auto silence_limit(attempt const& it) const -> duration;
    [[nodiscard]] auto second_after(attempt const& it) const
        -> std::optional<duration>;
    [[nodiscard]] auto cause_of_further_attempt() const
        -> std::optional<retry_reason>;
    [[nodiscard]] auto may_start_second(attempt const& it) const -> bool;
    [[nodiscard]] auto next_check(attempt const& it) const -> time_point;
    auto find(attempt_id id) -> attempt*;

    spec spec_;
    resume_policy policy_;
    splice splice_;
    silence_estimate silence_;
    model_version version_;
    std::vector<attempt> attempts_;
    std::vector<target_id> excluded_;
    std::optional<open_loss> loss_;
    std::optional<time_point> choose_at_;
    std::uint32_t attempts_made_ = 0;
    std::uint32_t failures_ = 0;
    bool choosing_ = false;
    bool may_have_run_ = false;
    bool caller_slow_ = false;
    bool ended_ = false;
    /// Valid while an event is handled.
    time_point now_{};
    std::vector<any_action> out_;
};

} // namespace primrosedeal::generation
