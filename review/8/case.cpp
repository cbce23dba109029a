// A machine that the core is cut off from goes on to send orders to a replica
// whose answers have said for seconds that it leaves.

#include "../standins-2/world.hpp"

using namespace review;

namespace
{

constexpr auto drain = 2000ms;
/// How long the replica serves beyond `drain`, before it exits.
constexpr auto beyond = 3000ms;
/// Allowed on top of `drain` for the way of a request through the machine.
constexpr auto slack = 250ms;
constexpr auto cut_at = 3000ms;
constexpr auto cut_length = 12000ms;
constexpr auto leave_at = 4500ms;
constexpr auto length = 20000ms;
constexpr auto gap = 40ms;

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

struct asked
{
    std::string id;
    outcome it;
    std::string replica;
    bool says_leaving = false;
};

} // namespace

auto main() -> int
{
    auto log = record{"review/8/record.txt"};
    auto const folder = temporary_folder{};
    auto platform = store{"127.0.0.1"};
    platform.put("op/config", configuration());
    auto leaver = replica{log, platform, "i-1", "desk", "a", "127.0.0.1", 250ms};
    auto other = replica{log, platform, "i-2", "desk", "a", "127.0.0.1", 250ms};
    auto edge =
        machine{"edge-a-1", "a", machine_ip(0), folder.path, platform.at()};
    edge.start();
    if (!edge.wait_ready(15s))
    {
        log.say("the machine is not ready");
        return 2;
    }
    log.say(std::string{"machine ready; core "} +
            (trouble() ? "is cut off later" : "stays"));

    auto const start = steady::now();
    auto plan = std::thread{
        [&]
        {
            std::this_thread::sleep_until(start + cut_at);
            if (trouble())
            {
                log.say("cut: the machine does not reach the core");
                platform.cut(true);
            }
            std::this_thread::sleep_until(start + leave_at);
            leaver.leave();
            std::this_thread::sleep_until(start + leave_at + drain + beyond);
            leaver.exit();
            std::this_thread::sleep_until(start + cut_at + cut_length);
            if (trouble())
            {
                platform.cut(false);
                log.say("the cut has ended");
            }
        }};
    auto mutex = std::mutex{};
    auto all = std::vector<asked>{};
    auto threads = std::vector<std::thread>{};
    for (auto i = 0; steady::now() < start + length; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto it = asked{"q" + std::to_string(i), {}, {}, false};
                it.it = ask(edge.front(),
                            "POST /orders/x HTTP/1.1\r\nHost: h.example\r\n"
                            "X-Attempt-Id: " +
                                it.id +
                                "\r\nX-Deadline-Ms: 4000\r\nAuthorization: "
                                "Bearer key\r\nContent-Length: 5\r\n\r\norder",
                            6s);
                auto const at = it.it.body.rfind(" at ");
                it.replica =
                    at == std::string::npos ? "" : it.it.body.substr(at + 4);
                for (auto const& each : it.it.headers)
                {
                    it.says_leaving |= same_name(each.name, "Server-Leaving");
                }
                log.line("client " + it.id + " got " +
                         std::to_string(it.it.status) +
                         (it.says_leaving ? " Server-Leaving from " : " from ") +
                         (it.replica.empty() ? "none" : it.replica));
                auto const lock = std::lock_guard{mutex};
                all.push_back(std::move(it));
            });
        std::this_thread::sleep_until(start + gap * (i + 1));
    }
    for (auto& it : threads)
    {
        it.join();
    }
    plan.join();

    // The rule, by what clients and replicas have seen.
    auto told_at = std::optional<steady::time_point>{};
    for (auto const& it : all)
    {
        if (it.says_leaving && (!told_at || it.it.ended_at < *told_at))
        {
            told_at = it.it.ended_at;
        }
    }
    auto sent = std::map<std::string, asked const*>{};
    for (auto const& it : all)
    {
        sent[it.id] = &it;
    }
    auto late = 0;
    auto last = 0.0;
    auto cut_off = 0;
    for (auto const& it : leaver.arrivals())
    {
        auto const found = sent.find(it.id);
        if (!told_at || found == sent.end() ||
            found->second->it.sent_at <= *told_at + drain + slack)
        {
            continue;
        }
        ++late;
        last = std::max(last, to_seconds(it.at - *told_at));
        cut_off += found->second->it.status != 200 ? 1 : 0;
    }
    auto served = 0;
    for (auto const& it : all)
    {
        served += it.it.status == 200 ? 1 : 0;
    }
    if (auto const how = edge.ended())
    {
        log.say("the machine ended by itself: " + *how);
        return 2;
    }
    log.say("requests " + std::to_string(all.size()) + ", served " +
            std::to_string(served));
    log.say("requests sent more than drainMs after the machine had passed on "
            "an answer with Server-Leaving, and run by that replica: " +
            std::to_string(late) + ", the last " + std::to_string(last) +
            " s after it; of these not answered with success: " +
            std::to_string(cut_off));
    if (!told_at && trouble())
    {
        log.say("no answer of the leaving replica was passed on");
        return 2;
    }
    log.say(late > 0 ? "BROKEN: DRAIN" : "held");
    return late > 0 ? 1 : 0;
}
