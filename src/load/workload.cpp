#include "load/workload.hpp"

#include "core/random.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>

// Each kind of call has a Poisson stream of arrivals of its own; the streams
// are merged by time.
namespace primrosedeal::load
{

namespace
{

constexpr std::uint64_t prompt_vocabulary = 50000;

auto pick(random_source& random, token_range it) -> std::uint64_t
{
    return it.least + random.below(it.most - it.least + 1);
}

void add_tokens(standins::token_list& to, std::uint64_t n,
                random_source& random)
{
    for (; n > 0; --n)
    {
        to.emplace_back(
            static_cast<std::uint32_t>(random.below(prompt_vocabulary)));
    }
}

auto next_gap(random_source& random, double per_second) -> duration
{
    auto const seconds = -std::log(1.0 - random.unit()) / per_second;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

class planner
{
public:
    explicit planner(load_options const& options)
        : options_(options), random_(options.seed)
    {
        for (auto i = std::uint64_t{0}; i < options.prefixes; ++i)
        {
            add_tokens(prefixes_.emplace_back(), options.prefix_tokens,
                       random_);
        }
    }

    auto plan() -> std::vector<planned_call>
    {
        add(options_.generations, options_.generations_per_second,
            [this] { return generation(); });
        add(options_.orders, options_.orders_per_second,
            [this] { return order(); });
        add(options_.lookups, options_.lookups_per_second,
            [this] { return lookup(); });
        std::stable_sort(calls_.begin(), calls_.end(),
                         [](auto const& a, auto const& b)
                         { return a.at < b.at; });
        for (auto i = std::size_t{0}; i < calls_.size(); ++i)
        {
            calls_[i].index = i;
        }
        return std::move(calls_);
    }

private:
    template <class Make>
    void add(std::uint64_t count, double per_second, Make make)
    {
        auto at = duration{0};
        for (auto i = std::uint64_t{0}; i < count; ++i)
        {
            at += next_gap(random_, per_second);
            auto it = planned_call{};
            it.at = at;
            it.key = options_.keys[random_.below(options_.keys.size())];
            it.what = make();
            calls_.push_back(std::move(it));
        }
    }

    auto generation() -> planned_generation
    {
        auto it = planned_generation{};
        it.is_long = random_.unit() < options_.long_share;
        auto& request = it.request;
        request.model = options_.model;
        request.version = options_.version;
        request.adapter = options_.adapter;
        if (!prefixes_.empty())
        {
            request.prompt = prefixes_[random_.below(prefixes_.size())];
        }
        add_tokens(request.prompt, pick(random_, options_.prompt_tokens),
                   random_);
        // Seeds stay below 2^53, which every JSON reader takes exactly.
        constexpr auto seed_bits = 11U;
        request.seed = random_() >> seed_bits;
        request.max_tokens = pick(random_, it.is_long ? options_.long_output
                                                      : options_.short_output);
        return it;
    }

    auto order() -> planned_order
    {
        return {R"({"last":"size-)" + std::to_string(random_.below(60)) +
                R"("})"};
    }

    auto lookup() -> planned_lookup
    {
        return {"stock/" + std::to_string(random_.below(1000))};
    }

    load_options const& options_;
    random_source random_;
    std::vector<standins::token_list> prefixes_;
    std::vector<planned_call> calls_;
};

} // namespace

auto plan_workload(load_options const& options) -> std::vector<planned_call>
{
    if (options.hosts.empty() || options.keys.empty())
    {
        throw std::invalid_argument(
            "load: at least one entry host and one key were expected");
    }
    return planner{options}.plan();
}

} // namespace primrosedeal::load
