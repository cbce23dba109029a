#pragma once

#include "net/event_loop.hpp"
#include "standins/faulty_server.hpp"
#include "standins/key_value_store.hpp"

#include <cstdint>
#include <map>
#include <string>

/// A stand-in key-value service: the etcd v3 JSON gateway over a
/// key_value_store. `GET /calls` tells how many calls of each path came; a
/// waiting watch counts as one. Its memory survives the fault `die`.
namespace primrosedeal::standins
{

class key_value_standin
{
public:
    explicit key_value_standin(net::event_loop& loop);

    /// Listens and returns the port. Throws std::runtime_error.
    auto listen(net::endpoint const& at) -> std::uint16_t;
    void set_fault(fault_order it);

    /// Writes a key as if a call had, without counting one.
    void put(std::string key, std::string value);

    [[nodiscard]] auto calls() const
        -> std::map<std::string, std::uint64_t> const&
    {
        return calls_;
    }

private:
    struct waiting_watch
    {
        key_range keys;
        store_revision next;
        std::shared_ptr<net::responder> to;
    };

    auto answer(net::server_request const& it,
                std::shared_ptr<net::responder> const& to)
        -> std::optional<net::http_response>;
    auto call(net::server_request const& it, time_point now)
        -> net::http_response;
    auto lease_call(net::server_request const& it, time_point now)
        -> net::http_response;
    auto open_watch(net::server_request const& it,
                    std::shared_ptr<net::responder> const& to)
        -> std::optional<net::http_response>;
    void deliver();
    void schedule_expiry();

    net::event_loop& loop_;
    key_value_store store_;
    std::map<std::string, std::uint64_t> calls_;
    std::vector<waiting_watch> watches_;
    net::timer expiry_;
    faulty_server server_;
};

} // namespace primrosedeal::standins
