// Streams of a split route are taken up after a machine was killed. Since the
// weights have moved, most are looked for at the other service of the route,
// and refused.

#include "../standins-2/engine.hpp"

using namespace review;

namespace
{

/// Times from the start of traffic.
constexpr auto move_at = 2000ms;
constexpr auto kill_at = 8000ms;
constexpr auto down = 2500ms;
constexpr auto streams = 16;
/// "Clients retry a few times within their deadline".
constexpr auto most_tries = 2;

auto configuration(int version, int first, int second) -> std::string
{
    auto const service = [](std::string const& name)
    {
        return "{\"name\":\"" + name +
               "\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":"
               "\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kvCapacity\":"
               "5500000,\"kvBytes\":163840,\"linkMbps\":280000.0,\"moves\":"
               "false,\"backups\":false,\"stride\":5,\"most\":12,\"pinMs\":"
               "4000.0,\"holdMs\":2000.0,\"handleS\":4.0,\"models\":[{\"name\":"
               "\"m\"}]}}";
    };
    return "{\"version\":" + std::to_string(version) +
           R"(,"routes":[{"name":"briefs","host":"h.example",)"
           R"("pathPrefix":"/briefs/","routeKind":"streaming",)"
           R"("timeoutMs":25000,"sloMs":4500,"priority":1,"split":[)"
           R"({"service":"llm-a","weight":)" +
           std::to_string(first) + R"(},{"service":"llm-b","weight":)" +
           std::to_string(second) +
           R"(}],"maxAttempts":5,"public":false,"sticky":true,)"
           R"("resumable":true,"gapSloMs":700}],"services":[)" +
           service("llm-a") + ',' + service("llm-b") +
           R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"t","apiKeys":["key"],"priority":1}]})";
}

auto request(std::string const& id, std::string const& began_as, int last,
             ms left) -> std::string
{
    auto out = "POST /briefs/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " +
               id + "\r\nX-Deadline-Ms: " + std::to_string(left.count()) +
               "\r\nAuthorization: Bearer key\r\nX-Model: m\r\n"
               "X-Token-Usage: 600,1200\r\nX-Prefix-Hash: aa:200,b" +
               std::to_string(std::hash<std::string>{}(id) % 99999) +
               ":400\r\n";
    if (last > 0)
    {
        out += "Last-Event-Id: " + std::to_string(last) +
               "\r\nResumes: " + began_as + "\r\n";
    }
    return out + "Content-Length: 6\r\n\r\nprompt";
}

} // namespace

auto main() -> int
{
    auto log = record{"review/9/record.txt"};
    auto const folder = temporary_folder{};
    auto platform = store{"127.0.0.1"};
    platform.put("op/config", configuration(7, 95, 5));
    auto replicas = std::vector<std::unique_ptr<engine>>{};
    for (auto i = 0; i < 8; ++i)
    {
        auto its = engine::traits{};
        its.service = i < 4 ? "llm-a" : "llm-b";
        its.zone = i % 2 == 0 ? "a" : "b";
        its.version = i < 4 ? "v1" : "v2";
        its.events = 240;
        its.gap = 50ms;
        replicas.push_back(std::make_unique<engine>(
            log, platform, "i-" + std::to_string(i + 1), its));
        replicas.back()->register_here();
    }
    auto machines = std::vector<std::unique_ptr<machine>>{};
    for (auto i = 0; i < 6; ++i)
    {
        auto const zone = std::string(1, static_cast<char>('a' + i % 3));
        machines.push_back(std::make_unique<machine>(
            "edge-" + std::to_string(i), zone, machine_ip(i), folder.path,
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
    auto plan = std::thread{
        [&]
        {
            std::this_thread::sleep_until(start + move_at);
            log.say("the weights move from 95:5 to 5:95");
            platform.put("op/config", configuration(8, 5, 95));
            std::this_thread::sleep_until(start + kill_at);
            if (trouble())
            {
                log.say("a machine is killed");
                machines.front()->stop();
                std::this_thread::sleep_for(down);
                machines.front()->start();
            }
        }};
    auto mutex = std::mutex{};
    auto taken_up = 0;
    auto went_on = 0;
    auto begun = 0;
    auto complete = 0;
    auto threads = std::vector<std::thread>{};
    for (auto i = 0; i < streams; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto const name = 's' + std::to_string(i);
                auto const deadline = start + 25s;
                auto last = 0;
                auto tries = 0;
                auto done = false;
                auto gone_on = false;
                auto began_as = std::string{};
                std::this_thread::sleep_for(ms{50 * i});
                while (tries <= most_tries && !done && steady::now() < deadline)
                {
                    auto const id = name + '-' + std::to_string(tries);
                    // The first try is at the machine that is killed.
                    auto const& at =
                        *machines[tries == 0
                                      ? 0
                                      : 1 + static_cast<std::size_t>(i + tries) %
                                                (machines.size() - 1)];
                    auto const left = std::chrono::duration_cast<ms>(
                        deadline - steady::now());
                    auto got = stream_attempt{};
                    if (auto const to = connect_to(at.front()))
                    {
                        to->set_timeout(8s);
                        got = read_stream(*to,
                                          request(id, began_as, last, left));
                    }
                    log.line("client " + id + " got " +
                             std::to_string(got.status) + ", last event " +
                             std::to_string(got.last));
                    if (got.last > 0)
                    {
                        began_as = began_as.empty() ? id : began_as;
                        gone_on = gone_on || (tries > 0 && got.last > last);
                        last = got.last;
                    }
                    done = got.complete;
                    ++tries;
                    if (!done && tries > 1)
                    {
                        std::this_thread::sleep_for(
                            std::chrono::duration<double>(
                                got.retry_after.value_or(0.4)));
                    }
                }
                auto const lock = std::lock_guard{mutex};
                taken_up += tries > 1 && last > 0 ? 1 : 0;
                went_on += gone_on ? 1 : 0;
                complete += done ? 1 : 0;
            });
    }
    // New streams at the same machines, while the others are taken up.
    for (auto i = 0; i < streams; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                std::this_thread::sleep_until(start + kill_at + ms{50 * i});
                auto const& at =
                    *machines[1 + static_cast<std::size_t>(i) %
                                      (machines.size() - 1)];
                auto got = stream_attempt{};
                auto const id = 'n' + std::to_string(i);
                if (auto const to = connect_to(at.front()))
                {
                    to->set_timeout(8s);
                    got = read_stream(*to, request(id, {}, 0, 25000ms));
                }
                log.line("client " + id + " got " + std::to_string(got.status) +
                         ", last event " + std::to_string(got.last));
                auto const lock = std::lock_guard{mutex};
                begun += got.last > 0 ? 1 : 0;
            });
    }
    for (auto& it : threads)
    {
        it.join();
    }
    plan.join();
    log.say("streams taken up " + std::to_string(taken_up) + ", went on " +
            std::to_string(went_on) + ", complete " + std::to_string(complete) +
            " of " + std::to_string(streams) + "; new ones begun " +
            std::to_string(begun) + " of " + std::to_string(streams));
    if (!trouble())
    {
        auto const held = taken_up == 0 && complete == streams;
        log.say(held ? "held" : "BROKEN: LOST");
        return held ? 0 : 1;
    }
    constexpr auto least = 12;
    if (taken_up < least)
    {
        log.say("too few streams were taken up");
        return 2;
    }
    auto const share_on = static_cast<double>(went_on) / taken_up;
    auto const share_new = static_cast<double>(begun) / streams;
    auto const broken = share_on < share_new / 2;
    log.say(broken ? "BROKEN: LOST" : "held");
    return broken ? 1 : 0;
}
