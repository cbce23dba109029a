// A route with long prompts is added to a deployment whose prompts are short.
// No request of it is ever served. Rule CONFIG.
#include "../standins/stream_engine.hpp"

#include <iostream>

using namespace review;

namespace
{

/// What the rule counts on the routes that were added later.
constexpr auto least_requests = 20;

struct tally
{
    std::atomic<int> sent{0}, served{0};
};

auto play(std::string const& program, std::string const& folder,
          std::string const& file) -> int
{
    auto book = record{file};
    auto platform = store{own_ip(1)};
    auto const first = stream_route("r-first", "/chat/", "llm", true);
    auto const later = stream_route("r-later", "/last-fit/", "llm", true);
    auto const both =
        configuration(2, json::array({first, later}),
                      json::array({engine_service("llm")}));
    // Without the disruption both routes are there from the first version on.
    platform.put("op/config",
                 troubled() ? configuration(1, json::array({first}),
                                            json::array({engine_service("llm")}))
                            : both);
    auto times = stream_times{};
    // Other requests' prompts are read between the tokens.
    times.wait_ms = 25;
    auto runs = stream_book{};
    auto engines = std::vector<std::unique_ptr<stream_engine>>{};
    for (auto i = 0; i < 6; ++i)
    {
        engines.push_back(std::make_unique<stream_engine>(
            platform, book, runs, own_ip(10 + i), "i-" + std::to_string(i + 1),
            "llm", std::string{"z-"} + char('a' + i % 3), "v1", times));
    }
    auto const gateways = start_gateways(program, folder, platform.endpoint(), 2);
    if (!wait_until_ready(gateways))
    {
        book.line("the gateways are not ready");
        return could_not_run;
    }
    pause_ms(1500);
    auto chat = tally{};
    auto early = tally{};
    auto steady = tally{};
    auto added = tally{};
    auto all = std::vector<std::thread>{};
    auto const ask = [&](tally& to, std::string const& path, std::string id,
                         int prompt, int output)
    {
        all.emplace_back(
            [&, path, id = std::move(id), prompt, output]
            {
                auto const& host =
                    *gateways.at(std::hash<std::string>{}(id) % gateways.size());
                ++to.sent;
                book.line("send     " + id + ' ' + path + " to " + host.name() +
                          ", " + std::to_string(prompt) + " tokens in");
                auto const it =
                    ask_once(host.ip(), host.front(),
                             stream_request(path, id, prompt, output, 25000), 26000);
                auto const served = it.status == 200 && it.complete;
                to.served += served ? 1 : 0;
                book.line("answer   " + id + ' ' + std::to_string(it.status) +
                          (it.complete ? " complete " : " NOT COMPLETE ") +
                          (served ? "" : it.body));
            });
    };
    // Each second 4 requests with prompts of 6 tokens and, where the route is
    // there, 12 of the sheet's size: 5,200 tokens.
    auto n = 0;
    auto const play_second = [&](tally& to, tally* long_ones)
    {
        for (auto i = 0; i < 12; ++i)
        {
            ++n;
            if (i % 3 == 0)
            {
                ask(to, "/chat/q", "c" + std::to_string(n), 6, 50);
            }
            if (long_ones != nullptr)
            {
                ask(*long_ones, "/last-fit/q", "f" + std::to_string(n), 5200, 100);
            }
            pause_ms(83);
        }
    };
    for (auto s = 0; s < 20; ++s)
    {
        play_second(chat, troubled() ? nullptr : &early);
    }
    if (troubled())
    {
        auto const at = platform.put("op/config", both);
        book.line("version 2 adds /last-fit/, acknowledged at revision " +
                  std::to_string(at));
    }
    for (auto s = 0; s < 6; ++s)
    {
        play_second(chat, troubled() ? nullptr : &early);
    }
    // Steady state: configApplyMs and contactMs are over.
    for (auto s = 0; s < 15; ++s)
    {
        play_second(steady, &added);
    }
    for (auto& it : all)
    {
        it.join();
    }
    auto const share = [](tally const& it)
    {
        return it.sent == 0 ? 0.0 : double(it.served) / it.sent;
    };
    auto text = "first route " + std::to_string(steady.served) + " of " +
                std::to_string(steady.sent) + ", later route " +
                std::to_string(added.served) + " of " + std::to_string(added.sent);
    book.line("steady state, served: " + text);
    std::cout << text << '\n';
    if (share(steady) < 0.9 || added.sent < least_requests)
    {
        book.line("the first route is not served: the case could not run");
        return could_not_run;
    }
    return share(added) < share(steady) / 4 ? broken : held;
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
