#pragma once

#include "dispatch/placement.hpp"
#include "gateway/admit.hpp"
#include "gateway/attempt.hpp"
#include "gateway/host_state.hpp"
#include "http1/server.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// One client's request from its arrival to its last byte.
///
/// A plain call is answered with the whole answer of one target. A stream is
/// put together from the events of as many targets as it takes, each going
/// on behind the last event that the client was sent.
namespace primrosedeal::gateway
{

/// A copy of the run's memory that was asked for after the one that grows with
/// the run was lost.
struct spare_copy
{
    directory::listed_target to;
    /// Name of the copy once it is complete.
    std::optional<std::string> name;
    time_point asked_at{};
    std::unique_ptr<http1::fetch> call;
};

/// Where a stream that fails goes on without reading its prompt again.
struct resume_point
{
    directory::listed_target target;
    kept_copy copy;
};

/// The attempt that is under way.
struct running_attempt
{
    directory::listed_target target;
    std::optional<directory::listed_target> copy;
    /// It goes on from a copy of its memory.
    bool warm = false;
    time_point sent_at{};
    /// Its prompt counts as read.
    bool began = false;
    bool has_event = false;
    bool copy_lost = false;
    std::unique_ptr<attempt> io;
};

class relay : public std::enable_shared_from_this<relay>
{
public:
    /// Serves `message`; the relay lives in `host` until its end.
    static void start(host_state& host, http1::request message,
                      std::shared_ptr<http1::exchange> client, time_point now);

    relay(host_state& host, http1::request message,
          std::shared_ptr<http1::exchange> client, time_point now);

    /// `id` is lost, or `domain` has lost several targets: a stream whose copy
    /// may have been there gets another one.
    void on_target_lost(target_id const& id, time_point now);
    void on_domain_in_doubt(domain_id const& domain);
    /// Another host found `id` unreachable.
    void on_target_in_doubt(target_id const& id);
    /// The request has its final answer by `at`, if not before.
    void end_by(time_point at, time_point now);

private:
    void begin(time_point now);
    void refuse(refusal const& it, time_point now);
    /// Sends an answer that is no target's.
    void reply_own(refusal const& it);
    void try_next(time_point now);
    void send(directory::listed_target const& target,
              std::optional<kept_copy> const& from, time_point now);
    [[nodiscard]] auto plan_attempt(directory::listed_target const& target,
                                    std::optional<kept_copy> const& from,
                                    time_point now) -> attempt_plan;
    [[nodiscard]] auto view() const -> dispatch::placement_view;
    [[nodiscard]] auto placement() const -> dispatch::placement_request;
    void on_event(http1::response_head const& head, http1::stream_event it,
                  time_point now);
    void log_continued(duration pause);
    void on_stream_end(time_point now);
    void on_answer(target_answer const& it, time_point now);
    void on_failure(dispatch::attempt_failure how,
                    std::optional<target_answer> answer, time_point now);
    void on_client_gone(time_point now);
    void on_deadline(time_point now);
    void retry_or_end(time_point now);
    void end_unserved(refusal_reason why, int status, time_point now);
    void leave_target();
    [[nodiscard]] auto resume_point_after_failure() const
        -> std::optional<resume_point>;
    /// Tells the other relays of a loss that may concern their copies.
    void warn_others(directory::listed_target const& lost, time_point now);
    /// Probes the targets of the copies for which `concerned` holds.
    template <class Concerned>
    void check_copies(Concerned const& concerned);
    void check_copy(directory::listed_target const& target);
    /// Asks for a spare copy if the stream runs and has none.
    void protect(time_point now);
    void ask_for_copy(time_point now);
    void on_copied(std::optional<net::http_response> const& it, time_point now);
    void drop_spare();
    void finish(std::string_view outcome, int status, time_point now);
    [[nodiscard]] auto streaming() const -> bool;
    /// The stream cannot end in time, even if it is sent now.
    [[nodiscard]] auto hopeless(time_point now) const -> bool;

    host_state& host_;
    http1::request message_;
    std::shared_ptr<http1::exchange> client_;
    client_facts facts_;
    /// Keeps the route alive while a newer configuration is in force.
    std::shared_ptr<routes::route_table const> table_;
    admitted admitted_;
    dispatch::request_state state_;
    time_point arrived_at_{};
    std::optional<running_attempt> current_;
    std::optional<spare_copy> spare_;
    /// Of the last attempt.
    std::optional<resume_point> resume_at_;
    std::vector<target_id> met_;
    std::optional<std::uint64_t> last_event_;
    std::optional<time_point> last_event_at_;
    duration first_event_after_{};
    duration longest_pause_{};
    std::optional<target_answer> error_answer_;
    std::uint32_t attempts_ = 0;
    /// Attempts that reached a target and failed there.
    std::uint32_t arrivals_ = 0;
    /// The present attempt was counted as a further one.
    bool counted_ = false;
    /// The stream has failed and not gone on yet.
    bool interrupted_ = false;
    bool moved_while_reading_ = false;
    std::uint32_t copies_asked_ = 0;
    net::timer copy_timer_;
    net::timer deadline_;
};

} // namespace primrosedeal::gateway
