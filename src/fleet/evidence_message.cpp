#include "fleet/evidence_message.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <exception>
#include <limits>
#include <span>

namespace primrosedeal::fleet
{

namespace
{

/// The first element tells the datagram from a digest.
using datagram_fields = std::tuple<std::uint8_t, std::vector<accusation_row>,
                                   std::vector<clearance_row>>;
constexpr auto evidence_form = std::uint8_t{1};

// Bounds against input that declares more elements than a datagram can hold.
constexpr auto max_rows = std::size_t{1024};
constexpr auto max_depth = std::size_t{4};

auto to_age(time_point at, time_point now) -> std::uint32_t
{
    constexpr auto most =
        std::int64_t{std::numeric_limits<std::uint32_t>::max()};
    auto const age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(
        std::clamp(std::int64_t{age}, std::int64_t{0}, most));
}

auto from_age(std::uint32_t age, time_point now) -> time_point
{
    return now - std::chrono::milliseconds{age};
}

template <class It>
auto pack(It const& it) -> std::string
{
    auto buf = msgpack::sbuffer{};
    msgpack::pack(buf, it);
    return {buf.data(), buf.size()};
}

/// Removes and returns the first rows that fit into `room` bytes.
template <class Row>
auto take_rows(std::span<Row const>& from, std::size_t& room)
    -> std::vector<Row>
{
    auto out = std::vector<Row>{};
    while (!from.empty())
    {
        auto const n = pack(from.front()).size();
        if (n > room)
        {
            break;
        }
        room -= n;
        out.push_back(from.front());
        from = from.subspan(1);
    }
    return out;
}

} // namespace

auto to_fields(quarantine::report const& it, time_point now) -> evidence_fields
{
    constexpr auto round_up = duration{999};
    auto out = evidence_fields{};
    for (auto const& each : it.accusations)
    {
        std::get<0>(out).emplace_back(each.part.value(), each.crash.value(),
                                      each.run.value(), to_age(each.at, now));
    }
    for (auto const& each : it.clearances)
    {
        std::get<1>(out).emplace_back(each.part.value(),
                                      to_age(each.at - round_up, now));
    }
    return out;
}

auto to_report(evidence_fields const& it, time_point now) -> quarantine::report
{
    auto out = quarantine::report{};
    for (auto const& [part, crash, run, age] : std::get<0>(it))
    {
        out.accusations.push_back(
            {quarantine::suspect_id{part}, quarantine::crash_id{crash},
             quarantine::run_id{run}, from_age(age, now)});
    }
    for (auto const& [part, age] : std::get<1>(it))
    {
        out.clearances.push_back(
            {quarantine::suspect_id{part}, from_age(age, now)});
    }
    return out;
}

auto encode_evidence(quarantine::report const& it, time_point now)
    -> std::vector<std::string>
{
    auto const all = to_fields(it, now);
    auto accusations = std::span{std::get<0>(all)};
    auto clearances = std::span{std::get<1>(all)};
    auto out = std::vector<std::string>{};
    while (!accusations.empty() || !clearances.empty())
    {
        auto room = max_evidence_bytes - evidence_overhead_bytes;
        auto first = take_rows(accusations, room);
        auto second = take_rows(clearances, room);
        out.push_back(pack(datagram_fields{evidence_form, std::move(first),
                                           std::move(second)}));
    }
    return out;
}

auto decode_evidence(std::string const& bytes, time_point now)
    -> std::optional<quarantine::report>
{
    constexpr auto array_of_three = '\x93';
    if (bytes.empty() || bytes.front() != array_of_three)
    {
        return std::nullopt;
    }
    try
    {
        auto const it =
            msgpack::unpack(
                bytes.data(), bytes.size(), nullptr, nullptr,
                msgpack::unpack_limit(max_rows, 0, 0, 0, 0, max_depth))
                .get()
                .as<datagram_fields>();
        if (std::get<0>(it) != evidence_form)
        {
            return std::nullopt;
        }
        return to_report({std::get<1>(it), std::get<2>(it)}, now);
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace primrosedeal::fleet
