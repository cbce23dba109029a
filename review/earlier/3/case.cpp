// A request crashes each replica that runs it, and comes again. Replicas start
// again under the id that they had. How often does it reach a replica?
#include "../standins/world.hpp"

using namespace review;

namespace
{

constexpr auto contact_s = 3.0; // contactMs
auto const host = std::string{"h.example"};

auto configuration() -> std::string
{
    auto out = json{{"version", 3}};
    out["routes"] = {{{"name", "r-book"},
                      {"host", host},
                      {"pathPrefix", "/book/"},
                      {"routeKind", "non_idempotent"},
                      {"timeoutMs", 4000},
                      {"sloMs", 300},
                      {"priority", 2},
                      {"service", "booking"},
                      {"maxAttempts", 1},
                      {"public", false}}};
    out["services"] = {
        {{"name", "booking"}, {"healthPath", "/healthz"}, {"maxConns", 96}}};
    out["limits"] = {{"maxHeaderBytes", 16384},
                     {"maxBodyBytes", 4194304},
                     {"headerTimeoutMs", 3000},
                     {"idleTimeoutMs", 15000}};
    out["tenants"] = {
        {{"name", "t-one"}, {"apiKeys", {"key-one"}}, {"priority", 1}},
        {{"name", "t-two"}, {"apiKeys", {"key-two"}}, {"priority", 1}}};
    return out.dump();
}

auto request(std::string const& path, std::string const& id,
             std::string const& key, std::string const& body) -> std::string
{
    return "POST " + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 4000\r\n" +
           "Authorization: Bearer " + key +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

auto play(int n, char** words) -> int
{
    auto book = record{option(n, words, "--record")};
    auto const folder = option(n, words, "--folder");
    auto const program = option(n, words, "--program");
    auto const trouble = troubled();
    auto runs = run_book{};
    auto platform = store{own_ip(1)};
    platform.put("op/config", configuration());
    auto const poison = std::string{"booking of hall 7"};

    auto const zones = std::vector<std::string>{"z-a", "z-b", "z-c"};
    auto replicas = std::vector<std::unique_ptr<replica>>{};
    for (auto i = std::size_t{0}; i < 3; ++i)
    {
        replicas.push_back(std::make_unique<replica>(
            platform, book, runs, own_ip(10), "i-book" + std::to_string(i),
            "booking", zones[i]));
        replicas.back()->work_ms = 60;
        replicas.back()->poison = trouble ? poison : "";
        // For comparison only: a new id at each start.
        replicas.back()->new_ids = std::getenv("NEW_IDS") != nullptr;
    }
    auto const ports = choose_ports(own_ip(2));
    auto gateways = std::vector<std::unique_ptr<gateway>>{};
    for (auto i = 0; i < 4; ++i)
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
    pause_ms(4000);

    // Planned: one of the replicas is emptied and taken away.
    if (std::getenv("KEEP_THIRD") == nullptr) // for comparison only
    {
        replicas[2]->write("draining");
        book.line("i-book2 is draining (scale_in)");
        pause_ms(4000);
        platform.remove("servers/i-book2");
        replicas[2]->end();
        pause_ms(4000);
    }

    // Sound bookings of another caller all the time.
    auto over = std::atomic<bool>{false};
    auto sound = std::atomic<int>{0};
    auto lost = std::atomic<int>{0};
    auto clients = std::vector<std::thread>{};
    for (auto c = 0; c < 4; ++c)
    {
        clients.emplace_back(
            [&, c]
            {
                for (auto i = 0; !over; ++i)
                {
                    auto const id =
                        "s" + std::to_string(c) + "-" + std::to_string(i);
                    auto const& at = *gateways.at(static_cast<std::size_t>(c));
                    auto const out = ask_once(
                        at.ip(), at.front(),
                        request("/book/s", id, "key-one", "sound " + id), 5000);
                    ++sound;
                    auto const ran = [&]
                    {
                        auto const all = runs.all();
                        return std::any_of(all.begin(), all.end(),
                                           [&](auto const& it)
                                           { return it.id == id; });
                    };
                    if (out.status != 200 && ran())
                    {
                        ++lost;
                        book.line("LOST     " + id + " ran, and its client got " +
                                  std::to_string(out.status));
                    }
                    pause_ms(100);
                }
            });
    }
    pause_ms(2000);
    constexpr auto repeats = 14;
    auto sent = std::map<std::string, double>{};
    for (auto i = 0; i < repeats; ++i)
    {
        auto const id = "p" + std::to_string(i);
        auto const& at = *gateways.at(static_cast<std::size_t>(i) % 4);
        sent[id] = book.seconds();
        auto const out = ask_once(at.ip(), at.front(),
                                  request("/book/p", id, "key-two", poison), 5000);
        book.line("client   " + id + " at " + at.name() + ": " +
                  std::to_string(out.status) + " " + out.body);
        pause_ms(5000);
    }
    over = true;
    for (auto& it : clients)
    {
        it.join();
    }

    auto at_replicas = std::vector<run>{};
    for (auto const& it : runs.all())
    {
        if (it.id[0] == 'p')
        {
            at_replicas.push_back(it);
        }
    }
    auto retries = 0;
    if (trouble && at_replicas.size() >= 3)
    {
        auto const third = at_replicas[2].at;
        for (auto const& it : at_replicas)
        {
            retries += sent[it.id] > third + contact_s ? 1 : 0;
        }
    }
    auto crashes = 0;
    for (auto const& it : replicas)
    {
        crashes += it->crashes();
    }
    auto ended = 0;
    for (auto const& it : gateways)
    {
        if (auto const how = it->end(); !how.empty())
        {
            ++ended;
            book.line("process " + it->name() + " ended: " + how);
        }
    }
    book.line("the request was sent " + std::to_string(repeats) +
              " times, reached replicas " + std::to_string(at_replicas.size()) +
              " times and crashed them " + std::to_string(crashes) + " times");
    book.line(std::to_string(retries) +
              " retries reached replicas that were sent later than 3 s after "
              "the third crash; the rule allows 3");
    book.line(std::to_string(lost) + " of " + std::to_string(sound) +
              " sound bookings ran and were lost with their replica");
    if (!trouble && at_replicas.size() != repeats)
    {
        return could_not_run;
    }
    return retries > 3 ? broken : held;
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
