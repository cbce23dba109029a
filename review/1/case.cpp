// The store comes back from a copy some seconds old (NEWS.md, the drill). Later
// it acknowledges a configuration. Which one do the gateways go by?
#include "../standins/world.hpp"

using namespace review;

namespace
{

auto const host = std::string{"h.example"};

auto route(std::string const& name, std::string const& prefix,
           std::string const& service, int timeout_ms) -> json
{
    return {{"name", name},          {"host", host},
            {"pathPrefix", prefix},  {"routeKind", "idempotent"},
            {"timeoutMs", timeout_ms}, {"sloMs", 300},
            {"priority", 2},         {"service", service},
            {"maxAttempts", 2},      {"public", false}};
}

auto configuration(int version, std::vector<json> const& routes,
                   std::vector<std::string> const& second_keys) -> std::string
{
    auto out = json{{"version", version}, {"routes", routes}};
    out["services"] = {
        {{"name", "desk"}, {"healthPath", "/healthz"}, {"maxConns", 96}},
        {{"name", "stock"}, {"healthPath", "/healthz"}, {"maxConns", 96}}};
    out["limits"] = {{"maxHeaderBytes", 16384},
                     {"maxBodyBytes", 4194304},
                     {"headerTimeoutMs", 3000},
                     {"idleTimeoutMs", 15000}};
    out["tenants"] = {
        {{"name", "t-one"}, {"apiKeys", {"key-one"}}, {"priority", 1}},
        {{"name", "t-two"}, {"apiKeys", second_keys}, {"priority", 1}}};
    return out.dump();
}

auto request(std::string const& path, std::string const& id,
             std::string const& key) -> std::string
{
    return "GET " + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 4000\r\n" +
           "Authorization: Bearer " + key + "\r\n\r\n";
}

auto play(int n, char** words) -> int
{
    auto book = record{option(n, words, "--record")};
    auto const folder = option(n, words, "--folder");
    auto const program = option(n, words, "--program");
    auto const trouble = troubled();
    auto runs = run_book{};
    auto platform = store{own_ip(1)};

    auto const plain = [](int ms)
    {
        return std::vector<json>{route("r-desk", "/desk/", "desk", ms)};
    };
    auto version = 3;
    auto const order = [&](std::string const& text, std::string const& what)
    {
        auto const at = platform.put("op/config", text);
        book.line("operator writes " + what + ": acknowledged at revision " +
                  std::to_string(at));
    };
    order(configuration(version, plain(4000), {"key-two"}), "version 3");

    auto replicas = std::vector<std::unique_ptr<replica>>{};
    for (auto const* const service : {"desk", "stock"})
    {
        for (auto i = 0; i < 3; ++i)
        {
            replicas.push_back(std::make_unique<replica>(
                platform, book, runs, own_ip(10),
                "i-" + std::string{service} + std::to_string(i), service,
                "z-" + std::string(1, static_cast<char>('a' + i))));
        }
    }
    auto const ports = choose_ports(own_ip(2));
    auto gateways = std::vector<std::unique_ptr<gateway>>{};
    auto const zones = std::vector<std::string>{"z-a", "z-a", "z-b", "z-c"};
    for (auto i = 0; i < 4; ++i)
    {
        gateways.push_back(std::make_unique<gateway>(
            program, folder, "edge-" + std::to_string(i), zones.at(i),
            own_ip(2 + i), ports, platform.endpoint(),
            std::vector<std::string>{own_ip(2) + ':' +
                                     std::to_string(ports.control)}));
    }
    for (auto i = 0;; ++i)
    {
        auto const all = std::all_of(gateways.begin(), gateways.end(),
                                     [](auto const& it) { return it->ready(); });
        if (all)
        {
            break;
        }
        if (i == 100)
        {
            book.line("the gateways are not ready");
            return could_not_run;
        }
        pause_ms(100);
    }
    book.line("all gateways are ready");

    auto next = 0;
    auto const ask = [&](gateway const& at, std::string const& path,
                         std::string const& key)
    {
        auto const id = "c" + std::to_string(next++);
        auto const out =
            ask_once(at.ip(), at.front(), request(path, id, key), 5000);
        book.line("client   " + id + " " + path + " with " + key + " at " +
                  at.name() + ": " + std::to_string(out.status) + " " + out.body);
        return out;
    };
    // Hosts that start together settle who watches the store.
    pause_ms(6000);
    for (auto const& it : gateways)
    {
        if (ask(*it, "/desk/a", "key-one").status != 200 ||
            ask(*it, "/desk/a", "key-two").status != 200)
        {
            book.line("the first configuration is not served");
            return could_not_run;
        }
    }

    // The copy that the store will come back from, and some seconds of changes.
    platform.keep_copy();
    book.line("a copy of the store is made at revision " +
              std::to_string(platform.revision()));
    auto newest = std::string{};
    for (auto const ms : {3900, 3800, 3700})
    {
        version += 2;
        newest = configuration(version, plain(ms), {"key-two"});
        order(newest, "version " + std::to_string(version) + " (a time-out)");
        pause_ms(1000);
    }
    if (trouble)
    {
        platform.set_away(true);
        book.line("the store is away");
        pause_ms(1000);
        platform.restore_copy();
        platform.set_away(false);
        book.line("the store is back from the copy, at revision " +
                  std::to_string(platform.revision()) + ", its era is 2");
        // What the operator wrote is written again. The replicas have written
        // nothing since the copy.
        order(newest, "version " + std::to_string(version) + " again");
    }
    // The store is stable, and the machines in touch, contactMs (3 s) later.
    auto const calls = platform.calls();
    pause_ms(8000);
    book.line("calls to the store in 8 s: " +
              std::to_string(platform.calls() - calls));
    for (auto const& it : gateways)
    {
        ask(*it, "/desk/b", "key-one");
    }

    version += 3;
    auto routes = std::vector<json>{route("r-desk", "/desk/", "stock", 4000),
                                    route("r-late", "/late/", "stock", 4000)};
    order(configuration(version, routes, {"key-new"}),
          "version " + std::to_string(version) +
              ": /desk/ goes to stock, /late/ is new, key-two is taken away");
    // configApplyMs is 2 s; maxStretchMs (5 s) doesn't apply, it is waited for.
    pause_ms(8000);

    auto wrong = 0;
    auto asked = 0;
    auto const tell = [&](bool bad, std::string const& what)
    {
        ++asked;
        wrong += bad ? 1 : 0;
        if (bad)
        {
            book.line("BROKEN   " + what);
        }
    };
    for (auto round = 0; round < 6; ++round)
    {
        for (auto const& it : gateways)
        {
            auto const at = " at " + it->name();
            auto const late = ask(*it, "/late/c", "key-one");
            tell(late.status == 404, "404 for a route that is there" + at);
            auto const desk = ask(*it, "/desk/c", "key-one");
            tell(desk.status == 200 &&
                     desk.body.find("by i-desk") != std::string::npos,
                 "run by the old service" + at);
            auto const old_key = ask(*it, "/desk/c", "key-two");
            tell(old_key.status == 200, "run with a dropped key" + at);
            auto const new_key = ask(*it, "/desk/c", "key-new");
            tell(new_key.status == 401, "401 for a key that is there" + at);
        }
        // Other writes go on: the revision passes what the gateways held.
        replicas.front()->write("ready", 100 * round);
        pause_ms(1000);
    }
    for (auto const& it : gateways)
    {
        if (auto const how = it->end(); !how.empty())
        {
            book.line("process " + it->name() + " ended: " + how);
        }
    }
    book.line(std::to_string(wrong) + " of " + std::to_string(asked) +
              " requests, sent 8 s and more after the acknowledgement, were "
              "handled as only an older version allows");
    return wrong > 0 ? broken : held;
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
