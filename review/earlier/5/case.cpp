// Two of a zone's three gateways are stopped in turn. The balancer goes on using
// them, as fewer than half of the zone's are ready. Are streams cut that they
// took?
#include "../standins/engine.hpp"

using namespace review;

namespace
{

auto const host = std::string{"h.example"};
constexpr auto long_output = 1000; // 200 events of 5 tokens, 30 ms each
constexpr auto long_events = 200;
constexpr auto short_output = 50;

auto configuration() -> std::string
{
    auto out = json{{"version", 3}};
    out["routes"] = {{{"name", "r-say"},
                      {"host", host},
                      {"pathPrefix", "/say/"},
                      {"routeKind", "streaming"},
                      {"timeoutMs", 25000},
                      {"sloMs", 1400},
                      {"priority", 1},
                      {"service", "model-bench"},
                      {"maxAttempts", 5},
                      {"public", false},
                      {"sticky", true},
                      {"resumable", false},
                      {"gapSloMs", 700}}};
    out["services"] = {{{"name", "model-bench"},
                        {"healthPath", "/healthz"},
                        {"maxConns", 370},
                        {"engine",
                         {{"slots", 64},
                          {"kvCapacity", 55000},
                          {"kvBytes", 163840},
                          {"linkMbps", 280000.0},
                          {"moves", false},
                          {"backups", false},
                          {"stride", 5},
                          {"handleS", 4.0},
                          {"models", {{{"name", "m"}}}}}}}};
    out["limits"] = {{"maxHeaderBytes", 16384},
                     {"maxBodyBytes", 4194304},
                     {"headerTimeoutMs", 3000},
                     {"idleTimeoutMs", 15000}};
    out["tenants"] = {
        {{"name", "t-one"}, {"apiKeys", {"key-one"}}, {"priority", 1}}};
    return out.dump();
}

auto request(std::string const& id, int output) -> std::string
{
    auto const body = "prompt " + id;
    return "POST /say/s HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: 25000\r\nAuthorization: Bearer key-one\r\n"
           "X-Model: m\r\nX-Token-Usage: 700," +
           std::to_string(output) + "\r\nX-Prefix-Hash: 91bd3f06:200," + id +
           "f:500\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

auto play(int n, char** words) -> int
{
    auto book = record{option(n, words, "--record")};
    auto const folder = option(n, words, "--folder");
    auto const program = option(n, words, "--program");
    auto const trouble = troubled();
    auto log = engine_book{};
    auto platform = store{own_ip(1)};
    platform.put("op/config", configuration());
    auto const zones = std::vector<std::string>{"z-a", "z-a", "z-a", "z-b", "z-c"};
    auto engines = std::vector<std::unique_ptr<engine>>{};
    for (auto i = std::size_t{0}; i < 12; ++i)
    {
        engines.push_back(std::make_unique<engine>(
            platform, book, log, own_ip(10), "i-llm" + std::to_string(i),
            "model-bench", zones[2 + i % 3]));
    }
    auto const ports = choose_ports(own_ip(2));
    auto gateways = std::vector<std::unique_ptr<gateway>>{};
    for (auto i = 0; i < 5; ++i)
    {
        gateways.push_back(std::make_unique<gateway>(
            program, folder, "edge-" + std::to_string(i),
            zones.at(static_cast<std::size_t>(i)), own_ip(2 + i), ports,
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
    pause_ms(4000);

    // Streams with short answers at all gateways.
    auto over = std::atomic<bool>{false};
    auto next = std::atomic<int>{0};
    auto threads = std::vector<std::thread>{};
    for (auto i = 0; i < 5; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                while (!over)
                {
                    auto const& at = *gateways.at(static_cast<std::size_t>(i));
                    ask_once(at.ip(), at.front(),
                             request("a" + std::to_string(next++), short_output),
                             9000);
                    pause_ms(200);
                }
            });
    }
    pause_ms(18000);

    // SIGTERM, one machine after the other, 1.3 s apart.
    auto stopped = std::vector<double>(2, 1e9);
    for (auto i = std::size_t{0}; i < 2; ++i)
    {
        stopped[i] = book.seconds();
        if (trouble)
        {
            gateways[i]->send_signal(SIGTERM);
            book.line("SIGTERM to " + gateways[i]->name());
        }
        pause_ms(i == 0 ? 1300 : 1900);
    }
    // Now two of three are out of rotation for two missed questions: "If fewer
    // than half of a zone's daemons are in rotation, the platform uses all".
    auto sent = std::atomic<int>{0};
    auto refused = std::atomic<int>{0};
    auto whole = std::atomic<int>{0};
    auto cut = std::atomic<int>{0};
    auto other = std::atomic<int>{0};
    for (auto i = 0; i < 24; ++i)
    {
        threads.emplace_back(
            [&, i]
            {
                auto const k = static_cast<std::size_t>(i) % 3;
                auto const& at = *gateways.at(k);
                auto const id = "b" + std::to_string(i);
                auto const from = book.seconds();
                ++sent;
                auto const out =
                    ask_once(at.ip(), at.front(), request(id, long_output), 26000);
                auto events = 0;
                for (auto n = 1; n <= long_events; ++n)
                {
                    events += out.body.find(event_text("/say/s", n)) !=
                                      std::string::npos
                                  ? 1
                                  : 0;
                }
                auto const arrivals = log.arrivals();
                auto const ran = std::any_of(arrivals.begin(), arrivals.end(),
                                             [&](auto const& it)
                                             { return it.id == id; });
                auto const since = k < 2 ? from - stopped[k] : 0;
                auto how = std::string{"other"};
                if (out.status == 200 && out.complete && events == long_events)
                {
                    ++whole;
                    how = "whole";
                }
                else if (out.status == 503 && out.complete && !ran)
                {
                    ++refused;
                    how = "refused";
                }
                else if (trouble && k < 2 && ran && !out.complete && since > 3)
                {
                    ++cut;
                    how = "CUT";
                }
                else
                {
                    ++other;
                }
                char text[200];
                std::snprintf(text, sizeof text,
                              "client   %s at %s, sent %.2f s after its SIGTERM: "
                              "%d, %d of %d events after %.2f s, %s",
                              id.c_str(), at.name().c_str(), since, out.status,
                              events, long_events, book.seconds() - from,
                              how.c_str());
                book.line(text);
            });
        pause_ms(100);
    }
    pause_ms(8000);
    over = true;
    for (auto& it : threads)
    {
        it.join();
    }
    for (auto const& it : gateways)
    {
        if (auto const how = it->end(); !how.empty())
        {
            book.line("process " + it->name() + " ended: " + how);
        }
    }
    book.line(std::to_string(sent) + " long streams were sent: " +
              std::to_string(whole) + " came whole, " + std::to_string(refused) +
              " were refused unread by replicas, " + std::to_string(other) +
              " ended otherwise");
    book.line(std::to_string(cut) +
              " that were sent later than 3 s after the SIGTERM had been passed on "
              "to a replica and were cut by the gateway");
    return cut > 0 ? broken : whole > 0 ? held : could_not_run;
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
