#pragma once

#include "http1/answer_flow.hpp"
#include "http1/connection_limit.hpp"
#include "http1/memory_task.hpp"
#include "http1/message.hpp"
#include "http1/server.hpp"
#include "http1/server_state.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

/// One client's connection to a server.
namespace primrosedeal::http1
{

class server_connection
    : public std::enable_shared_from_this<server_connection>,
      public accounted_connection
{
public:
    server_connection(server::state& owner, evutil_socket_t fd, bool surplus);

    server_connection(server_connection const&) = delete;
    auto operator=(server_connection const&) -> server_connection& = delete;
    ~server_connection() override;

    [[nodiscard]] auto idle(time_point now) const -> bool;

    /// What decides whether it goes for a further one.
    [[nodiscard]] auto describe() const -> held_connection;

    /// Closes it without a further answer.
    void close_now();

    /// Ends it for a further one, unless its client has just sent something.
    /// Nothing of its request has run.
    auto end_replaced() -> bool;

    /// Nothing of a request has arrived that is not answered.
    [[nodiscard]] auto has_no_request() const -> bool;

    /// The limits change from `former`.
    void keep_sizes(parse_limits const& former);

    void end_unanswered();

    /// The notice answers a request that is on its way.
    void end_idle(end_reason why);

    void end_gently(end_reason why);

    void reply(response_head const& head, std::string_view body, bool close);

    void start(response_head const& head);

    void send(std::string_view bytes);

    void on_flow(std::function<void(bool)> work);

    void check_flow(time_point now) override;

    /// `for_good`: the sender is not stopped again for this answer.
    void resume_flow(bool for_good);

    /// Ends the connection, from the loop, for a client that does not read.
    void give_up() override;

    void finish();

    void abort();

    void on_gone(std::function<void(client_loss)> work);

private:
    static void on_read(bufferevent* /*bev*/, void* arg);

    static void on_output_changed(evbuffer* /*buffer*/,
                                  evbuffer_cb_info const* info, void* arg);

    void stop_counting();

    static void on_written(bufferevent* /*bev*/, void* arg);

    /// Bytes that have been received and not been parsed yet.
    [[nodiscard]] auto unread() const -> std::size_t;

    /// Whether bytes wait in the kernel: they came while the loop was busy.
    [[nodiscard]] auto has_pending_input() const -> bool;

    [[nodiscard]] auto unsent() const -> std::size_t;

    static void on_event(bufferevent* /*bev*/, short what, void* arg);

    void parse();

    /// Reads no further for now if there is no room for more of the request.
    void account_progress();

    [[nodiscard]] auto has_unread() const -> bool override;

    void resume_reading() override;

    void reject_for_memory() override;

    void close_stalled() override;

    /// Has `sizes` hold for what comes next, and none less than before for what
    /// has come already.
    void allow(parse_limits const& sizes);

    void drop(evbuffer* in);

    /// The head has one deadline as a whole; a body must not stop coming.
    void on_progress(bool was_started);

    void reject();

    void refuse_and_end(int status, header_list headers = {});

    void hand_over();

    auto make_exchange() -> std::shared_ptr<exchange>;

    void answered();

    void release();

    /// The client or its connection has gone.
    void lost(client_loss how);

    void write(std::string_view bytes);

    void half_close();

    void close_socket();

    /// Longest time that the client may take for what it sends next.
    [[nodiscard]] auto timeout(time_point now) const -> duration;

    void await_client();

    void arm(duration after);

    void timed_out();

    server::state& owner_;
    memory::connection_number number_;
    answer_flow flow_;
    /// The account has stopped reading for now.
    bool waiting_ = false;
    bufferevent* bev_;
    request_parser parser_;
    /// The largest ones that were in force for the request being read.
    parse_limits sizes_;
    /// Some of the requests that are still to be parsed were there as the
    /// limits changed.
    bool arrived_before_change_ = false;
    net::timer timer_;
    time_point accepted_at_{};
    /// When a head began, or else the last byte.
    time_point waiting_since_{};
    /// When a request began or had got another `least_progress`, and the bytes
    /// that it had then.
    time_point progressed_at_{};
    std::size_t progressed_bytes_ = 0;
    time_point ended_at_{};
    std::uint64_t requests_ = 0;
    std::function<void(client_loss)> gone_;
    /// After the last write, or as the client was last seen to take some.
    std::size_t unsent_left_ = 0;
    /// Its unsent bytes are among those of the server.
    bool counted_ = false;
    /// Further than the server's limit of connections.
    bool surplus_;
    bool answering_ = false;
    /// The head of the answer has been sent.
    bool started_ = false;
    bool keep_alive_ = true;
    bool head_request_ = false;
    bool continued_ = false;
    /// The last head that was sent said that it ends the connection.
    bool announced_ = false;
    /// Bytes of a head waited to be read as its time ended.
    bool head_overdue_ = false;
    bool ending_ = false;
    end_reason end_reason_ = end_reason::last_answer;
    bool drop_reported_ = false;
};

} // namespace primrosedeal::http1
