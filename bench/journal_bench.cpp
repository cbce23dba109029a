#include "engine_model.hpp"
#include "workload.hpp"

#include <algorithm>
#include <cstdio>

// What a peer's journal of generations older than a threshold costs and saves
// at the size of two years from now, against callers that bring back nothing
// but the id and the last offset. Where callers bring their tokens back, the
// journal saves nothing: the new engine's prefill is the same.

using namespace primrosedeal;
using namespace primrosedeal::bench;

namespace
{

constexpr auto requests_per_second = 2'800.0;
constexpr auto hosts = 360.0;
constexpr auto host_deaths_per_day = 11.0;
constexpr auto seconds_per_day = 86'400.0;
constexpr auto seconds_per_token = 0.07;
/// A token's id and text.
constexpr auto bytes_per_token = 10.0;
constexpr auto bytes_per_prompt_token = 4.0;

struct sums
{
    double journaled_tokens = 0;
    double journaled_prompts = 0;
    double saved_tokens = 0;
    double all_tokens = 0;
};

auto add_up(std::vector<request> const& all, double threshold) -> sums
{
    auto const first = threshold / seconds_per_token;
    auto it = sums{};
    for (auto const& each : all)
    {
        auto const length = static_cast<double>(each.length);
        auto const prompt =
            static_cast<double>(each.prompt->size()) * tokens_per_block;
        it.all_tokens += length;
        if (length <= first)
        {
            continue;
        }
        it.journaled_tokens += length;
        it.journaled_prompts += prompt;
        // Tokens held, over the time that the generation is older.
        it.saved_tokens +=
            (length * length - first * first) / 2 * seconds_per_token;
    }
    return it;
}

} // namespace

auto main() -> int
{
    auto settings = workload_settings{};
    settings.length = 200s;
    settings.requests_per_second = 100;
    auto const all = make_workload(settings);
    auto const scale = requests_per_second / static_cast<double>(all.size());
    std::printf("threshold in s, journal KB/s for each host, tokens saved at "
                "a host's death,\ntokens saved a second in the fleet, KB of "
                "journal for each saved token\n");
    for (auto const threshold : {0.0, 10.0, 30.0, 60.0, 120.0, 240.0})
    {
        auto const it = add_up(all, threshold);
        auto const bytes = (it.journaled_tokens * bytes_per_token +
                            it.journaled_prompts * bytes_per_prompt_token) *
                           scale / hosts;
        auto const per_death = it.saved_tokens * scale / hosts;
        auto const saved = per_death * host_deaths_per_day / seconds_per_day;
        std::printf("%5.0f %8.2f %9.0f %8.2f %8.1f\n", threshold, bytes / 1000,
                    per_death, saved, bytes * hosts / 1000 / saved);
    }
    return 0;
}
