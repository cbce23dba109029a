// All watches at the store are cut once, as they may be at any time, and a
// replica that never reports `draining` leaves. Requests go on to it later than
// drainMs after that, and are lost as it exits. Rule DRAIN.
#include "../standins/stream_engine.hpp"

#include <iostream>

using namespace review;

namespace
{

constexpr auto drain_s = 2.0;
/// It goes on for drainMs and a little longer, and exits.
constexpr auto exits_after_ms = 2250;

auto play(std::string const& program, std::string const& folder,
          std::string const& file) -> int
{
    auto book = record{file};
    auto platform = store{own_ip(1)};
    auto route = stream_route("r1", "/order/", "desk", false, 2000);
    route["routeKind"] = "non_idempotent";
    route["maxAttempts"] = 1;
    route["sloMs"] = 300;
    route.erase("resumable");
    route.erase("gapSloMs");
    route.erase("sticky");
    auto service = engine_service("desk");
    service.erase("engine");
    platform.put("op/config",
                 configuration(1, json::array({route}), json::array({service})));
    auto runs = run_book{};
    auto replicas = std::vector<std::unique_ptr<replica>>{};
    for (auto i = 0; i < 3; ++i)
    {
        replicas.push_back(std::make_unique<replica>(
            platform, book, runs, own_ip(10 + i), "i-" + std::to_string(i + 1),
            "desk", std::string{"z-"} + char('a' + i)));
        replicas.back()->work_ms = 60;
    }
    auto const gateways = start_gateways(program, folder, platform.endpoint(), 3);
    if (!wait_until_ready(gateways))
    {
        book.line("the gateways are not ready");
        return could_not_run;
    }
    pause_ms(4000);
    auto stop = std::atomic<bool>{false};
    auto lost = std::atomic<int>{0};
    auto served = std::atomic<int>{0};
    auto number = std::atomic<int>{0};
    auto sent_at = std::map<std::string, double>{};
    auto sent_mutex = std::mutex{};
    auto clients = std::vector<std::thread>{};
    for (auto c = 0; c < 12; ++c)
    {
        clients.emplace_back(
            [&, c]
            {
                while (!stop)
                {
                    auto const id = "o" + std::to_string(++number);
                    auto const& host = *gateways.at(c % gateways.size());
                    {
                        auto const lock = std::lock_guard{sent_mutex};
                        sent_at[id] = book.seconds();
                    }
                    auto const it = ask_once(
                        host.ip(), host.front(),
                        "POST /order/new HTTP/1.1\r\nHost: desk.example\r\n"
                        "X-Attempt-Id: " +
                            id +
                            "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer "
                            "key-one\r\nContent-Length: 0\r\n\r\n",
                        3000);
                    served += it.status == 200 ? 1 : 0;
                    if (it.status != 200)
                    {
                        book.line("answer   " + id + ' ' +
                                  std::to_string(it.status) + " from " +
                                  host.name() + ' ' + it.body);
                        lost += it.status == 502 || it.status == 504 ||
                                        it.status == -1
                                    ? 1
                                    : 0;
                    }
                    pause_ms(40);
                }
            });
    }
    pause_ms(3000);
    if (troubled())
    {
        platform.cut_watches();
        book.line("the store cuts all watches once");
        pause_ms(20);
    }
    platform.remove("servers/i-1");
    auto const acknowledged = book.seconds();
    book.line("the entry of i-1 is removed; acknowledged");
    pause_ms(exits_after_ms);
    replicas.front()->end();
    pause_ms(2500);
    stop = true;
    for (auto& it : clients)
    {
        it.join();
    }
    auto late = 0;
    auto latest = 0.0;
    for (auto const& it : runs.all())
    {
        // Taken from the client later than drainMs after the acknowledgement.
        if (it.replica == "i-1" && it.at > acknowledged + drain_s &&
            sent_at.at(it.id) > acknowledged)
        {
            ++late;
            latest = it.at - acknowledged;
            book.line("LATE     " + it.id + " reached i-1 " +
                      std::to_string(it.at - acknowledged) +
                      " s after the acknowledgement");
        }
    }
    auto const text = "requests that reached i-1 later than drainMs: " +
                      std::to_string(late) + ", the last after " +
                      std::to_string(latest) + " s; orders lost: " +
                      std::to_string(lost) + "; served: " + std::to_string(served);
    book.line(text);
    std::cout << text << '\n';
    return late > 0 ? broken : held;
}

} // namespace

auto main(int n, char** words) -> int
try
{
    end_with_children();
    return play(option(n, words, "--program"), option(n, words, "--folder"),
                option(n, words, "--record"));
}
catch (std::exception const& e)
{
    std::cerr << e.what() << '\n';
    return could_not_run;
}
