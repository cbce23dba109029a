#include "fleet/digest.hpp"

#include <msgpack.hpp>

#include <exception>
#include <tuple>

namespace primrosedeal::fleet
{

namespace
{

using load_row =
    std::tuple<std::string, std::uint32_t, std::uint64_t, std::uint64_t>;
using count_row = std::tuple<std::string, std::uint64_t, std::int64_t>;
using fields =
    std::tuple<std::string, std::uint64_t, std::uint64_t, std::vector<load_row>,
               std::vector<count_row>, std::vector<std::string>,
               std::vector<std::string>, std::int64_t, std::string>;

/// Encodes an absent `store_contact`.
constexpr auto absent_contact = std::int64_t{-1};

// Bounds against input that declares more elements than a datagram can hold.
constexpr auto max_rows = std::size_t{4096};
constexpr auto max_text = std::size_t{1024};
constexpr auto max_depth = std::size_t{4};

auto pack(fields const& it) -> std::string
{
    auto buf = msgpack::sbuffer{};
    msgpack::pack(buf, it);
    return {buf.data(), buf.size()};
}

/// Halves the longest list of targets, so that the digest fits a datagram.
/// Returns false if all lists are empty.
auto halve_longest_list(fields& it) -> bool
{
    auto& loads = std::get<3>(it);
    auto& lost = std::get<5>(it);
    auto& replaced = std::get<6>(it);
    if (loads.size() >= lost.size() && loads.size() >= replaced.size())
    {
        auto const any = !loads.empty();
        loads.resize(loads.size() / 2);
        return any;
    }
    auto& longer = lost.size() > replaced.size() ? lost : replaced;
    longer.resize(longer.size() / 2);
    return true;
}

} // namespace

auto encode(digest const& it) -> std::string
{
    auto const contact = it.store_contact
                             ? std::int64_t{it.store_contact->count()}
                             : absent_contact;
    auto out = fields{
        it.host.value(), it.process_start.value(), it.sequence, {}, {}, {}, {},
        contact,         it.domain.value()};
    for (auto const& [id, load] : it.loads)
    {
        std::get<3>(out).emplace_back(id.value(), load.requests,
                                      load.pending_prefill_tokens,
                                      load.memory_tokens);
    }
    for (auto const& [id, count] : it.counts)
    {
        std::get<4>(out).emplace_back(id.value(), count.requests,
                                      count.further_attempts);
    }
    for (auto const& id : it.lost)
    {
        std::get<5>(out).push_back(id.value());
    }
    for (auto const& id : it.replaced)
    {
        std::get<6>(out).push_back(id.value());
    }
    auto bytes = pack(out);
    while (bytes.size() > max_digest_bytes && halve_longest_list(out))
    {
        bytes = pack(out);
    }
    return bytes;
}

auto decode_digest(std::string const& bytes) -> std::optional<digest>
{
    try
    {
        auto const handle = msgpack::unpack(
            bytes.data(), bytes.size(), nullptr, nullptr,
            msgpack::unpack_limit(max_rows, 0, max_text, 0, 0, max_depth));
        auto const it = handle.get().as<fields>();
        auto out = digest{};
        out.host = host_id{std::get<0>(it)};
        out.process_start = incarnation{std::get<1>(it)};
        out.sequence = std::get<2>(it);
        for (auto const& [id, requests, pending_prefill, memory] :
             std::get<3>(it))
        {
            out.loads[target_id{id}] = {requests, pending_prefill, memory};
        }
        for (auto const& [id, requests, further] : std::get<4>(it))
        {
            out.counts[service_id{id}] = {requests, further};
        }
        for (auto const& id : std::get<5>(it))
        {
            out.lost.emplace_back(id);
        }
        for (auto const& id : std::get<6>(it))
        {
            out.replaced.emplace_back(id);
        }
        out.domain = domain_id{std::get<8>(it)};
        if (auto const contact = std::get<7>(it); contact >= 0)
        {
            out.store_contact = duration{contact};
        }
        return out;
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace primrosedeal::fleet
