#pragma once

#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "standins/fault.hpp"

#include <functional>
#include <memory>
#include <optional>

/// An HTTP server whose faults are switched by `POST /fault`: die (memory is
/// kept), pause, slow, error_503 and lose_answer. Everything a stand-in
/// without streams of its own needs.
namespace primrosedeal::standins
{

class faulty_server
{
public:
    /// Answers at once, or takes the responder over and returns nothing.
    using handler = std::function<std::optional<net::http_response>(
        net::server_request const&, std::shared_ptr<net::responder> const&)>;

    faulty_server(net::event_loop& loop, handler on_request);
    faulty_server(faulty_server const&) = delete;
    auto operator=(faulty_server const&) -> faulty_server& = delete;
    ~faulty_server();

    /// Listens and returns the port. Throws std::runtime_error.
    auto listen(net::endpoint const& at) -> std::uint16_t;

    void set_fault(fault_order it);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

/// An answer with a JSON body.
auto json_response(int status, std::string body) -> net::http_response;

} // namespace primrosedeal::standins
