#pragma once

#include "gateway/relay_fixture.hpp"
#include "gateway/tunnel_server.hpp"
#include "net/socket_address.hpp"
#include "standins/raw_target.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Test support: a host, its helpers and targets that answer before they have
/// read an upload, on one loop.
///
/// Load pattern: one upload of some MB at a time, each at a host that has
/// served nothing before.
namespace primrosedeal::gateway
{

using standins::answer_end;
using standins::raw_answer;
using standins::raw_target;
using standins::receive_window;

constexpr auto upload_bytes = std::size_t{2} << 20U;
/// Time for which an upload is left alone that nobody reads.
constexpr auto standstill = duration{50ms};
constexpr auto bad_gateway = 502;

inline auto const signature =
    std::string{platform::names::signature} + ": sig\r\n";
inline auto const head_without_length =
    "HTTP/1.1 200 OK\r\n" + signature + "\r\n";

/// An answer that ends as `how` while its request is not read.
inline auto early(std::string bytes, answer_end how) -> raw_answer
{
    auto out = raw_answer{std::move(bytes), {}, 0, how};
    out.reads_on = false;
    out.end_pause = standstill;
    return out;
}

/// All events that `head` asks for, with a length.
inline auto whole(std::string const& head) -> raw_answer
{
    auto const resumed =
        head.find(std::string{platform::names::last_event_id}) !=
        std::string::npos;
    auto const body = resumed ? event(2) : event(1) + event(2);
    return {"HTTP/1.1 200 OK\r\n" + signature + "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body,
            {},
            0,
            answer_end::stays_open};
}

/// What the targets together do in their n-th run.
using script = std::function<raw_answer(int run, std::string const& head)>;

struct host_with_uploads : one_host
{
    host_with_uploads()
    {
        // A helper through which an answer broke is not asked again at once,
        // as it may have failed itself.
        for (auto const* const id : {"helper", "other-helper"})
        {
            auto it = fleet::digest{};
            it.host = host_id{id};
            it.domain = domain_id{"a"};
            it.sequence = 1;
            host.other_hosts.apply(it, net::event_loop::now());
        }
        host.tunnel_address = [this](host_id const&)
        {
            return std::optional{net::endpoint{"127.0.0.1", helper_port}};
        };
        auto events = tunnel_events{};
        events.lookup = [this](target_id const&)
        {
            return std::optional{net::endpoint{"127.0.0.1", helped->port()}};
        };
        events.admit = []
        {
            return true;
        };
        events.on_closed = [] {
        };
        events.on_opened = [this](target_id const&)
        {
            ++tunnels;
        };
        helper = std::make_unique<tunnel_server>(loop, tunnel_limits{},
                                                 std::move(events));
        helper_port = helper->listen({"127.0.0.1", 0});
    }

    void list_targets(script const& work)
    {
        for (auto i = 0; i < 3; ++i)
        {
            targets.push_back(std::make_unique<raw_target>(
                loop,
                [this, work](std::string const& head)
                { return work(++runs, head); },
                receive_window::small));
            auto const n = std::to_string(i);
            list("t" + n, "d" + n, targets.back()->port());
        }
    }

    /// The host itself reaches no target.
    void list_behind_helper(script const& work)
    {
        helped = std::make_unique<raw_target>(
            loop,
            [this, work](std::string const& head)
            { return work(++runs, head); },
            receive_window::small);
        for (auto const* const n : {"0", "1", "2"})
        {
            list(std::string{"t"} + n, std::string{"d"} + n,
                 raw_target{loop, {}}.port());
        }
        auto const now = net::event_loop::now();
        for (auto const* const id : {"x", "y", "z"})
        {
            host.paths.observe(service, target_id{id}, domain_id{id},
                               reachability::connection_result::refused, now, 3,
                               true, now);
        }
        BOOST_REQUIRE(host.paths.lost(service));
    }

    /// Waits until the targets have seen the ends of all their connections.
    void await_ends()
    {
        run_until(
            [this]
            {
                auto closed = helped ? helped->closed_by_peer() : 0;
                for (auto const& it : targets)
                {
                    closed += it->closed_by_peer();
                }
                return closed == runs;
            });
    }

    [[nodiscard]] auto received() const -> std::vector<std::string>
    {
        auto out = std::vector<std::string>{};
        auto const add = [&](raw_target const& it)
        {
            out.insert(out.end(), it.received().begin(), it.received().end());
        };
        if (helped)
        {
            add(*helped);
        }
        for (auto const& it : targets)
        {
            add(*it);
        }
        return out;
    }

    std::vector<std::unique_ptr<raw_target>> targets;
    std::unique_ptr<raw_target> helped;
    std::unique_ptr<tunnel_server> helper;
    std::uint16_t helper_port = 0;
    int tunnels = 0;
    int runs = 0;
};

enum class way
{
    direct,
    through_helper,
};

struct result : client_view
{
    int runs = 0;
    /// Bytes that the targets read, by connection.
    std::vector<std::string> received;
};

/// What the client of `path` gets, whose request has a body of `size`, from a
/// host that has served nothing before. Targets whose answers `stay_open` see
/// all of what comes to them.
inline auto ask(std::string const& path, std::size_t size, script const& work,
                way by = way::direct, bool stay_open = false) -> result
{
    auto at = host_with_uploads{};
    by == way::direct ? at.list_targets(work) : at.list_behind_helper(work);
    auto out = result{};
    at.send(path, out, {}, std::string(size, 'u'));
    at.run_until([&] { return out.over(); });
    if (stay_open)
    {
        at.await_ends();
    }
    BOOST_TEST((at.tunnels > 0) == (by == way::through_helper));
    out.runs = at.runs;
    out.received = at.received();
    return out;
}

} // namespace primrosedeal::gateway
