#include "serve/usage_form.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

// One array for each organisation: name, requests in flight, tokens a second,
// and its two wants as bits. Whole numbers keep an entry near 20 bytes.
namespace primrosedeal::serve
{

namespace
{

using nlohmann::json;

constexpr auto wants_concurrency_bit = 1U;
constexpr auto wants_tokens_bit = 2U;

auto to_row(admission::organisation_usage const& it) -> json
{
    auto const wants = (it.unmet_concurrency ? wants_concurrency_bit : 0U) |
                       (it.unmet_tokens ? wants_tokens_bit : 0U);
    return json::array(
        {it.organisation.value(),
         static_cast<std::uint64_t>(std::ceil(it.in_flight)),
         static_cast<std::uint64_t>(std::ceil(it.tokens_per_second)), wants});
}

auto from_row(json const& row) -> admission::organisation_usage
{
    auto it = admission::organisation_usage{};
    it.organisation = organisation_id{row.at(0).get<std::string>()};
    it.in_flight = row.at(1).get<double>();
    it.tokens_per_second = row.at(2).get<double>();
    auto const wants = row.at(3).get<unsigned>();
    it.unmet_concurrency = (wants & wants_concurrency_bit) != 0;
    it.unmet_tokens = (wants & wants_tokens_bit) != 0;
    return it;
}

auto uses_more(admission::organisation_usage const& a,
               admission::organisation_usage const& b) -> bool
{
    return a.in_flight > b.in_flight;
}

} // namespace

auto write_usage(admission::usage_digest it, std::size_t max_bytes)
    -> std::string
{
    constexpr auto array_header = std::size_t{5};
    std::ranges::sort(it.usages, uses_more);
    auto rows = json::array();
    auto n = array_header;
    for (auto const& each : it.usages)
    {
        auto row = to_row(each);
        n += json::to_cbor(row).size();
        if (n > max_bytes)
        {
            break;
        }
        rows.push_back(std::move(row));
    }
    auto const bytes = json::to_cbor(rows);
    return {bytes.begin(), bytes.end()};
}

auto read_usage(std::string_view bytes)
    -> std::optional<admission::usage_digest>
{
    try
    {
        auto it = admission::usage_digest{};
        for (auto const& row : json::from_cbor(bytes))
        {
            it.usages.push_back(from_row(row));
        }
        return it;
    }
    catch (json::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace primrosedeal::serve
