#pragma once

#include "load/event_parser.hpp"
#include "load/host_picker.hpp"
#include "load/report.hpp"
#include "load/workload.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <functional>
#include <memory>

/// One caller of one generation: reads the stream, checks it, and comes back
/// through another host with what it has when the connection breaks.
namespace primrosedeal::load
{

class generation_caller
{
public:
    /// `began` is the start of the run. `on_done` runs once, last.
    generation_caller(net::event_loop& loop, load_options const& options,
                      planned_call const& call, time_point began,
                      std::function<void()> on_done);
    generation_caller(generation_caller const&) = delete;
    auto operator=(generation_caller const&) -> generation_caller& = delete;

    void start();

    /// Ends the call as failed if it is not over.
    void give_up();

    [[nodiscard]] auto result() const -> generation_result const&
    {
        return result_;
    }

private:
    void connect();
    void take_body(std::string_view bytes);
    void take_event(server_event const& it);
    void take_end(server_event const& it);
    void on_closed(int status);
    void on_refusal(int status);
    void come_back(std::string const& why);
    void note_progress();
    void watch_silence();
    void finish(std::string problem);

    net::event_loop& loop_;
    load_options const& options_;
    planned_generation const& planned_;
    std::string key_;
    time_point began_;
    std::function<void()> on_done_;
    host_picker hosts_;
    answer_check check_;
    generation_result result_;
    event_parser parser_;
    std::string refusal_;
    int status_ = 0;
    bool over_ = false;
    std::optional<time_point> last_token_;
    net::timer silence_;
    net::timer retry_;
    std::unique_ptr<net::http_call> call_;
};

} // namespace primrosedeal::load
