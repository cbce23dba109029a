#include "standins/fault.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

// One table serves both directions.
namespace primrosedeal::standins
{

namespace
{

constexpr auto names = std::array{
    std::pair{fault::none, std::string_view{"none"}},
    std::pair{fault::die, std::string_view{"die"}},
    std::pair{fault::pause, std::string_view{"pause"}},
    std::pair{fault::silence_open, std::string_view{"silence_open"}},
    std::pair{fault::slow, std::string_view{"slow"}},
    std::pair{fault::leaving, std::string_view{"leaving"}},
    std::pair{fault::corrupt_offset, std::string_view{"corrupt_offset"}},
    std::pair{fault::duplicate_chunk, std::string_view{"duplicate_chunk"}},
    std::pair{fault::error_503, std::string_view{"error_503"}},
    std::pair{fault::lose_answer, std::string_view{"lose_answer"}},
};

} // namespace

auto to_string(fault it) -> std::string_view
{
    for (auto const& [value, name] : names)
    {
        if (value == it)
        {
            return name;
        }
    }
    return "none";
}

auto parse_fault(std::string_view text) -> std::optional<fault>
{
    for (auto const& [value, name] : names)
    {
        if (name == text)
        {
            return value;
        }
    }
    return std::nullopt;
}

auto parse_fault_order(std::string_view body) -> std::optional<fault_order>
{
    auto const json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("fault") ||
        !json["fault"].is_string())
    {
        return std::nullopt;
    }
    auto const what = parse_fault(json["fault"].get<std::string>());
    if (!what)
    {
        return std::nullopt;
    }
    auto it = fault_order{*what, std::nullopt};
    if (json.contains("for_ms") && json["for_ms"].is_number_integer())
    {
        it.lasting = std::chrono::milliseconds{json["for_ms"].get<int>()};
    }
    return it;
}

} // namespace primrosedeal::standins
