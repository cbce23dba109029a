#pragma once

#include "load/host_picker.hpp"
#include "load/report.hpp"
#include "load/workload.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <functional>
#include <memory>

/// One caller of a plain service: an order under a ticket, or a look-up. A
/// call whose answer did not come is asked again through another host, an
/// order under the same ticket.
namespace primrosedeal::load
{

class plain_caller
{
public:
    /// `began` is the start of the run. `on_done` runs once, last.
    plain_caller(net::event_loop& loop, load_options const& options,
                 planned_call const& call, time_point began,
                 std::function<void()> on_done);
    plain_caller(plain_caller const&) = delete;
    auto operator=(plain_caller const&) -> plain_caller& = delete;

    void start();

    /// Ends the call as it stands if it is not over.
    void give_up();

    [[nodiscard]] auto is_order() const -> bool
    {
        return std::holds_alternative<planned_order>(call_.what);
    }

    [[nodiscard]] auto result() const -> call_result const&
    {
        return result_;
    }

private:
    void ask();
    [[nodiscard]] auto request() const -> net::http_request;
    void on_response(net::http_response const& it);
    void on_ticket(net::http_response const& it);
    void on_refusal(net::http_response const& it);
    void ask_again(std::string const& why);
    void finish(call_outcome outcome, std::string problem);

    net::event_loop& loop_;
    load_options const& options_;
    planned_call const& call_;
    time_point began_;
    std::function<void()> on_done_;
    host_picker hosts_;
    call_result result_;
    std::string ticket_;
    /// An order went out under the ticket and its fate is unknown.
    bool sent_ = false;
    bool over_ = false;
    net::timer retry_;
    std::unique_ptr<net::http_call> open_;
};

} // namespace primrosedeal::load
