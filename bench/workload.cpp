#include "workload.hpp"

#include <cmath>

namespace primrosedeal::bench
{

namespace
{

constexpr auto service_blocks = 32U;
constexpr auto organisation_blocks = 16U;
constexpr auto min_document_blocks = 64U;
constexpr auto document_spread_blocks = 96U;
constexpr auto min_tail_blocks = 4U;
constexpr auto tail_spread_blocks = 20U;
constexpr auto mean_short_tokens = 220.0;
constexpr auto min_long_tokens = 1'800U;
constexpr auto long_spread_tokens = 3'000U;

void extend(std::vector<std::uint64_t>& chain, std::uint64_t name,
            std::uint64_t blocks)
{
    for (auto n = std::uint64_t{0}; n < blocks; ++n)
    {
        auto const before = chain.empty() ? 0 : chain.back();
        chain.push_back(mix64(before ^ mix64(name + n)));
    }
}

auto pick_organisation(random_source& random) -> std::uint32_t
{
    auto const& weights = organisation_weights();
    auto sum = 0.0;
    for (auto const it : weights)
    {
        sum += it;
    }
    auto left = random.unit() * sum;
    for (auto n = std::uint32_t{0}; n < weights.size(); ++n)
    {
        left -= weights[n];
        if (left < 0)
        {
            return n;
        }
    }
    return 0;
}

/// Few documents are asked about often, many seldom.
auto pick_document(random_source& random, std::uint32_t documents)
    -> std::uint32_t
{
    auto const u = random.unit();
    return static_cast<std::uint32_t>(u * u * documents);
}

auto make_prompt(random_source& random, std::uint32_t organisation,
                 std::uint32_t document, std::uint64_t key)
    -> std::shared_ptr<std::vector<std::uint64_t> const>
{
    auto all = std::vector<std::uint64_t>{};
    auto const name = mix64((std::uint64_t{organisation} << 32U) + document);
    extend(all, 1, service_blocks);
    extend(all, mix64(organisation + 77), organisation_blocks);
    extend(all, name, min_document_blocks + name % document_spread_blocks);
    extend(all, mix64(key), min_tail_blocks + random.below(tail_spread_blocks));
    return std::make_shared<std::vector<std::uint64_t> const>(std::move(all));
}

auto make_length(random_source& random, double long_share) -> std::uint32_t
{
    if (random.unit() < long_share)
    {
        auto const more = random.below(long_spread_tokens);
        return min_long_tokens + static_cast<std::uint32_t>(more);
    }
    auto const tokens = -mean_short_tokens * std::log(1 - random.unit());
    return 8 + static_cast<std::uint32_t>(tokens);
}

} // namespace

auto organisation_weights() -> std::vector<double> const&
{
    static auto const weights =
        std::vector<double>{30, 22, 16, 6, 6, 5, 5, 4, 3, 3};
    return weights;
}

auto organisation_name(std::uint32_t n) -> std::string
{
    return "org-" + std::to_string(n);
}

auto make_workload(workload_settings const& settings) -> std::vector<request>
{
    auto random = random_source{settings.seed};
    auto all = std::vector<request>{};
    auto at = 0.0;
    while (true)
    {
        at -= std::log(1 - random.unit()) / settings.requests_per_second;
        if (at >= to_seconds(settings.length))
        {
            return all;
        }
        auto it = request{};
        it.at = time_point{duration{static_cast<std::int64_t>(at * 1e6)}};
        it.key = mix64(settings.seed + all.size());
        it.host = static_cast<std::uint32_t>(random.below(settings.hosts));
        it.organisation = pick_organisation(random);
        it.priority = random.unit() < 0.2 ? 1 : 0;
        auto const document = pick_document(random, settings.documents);
        it.prompt = make_prompt(random, it.organisation, document, it.key);
        it.length = make_length(random, settings.long_share);
        all.push_back(std::move(it));
    }
}

} // namespace primrosedeal::bench
