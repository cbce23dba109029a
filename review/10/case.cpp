// The store cuts the watches that wait, once. A replica whose entry is removed
// right after that gets new orders for longer than drainMs.

#include "../standins-2/world.hpp"

using namespace review;

namespace
{

constexpr auto drain = 2000ms;
/// The replica exits this long after its entry was removed.
constexpr auto exit_after = 2400ms;
/// For the way of a request through a machine.
constexpr auto slack = 50ms;
constexpr auto cut_at = 5000ms;
constexpr auto removal_after = 20ms;
constexpr auto length = 10000ms;
constexpr auto gap = 15ms;

auto configuration() -> std::string
{
    return R"({"version":7,"routes":[{"name":"orders","host":"h.example",)"
           R"("pathPrefix":"/orders/","routeKind":"non_idempotent",)"
           R"("timeoutMs":4000,"sloMs":500,"priority":1,"service":"desk",)"
           R"("maxAttempts":2,"public":false,"sticky":false,)"
           R"("resumable":false}],"services":[{"name":"desk",)"
           R"("healthPath":"/healthz","maxConns":110,"protocol":"h1",)"
           R"("tls":false}],"limits":{"maxHeaderBytes":16384,)"
           R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
           R"("idleTimeoutMs":15000},"tenants":[{"name":"t",)"
           R"("apiKeys":["key"],"priority":1}]})";
}

} // namespace

auto main() -> int
{
    auto log = record{"review/10/record.txt"};
    auto const folder = temporary_folder{};
    auto platform = store{"127.0.0.1"};
    platform.put("op/config", configuration());
    auto all = std::vector<std::unique_ptr<replica>>{};
    for (auto i = 1; i <= 4; ++i)
    {
        all.push_back(std::make_unique<replica>(
            log, platform, "i-" + std::to_string(i), "desk",
            std::string(1, static_cast<char>('a' + i % 3)), "127.0.0.1",
            200ms));
    }
    auto& leaver = *all.front();
    auto machines = std::vector<std::unique_ptr<machine>>{};
    for (auto i = 0; i < 3; ++i)
    {
        auto const zone = std::string(1, static_cast<char>('a' + i));
        machines.push_back(std::make_unique<machine>(
            "edge-" + zone + "-1", zone, machine_ip(i), folder.path,
            platform.at()));
        machines.back()->start();
    }
    for (auto const& it : machines)
    {
        if (!it->wait_ready(15s))
        {
            log.say("a machine is not ready");
            return 2;
        }
    }
    std::this_thread::sleep_for(5s);
    log.say("machines ready");

    auto const start = steady::now();
    auto removed_at = std::atomic<steady::rep>{0};
    auto plan = std::thread{
        [&]
        {
            std::this_thread::sleep_until(start + cut_at);
            if (trouble())
            {
                log.say("the watches that wait are cut");
                platform.cut_watches();
            }
            std::this_thread::sleep_until(start + cut_at + removal_after);
            leaver.leave_unreported();
            removed_at = steady::now().time_since_epoch().count();
            std::this_thread::sleep_until(start + cut_at + removal_after +
                                          exit_after);
            leaver.exit();
        }};
    auto mutex = std::mutex{};
    auto status = std::map<std::string, int>{};
    auto threads = std::vector<std::thread>{};
    for (auto i = 0; steady::now() < start + length; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto const id = 'q' + std::to_string(i);
                auto const it =
                    ask(machines[static_cast<std::size_t>(i) % machines.size()]
                            ->front(),
                        "POST /orders/x HTTP/1.1\r\nHost: h.example\r\n"
                        "X-Attempt-Id: " +
                            id +
                            "\r\nX-Deadline-Ms: 4000\r\nAuthorization: "
                            "Bearer key\r\nContent-Length: 5\r\n\r\norder",
                        6s);
                log.line("client " + id + " got " + std::to_string(it.status));
                auto const lock = std::lock_guard{mutex};
                status[id] = it.status;
            });
        std::this_thread::sleep_until(start + gap * (i + 1));
    }
    for (auto& it : threads)
    {
        it.join();
    }
    plan.join();
    auto const removed =
        steady::time_point{steady::duration{removed_at.load()}};
    auto late = 0;
    auto lost = 0;
    for (auto const& it : leaver.arrivals())
    {
        if (it.at > removed + drain + slack)
        {
            ++late;
        }
        lost += it.at > removed && status[it.id] != 200 ? 1 : 0;
    }
    auto served = 0;
    for (auto const& [id, it] : status)
    {
        served += it == 200 ? 1 : 0;
    }
    log.say("requests " + std::to_string(status.size()) + ", served " +
            std::to_string(served) + "; reached the replica later than drainMs "
            "after its entry was removed: " +
            std::to_string(late) + "; orders there that got no success: " +
            std::to_string(lost));
    log.say(late > 0 ? "BROKEN: DRAIN" : "held");
    return late > 0 ? 1 : 0;
}
