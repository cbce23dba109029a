// All machines are killed while the store comes back from a copy that is a few
// seconds old. Streams that clients take up then go on at replicas of another
// software version than the one that began them.

#include "../standins-2/engine.hpp"

using namespace review;

namespace
{

/// Times from the start of traffic.
constexpr auto second_version_at = 5000ms;
constexpr auto trouble_at = 9000ms;
constexpr auto away = 500ms;
/// From the store's return until replicas write what it lacks again: one
/// heartbeat.
constexpr auto heartbeat = 1200ms;
constexpr auto length = 13000ms;
constexpr auto stream_gap = 120ms;
/// "More than two streams hold events ... of two software versions".
constexpr auto most_mixed = 2;
/// "Clients retry a few times within their deadline".
constexpr auto most_tries = 4;

auto configuration() -> std::string
{
    return R"({"version":7,"routes":[{"name":"briefs","host":"h.example",)"
           R"("pathPrefix":"/briefs/","routeKind":"streaming",)"
           R"("timeoutMs":25000,"sloMs":4500,"priority":1,"service":"llm",)"
           R"("maxAttempts":5,"public":false,"sticky":true,)"
           R"("resumable":true,"gapSloMs":700}],"services":[{"name":"llm",)"
           R"("healthPath":"/healthz","maxConns":370,"protocol":"h1",)"
           R"("tls":false,"engine":{"slots":64,"kvCapacity":5500000,)"
           R"("kvBytes":163840,"linkMbps":280000.0,"moves":false,)"
           R"("backups":false,"stride":5,"most":12,"pinMs":4000.0,)"
           R"("holdMs":2000.0,"handleS":4.0,"models":[{"name":"m"}]}}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"t","apiKeys":["key"],"priority":1}]})";
}

struct stream
{
    std::string id;
    int tries = 0;
    bool complete = false;
    std::set<std::string> versions;
};

auto request(std::string const& id, std::string const& began_as, int last,
             ms left) -> std::string
{
    auto out = "POST /briefs/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " +
               id + "\r\nX-Deadline-Ms: " + std::to_string(left.count()) +
               "\r\nAuthorization: Bearer key\r\nX-Model: m\r\n"
               "X-Token-Usage: 600,500\r\nX-Prefix-Hash: aa:200,b" +
               std::to_string(std::hash<std::string>{}(began_as) % 99999) +
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
    auto log = record{"review/6/record.txt"};
    auto const folder = temporary_folder{};
    auto platform = store{"127.0.0.1"};
    platform.put("op/config", configuration());
    auto replicas = std::vector<std::unique_ptr<engine>>{};
    for (auto i = 0; i < 4; ++i)
    {
        auto its = engine::traits{};
        its.service = "llm";
        its.zone = i % 2 == 0 ? "a" : "b";
        its.version = i < 2 ? "v1" : "v2";
        replicas.push_back(std::make_unique<engine>(
            log, platform, "i-" + std::to_string(i + 1), its));
        if (i < 2)
        {
            replicas.back()->register_here();
        }
    }
    auto machines = std::vector<std::unique_ptr<machine>>{};
    for (auto i = 0; i < 2; ++i)
    {
        auto const zone = std::string{i == 0 ? "a" : "b"};
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
    std::this_thread::sleep_for(4s);
    log.say("machines ready");

    auto const start = steady::now();
    auto plan = std::thread{
        [&]
        {
            std::this_thread::sleep_until(start + second_version_at - 200ms);
            platform.take_copy();
            std::this_thread::sleep_until(start + second_version_at);
            log.say("replicas of version v2 come");
            replicas[2]->register_here();
            replicas[3]->register_here();
            std::this_thread::sleep_until(start + trouble_at);
            if (!trouble())
            {
                return;
            }
            auto const kill = std::getenv("NO_KILL") == nullptr;
            auto const restore = std::getenv("NO_RESTORE") == nullptr;
            log.say("all machines are killed, and the store is away");
            platform.cut(restore);
            for (auto const& it : machines)
            {
                if (kill)
                {
                    it->stop();
                }
            }
            std::this_thread::sleep_for(away);
            for (auto const& it : machines)
            {
                if (kill)
                {
                    it->start();
                }
            }
            if (restore)
            {
                platform.restore_copy();
                platform.cut(false);
            }
            log.say("the store is back from its copy");
            std::this_thread::sleep_for(heartbeat);
            if (restore)
            {
                platform.put("op/config", configuration());
                for (auto const& it : replicas)
                {
                    it->register_here();
                }
            }
            log.say("operator and replicas have written again");
        }};
    auto mutex = std::mutex{};
    auto all = std::vector<stream>{};
    auto threads = std::vector<std::thread>{};
    for (auto i = 0; steady::now() < start + length; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto it = stream{"s" + std::to_string(i), 0, false, {}};
                auto const deadline = steady::now() + 25s;
                auto began_as = std::string{};
                auto last = 0;
                auto to = static_cast<std::size_t>(i);
                while (it.tries < most_tries && !it.complete &&
                       steady::now() < deadline)
                {
                    auto const id = it.id + '-' + std::to_string(++it.tries);
                    auto const left = std::chrono::duration_cast<ms>(
                        deadline - steady::now());
                    auto const from =
                        connect_to(machines[to++ % 2]->front());
                    auto got = stream_attempt{};
                    if (from)
                    {
                        from->set_timeout(5000ms);
                        got = read_stream(*from,
                                          request(id, began_as, last, left));
                    }
                    if (got.last > 0)
                    {
                        began_as = began_as.empty() ? id : began_as;
                        last = got.last;
                        it.versions.insert(got.versions.begin(),
                                           got.versions.end());
                    }
                    it.complete = got.complete;
                    auto text = std::string{};
                    for (auto const& version : got.versions)
                    {
                        text += ' ' + version;
                    }
                    log.line("client " + id + " got " +
                             std::to_string(got.status) + ", last event " +
                             std::to_string(got.last) + ", versions" + text +
                             (got.complete ? ", complete" : ""));
                    if (!it.complete)
                    {
                        std::this_thread::sleep_for(
                            std::chrono::duration<double>(
                                got.retry_after.value_or(0.4)));
                    }
                }
                auto const lock = std::lock_guard{mutex};
                all.push_back(std::move(it));
            });
        std::this_thread::sleep_until(start + stream_gap * (i + 1));
    }
    for (auto& it : threads)
    {
        it.join();
    }
    plan.join();
    auto mixed = 0;
    auto complete = 0;
    auto taken_up = 0;
    for (auto const& it : all)
    {
        complete += it.complete ? 1 : 0;
        taken_up += it.tries > 1 ? 1 : 0;
        if (it.versions.size() > 1)
        {
            ++mixed;
            log.line("stream " + it.id + " holds events of two versions");
        }
    }
    log.say("streams " + std::to_string(all.size()) + ", complete " +
            std::to_string(complete) + ", tried again " +
            std::to_string(taken_up) + ", with events of two versions " +
            std::to_string(mixed));
    log.say(mixed > most_mixed ? "BROKEN: ORDER" : "held");
    return mixed > most_mixed ? 1 : 0;
}
