// A route's traffic is moved from one service to another one by weights. A
// gateway is killed while it relays streams that the first service began, which
// goes on serving. Their clients take them up again at other gateways. How many
// go on?
#include "../standins/engine.hpp"

using namespace review;

namespace
{

auto const host = std::string{"h.example"};
constexpr auto deadline_ms = 25000;
constexpr auto long_output = 2000; // 400 events of 5 tokens, 30 ms each
constexpr auto long_events = 400;

auto service(std::string const& name) -> json
{
    return {{"name", name},
            {"healthPath", "/healthz"},
            {"maxConns", 360},
            {"engine",
             {{"slots", 64},
              {"kvCapacity", 55000},
              {"kvBytes", 163840},
              {"linkMbps", 280000.0},
              {"moves", false},
              {"backups", false},
              {"stride", 5},
              {"handleS", 4.0},
              {"models", {{{"name", "m"}}}}}}};
}

/// The shares of the two services in the route, in percent.
auto configuration(int version, int blue, int green) -> std::string
{
    auto out = json{{"version", version}};
    out["routes"] = {{{"name", "r-brief"},
                      {"host", host},
                      {"pathPrefix", "/brief/"},
                      {"routeKind", "streaming"},
                      {"timeoutMs", 25000},
                      {"sloMs", 4500},
                      {"priority", 1},
                      {"split",
                       {{{"service", "llm-blue"}, {"weight", blue}},
                        {{"service", "llm-green"}, {"weight", green}}}},
                      {"maxAttempts", 5},
                      {"public", false},
                      {"sticky", true},
                      {"resumable", true},
                      {"gapSloMs", 700}}};
    out["services"] = {service("llm-blue"), service("llm-green")};
    out["limits"] = {{"maxHeaderBytes", 16384},
                     {"maxBodyBytes", 4194304},
                     {"headerTimeoutMs", 3000},
                     {"idleTimeoutMs", 15000}};
    out["tenants"] = {
        {{"name", "t-one"}, {"apiKeys", {"key-one"}}, {"priority", 1}}};
    return out.dump();
}

struct ask_of
{
    std::string path, id;
    int shared_tokens, own_tokens, output;
    int left_ms = deadline_ms;
    /// Of a stream that is taken up again.
    std::string resumes;
    int last_event = 0;
};

auto request(ask_of const& it) -> std::string
{
    auto const body = std::string{"prompt of "} + it.path;
    return "POST " + it.path + " HTTP/1.1\r\nHost: " + host +
           "\r\nX-Attempt-Id: " + it.id +
           "\r\nX-Deadline-Ms: " + std::to_string(it.left_ms) +
           "\r\nAuthorization: Bearer key-one\r\nX-Model: m\r\nX-Token-Usage: " +
           std::to_string(it.shared_tokens + it.own_tokens) + "," +
           std::to_string(it.output) + "\r\nX-Prefix-Hash: 91bd3f06:" +
           std::to_string(it.shared_tokens) + "," +
           (it.resumes.empty() ? it.id : it.resumes) + "f:" +
           std::to_string(it.own_tokens) + "\r\n" +
           (it.resumes.empty() ? ""
                               : "Resumes: " + it.resumes +
                                     "\r\nLast-Event-Id: " +
                                     std::to_string(it.last_event) + "\r\n") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Events of a body from `first` on that follow each other.
auto whole_events(std::string const& body, std::string const& path, int first)
    -> int
{
    auto n = 0;
    auto at = std::size_t{0};
    for (;;)
    {
        auto const text = event_text(path, first + n);
        if (body.compare(at, text.size(), text) != 0)
        {
            return n;
        }
        at += text.size();
        ++n;
    }
}

auto play(int n, char** words) -> int
{
    auto book = record{option(n, words, "--record")};
    auto const folder = option(n, words, "--folder");
    auto const program = option(n, words, "--program");
    auto const trouble = troubled();
    // For comparison only: the weights stay.
    auto const moved = std::getenv("NO_MOVE") == nullptr;
    auto log = engine_book{};
    auto platform = store{own_ip(1)};
    platform.put("op/config", configuration(3, 95, 5));
    auto const zones = std::vector<std::string>{"z-a", "z-b", "z-c"};
    auto engines = std::vector<std::unique_ptr<engine>>{};
    for (auto i = std::size_t{0}; i < 24; ++i)
    {
        engines.push_back(std::make_unique<engine>(
            platform, book, log, own_ip(10), "i-llm" + std::to_string(i),
            i % 2 == 0 ? "llm-blue" : "llm-green", zones[i % 3],
            i % 2 == 0 ? "v1" : "v2"));
    }
    auto const ports = choose_ports(own_ip(2));
    auto gateways = std::vector<std::unique_ptr<gateway>>{};
    for (auto i = 0; i < 6; ++i)
    {
        gateways.push_back(std::make_unique<gateway>(
            program, folder, "edge-" + std::to_string(i),
            zones.at(static_cast<std::size_t>(i) % 3), own_ip(2 + i), ports,
            platform.endpoint(),
            std::vector<std::string>{own_ip(2) + ':' +
                                     std::to_string(ports.control)}));
    }
    for (auto i = 0; !std::all_of(gateways.begin(), gateways.end(),
                                  [](auto const& it) { return it->ready(); });
         ++i)
    {
        if (i == 100)
        {
            book.line("the gateways are not ready");
            return could_not_run;
        }
        pause_ms(100);
    }
    pause_ms(8000);

    auto threads = std::vector<std::thread>{};
    // Long streams at the gateway that will be killed.
    constexpr auto streams = 16;
    constexpr auto killed_at_ms = 8000;
    auto broken_off = std::atomic<int>{0};
    auto taken_up = std::atomic<int>{0};
    auto went_on = std::atomic<int>{0};
    auto whole = std::atomic<int>{0};
    for (auto i = 0; i < streams; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto const begun = steady::now();
                auto it = ask_of{"/brief/" + std::to_string(i),
                                 "b" + std::to_string(i), 200, 5000, long_output};
                auto const& at = *gateways[0];
                auto out = ask_once(at.ip(), at.front(), request(it), 26000);
                auto events = whole_events(out.body, it.path, 1);
                book.line("client   " + it.id + " at " + at.name() + ": " +
                          std::to_string(out.status) + ", " +
                          std::to_string(events) + " events, " +
                          (out.complete ? "complete" : "broken off"));
                if (out.complete && events == long_events)
                {
                    ++whole;
                    return;
                }
                ++broken_off;
                // It is taken up on a new connection at another gateway, and
                // after a refusal once more, when that says.
                it.resumes = it.id;
                it.last_event = events;
                ++taken_up;
                for (auto k = std::size_t{0}; k < 2; ++k)
                {
                    it.id = it.resumes + "r" + std::to_string(k);
                    it.left_ms =
                        deadline_ms -
                        static_cast<int>(
                            std::chrono::duration_cast<milliseconds>(
                                steady::now() - begun)
                                .count());
                    auto const& other =
                        *gateways.at(1 + (static_cast<std::size_t>(i) + k) % 5);
                    out = ask_once(other.ip(), other.front(), request(it), 26000);
                    auto const more = whole_events(out.body, it.path, events + 1);
                    auto const all =
                        out.complete && events + more == long_events;
                    went_on += out.status == 200 && more > 0 ? 1 : 0;
                    whole += all ? 1 : 0;
                    book.line(
                        "client   " + it.id + " takes it up behind event " +
                        std::to_string(events) + " of " +
                        std::to_string(long_events) + " at " + other.name() +
                        ": " + std::to_string(out.status) + " " +
                        (out.status == 200 ? "" : out.body) + ", " +
                        std::to_string(more) + " more events, " +
                        (all ? "whole" : "not whole"));
                    if (out.status != 503)
                    {
                        break;
                    }
                    auto const wait = out.headers.find("retry-after");
                    pause_ms(wait == out.headers.end()
                                 ? 20
                                 : static_cast<int>(
                                       std::atof(wait->second.c_str()) * 1000));
                }
            });
    }
    if (moved)
    {
        pause_ms(2000);
        auto const at = platform.put("op/config", configuration(5, 5, 95));
        book.line("operator writes version 5: weights 5 and 95, acknowledged at "
                  "revision " +
                  std::to_string(at));
    }
    pause_ms(killed_at_ms);
    if (trouble)
    {
        book.line("edge-0 is killed");
        gateways[0]->send_signal(SIGKILL);
    }
    // New streams at the other gateways in the same time.
    auto new_asked = std::atomic<int>{0};
    auto new_begun = std::atomic<int>{0};
    for (auto i = 0; i < 15; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto const& at = *gateways.at(1 + static_cast<std::size_t>(i) % 5);
                auto const it = ask_of{"/brief/n" + std::to_string(i),
                                       "n" + std::to_string(i), 200, 5000, 650};
                ++new_asked;
                auto const out = ask_once(at.ip(), at.front(), request(it), 26000);
                new_begun += whole_events(out.body, it.path, 1) > 0 ? 1 : 0;
                book.line("client   " + it.id + " begins at " + at.name() + ": " +
                          std::to_string(out.status) + " " +
                          (out.status == 200 ? "" : out.body));
            });
        pause_ms(100);
    }
    if (trouble)
    {
        pause_ms(1000);
        gateways[0]->restart();
    }
    pause_ms(10000);
    for (auto& it : threads)
    {
        it.join();
    }

    book.line(std::to_string(new_begun) + " of " + std::to_string(new_asked) +
              " new streams began");
    book.line(std::to_string(broken_off) + " of " + std::to_string(streams) +
              " streams broke off; " + std::to_string(went_on) + " of " +
              std::to_string(taken_up) +
              " that were taken up again at gateways in touch went on");
    book.line(std::to_string(whole) + " of " + std::to_string(streams) +
              " streams came whole");
    if (new_begun == 0 || (trouble && taken_up < 12))
    {
        return could_not_run;
    }
    auto const share_on =
        taken_up == 0 ? 1.0 : double(went_on) / double(taken_up);
    auto const share_new = double(new_begun) / double(new_asked);
    return taken_up >= 12 && share_on < share_new / 2 ? broken : held;
}

} // namespace

int main(int n, char** words)
{
    end_with_children();
    try
    {
        return play(n, words);
    }
    catch (std::exception const& e)
    {
        std::fprintf(stderr, "%s\n", e.what());
        return could_not_run;
    }
}
