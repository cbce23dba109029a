#include "fleet/digest.hpp"

#include "fleet/evidence_message.hpp"
#include "fleet/origin_message.hpp"
#include "fleet/rollout_message.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <cmath>
#include <exception>
#include <tuple>
#include <utility>

// Hosts of different versions run side by side during a rolling restart. They
// ignore elements after those that they know, so new elements go to the end and
// may be absent.

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

/// Whether the host reads datagrams with evidence, and the speed of its link in
/// bytes a second.
using sender_fields = std::tuple<bool, std::uint64_t>;
/// Target, start of its process, requests a second or `no_limit`, and the age
/// of the observation in microseconds.
using limit_row = std::tuple<std::string, std::uint64_t, double, std::int64_t>;
using limit_fields = std::tuple<std::vector<limit_row>>;
/// Services whose targets the host does not reach.
using reachability_fields = std::tuple<std::vector<std::string>>;
/// Target, start of its process, rejections, and the age of the last one in
/// microseconds.
using rejection_row =
    std::tuple<std::string, std::uint64_t, std::uint32_t, std::int64_t>;
using rejection_fields =
    std::tuple<std::vector<limit_row>, std::vector<rejection_row>>;
/// Version of the configuration; zero if there is none.
using configuration_fields = std::tuple<std::uint64_t>;
/// Services of the streams in `origin_fields`.
using origin_service_fields = std::tuple<origin_services>;
using all_fields = decltype(std::tuple_cat(
    std::declval<fields>(), std::declval<evidence_fields>(),
    std::declval<sender_fields>(), std::declval<limit_fields>(),
    std::declval<origin_fields>(), std::declval<reachability_fields>(),
    std::declval<rejection_fields>(), std::declval<configuration_fields>(),
    std::declval<rollout_fields>(), std::declval<origin_service_fields>()));
constexpr auto old_size = std::tuple_size_v<fields>;
constexpr auto accusations_index = old_size;
constexpr auto clearances_index = old_size + 1;
constexpr auto reads_all_forms_index = old_size + 2;
constexpr auto link_index = old_size + 3;
constexpr auto limits_index = old_size + 4;
constexpr auto versions_index = old_size + 5;
constexpr auto origins_index = old_size + 6;
constexpr auto unreachable_index = old_size + 7;
constexpr auto rejection_limits_index = old_size + 8;
constexpr auto rejections_index = old_size + 9;
constexpr auto configuration_index = old_size + 10;
constexpr auto rollouts_index = old_size + 11;
constexpr auto rollout_counts_index = old_size + 12;
constexpr auto origin_services_index = old_size + 13;

/// Encodes the end of a limit.
constexpr auto no_limit = -1.0;

/// The first element of a partial digest; the fields of a digest follow.
constexpr auto partial_form = std::uint8_t{2};

/// Encodes an absent `store_contact`.
constexpr auto absent_contact = std::int64_t{-1};

// Bounds against input that declares more elements than a datagram can hold.
constexpr auto max_rows = std::size_t{4096};
constexpr auto max_text = std::size_t{1024};
constexpr auto max_depth = std::size_t{4};

template <class Fields>
auto pack(Fields const& it, bool partial) -> std::string
{
    auto buf = msgpack::sbuffer{};
    if (partial)
    {
        msgpack::pack(buf, std::tuple_cat(std::tuple{partial_form}, it));
    }
    else
    {
        msgpack::pack(buf, it);
    }
    return {buf.data(), buf.size()};
}

template <std::size_t... Index>
auto first_elements(all_fields const& it, std::index_sequence<Index...>)
{
    return std::tuple{std::get<Index>(it)...};
}

/// Leaves out the last elements if they are empty: idle hosts send many digests
/// without news.
auto pack_all(all_fields const& it, bool partial) -> std::string
{
    if (!std::get<origin_services_index>(it).empty())
    {
        return pack(it, partial);
    }
    if (!std::get<rollouts_index>(it).empty())
    {
        return pack(first_elements(
                        it, std::make_index_sequence<origin_services_index>{}),
                    partial);
    }
    if (std::get<configuration_index>(it) != 0)
    {
        return pack(
            first_elements(it, std::make_index_sequence<rollouts_index>{}),
            partial);
    }
    auto const no_rejections = std::get<rejection_limits_index>(it).empty() &&
                               std::get<rejections_index>(it).empty();
    if (!no_rejections)
    {
        return pack(
            first_elements(it, std::make_index_sequence<configuration_index>{}),
            partial);
    }
    if (!std::get<unreachable_index>(it).empty())
    {
        return pack(first_elements(
                        it, std::make_index_sequence<rejection_limits_index>{}),
                    partial);
    }
    if (std::get<limits_index>(it).empty() &&
        std::get<origins_index>(it).empty())
    {
        return pack(
            first_elements(it, std::make_index_sequence<limits_index>{}),
            partial);
    }
    return pack(
        first_elements(it, std::make_index_sequence<unreachable_index>{}),
        partial);
}

/// Shortens the longest list to `fraction` of its size, by one entry at least.
/// Returns false if all lists are empty.
auto shorten_longest_list(all_fields& it, double fraction) -> bool
{
    auto const lists = std::tie(
        std::get<3>(it), std::get<5>(it), std::get<6>(it),
        std::get<accusations_index>(it), std::get<clearances_index>(it),
        std::get<limits_index>(it), std::get<origins_index>(it),
        std::get<unreachable_index>(it), std::get<rejection_limits_index>(it),
        std::get<rejections_index>(it), std::get<rollout_counts_index>(it));
    auto const longest = std::apply(
        [](auto const&... list) { return std::max({list.size()...}); }, lists);
    auto done = longest == 0;
    auto const shorten = [&](auto& list)
    {
        if (!done && list.size() == longest)
        {
            auto const n = static_cast<std::size_t>(
                static_cast<double>(longest) * fraction);
            list.resize(std::min(n, longest - 1));
            done = true;
        }
    };
    std::apply([&](auto&... list) { (shorten(list), ...); }, lists);
    return longest > 0;
}

/// Rows with the largest loads first, so that a cut at the end loses least.
void sort_loads(std::vector<load_row>& rows)
{
    auto const weight = [](load_row const& it)
    {
        return std::tuple{std::get<2>(it) + std::get<3>(it), std::get<1>(it)};
    };
    std::stable_sort(rows.begin(), rows.end(),
                     [&](auto const& a, auto const& b)
                     { return weight(a) > weight(b); });
}

auto to_row(request_limit::reported_limit const& it, time_point now)
    -> limit_row
{
    auto const& state = it.state;
    return {it.target.value(), state.process_start.value(),
            state.limit ? state.limit->value() : no_limit,
            (now - state.observed_at).count()};
}

/// Nothing if the row is not valid.
auto to_limit(limit_row const& it, time_point now)
    -> std::optional<request_limit::reported_limit>
{
    auto const& [target, process_start, limit, age] = it;
    auto const ended = limit == no_limit;
    if (age < 0 || !(ended || (std::isfinite(limit) && limit >= 0)))
    {
        return std::nullopt;
    }
    auto out = request_limit::reported_limit{};
    out.target = target_id{target};
    out.state.process_start = incarnation{process_start};
    if (!ended)
    {
        out.state.limit = request_limit::request_rate{limit};
    }
    out.state.observed_at = now - duration{age};
    return out;
}

auto to_limits(std::vector<limit_row> const& rows, time_point now)
    -> std::vector<request_limit::reported_limit>
{
    auto out = std::vector<request_limit::reported_limit>{};
    for (auto const& row : rows)
    {
        if (auto limit = to_limit(row, now))
        {
            out.push_back(std::move(*limit));
        }
    }
    return out;
}

} // namespace

auto encode(digest const& it, time_point now, std::size_t max_bytes)
    -> std::string
{
    auto const contact = it.store_contact
                             ? std::int64_t{it.store_contact->count()}
                             : absent_contact;
    auto out = all_fields{};
    std::get<0>(out) = it.host.value();
    std::get<1>(out) = it.process_start.value();
    std::get<2>(out) = it.sequence;
    std::get<7>(out) = contact;
    std::get<8>(out) = it.domain.value();
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
    std::tie(std::get<accusations_index>(out),
             std::get<clearances_index>(out)) = to_fields(it.evidence, now);
    std::get<reads_all_forms_index>(out) = it.reads_all_forms;
    std::get<link_index>(out) =
        static_cast<std::uint64_t>(std::max(it.link_bytes_per_second, 0.0));
    for (auto const& each : it.limits)
    {
        std::get<limits_index>(out).push_back(to_row(each, now));
    }
    std::tie(std::get<versions_index>(out), std::get<origins_index>(out)) =
        to_fields(it.origins, now);
    std::get<origin_services_index>(out) = to_origin_services(it.origins);
    for (auto const& id : it.unreachable_services)
    {
        std::get<unreachable_index>(out).push_back(id.value());
    }
    for (auto const& each : it.rejection_limits)
    {
        std::get<rejection_limits_index>(out).push_back(to_row(each, now));
    }
    for (auto const& each : it.rejections)
    {
        std::get<rejections_index>(out).emplace_back(
            each.target.value(), each.process_start.value(), each.count,
            (now - each.last_at).count());
    }
    if (it.configuration)
    {
        std::get<configuration_index>(out) = it.configuration->version.value();
    }
    std::tie(std::get<rollouts_index>(out),
             std::get<rollout_counts_index>(out)) = to_fields(it.rollouts);
    auto bytes = pack_all(out, it.partial);
    if (bytes.size() > max_bytes)
    {
        sort_loads(std::get<3>(out));
    }
    while (bytes.size() > max_bytes &&
           shorten_longest_list(out, static_cast<double>(max_bytes) /
                                         static_cast<double>(bytes.size())))
    {
        bytes = pack_all(out, it.partial);
    }
    return bytes;
}

auto decode_digest(std::string const& bytes, time_point now)
    -> std::optional<digest>
{
    try
    {
        auto const handle = msgpack::unpack(
            bytes.data(), bytes.size(), nullptr, nullptr,
            msgpack::unpack_limit(max_rows, 0, max_text, 0, 0, max_depth));
        auto whole = handle.get();
        auto out = digest{};
        if (whole.type == msgpack::type::ARRAY && whole.via.array.size > 0 &&
            whole.via.array.ptr->type == msgpack::type::POSITIVE_INTEGER &&
            whole.via.array.ptr->via.u64 == partial_form)
        {
            out.partial = true;
            ++whole.via.array.ptr;
            --whole.via.array.size;
        }
        auto const it = whole.as<fields>();
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
        if (auto const& all = whole.via.array;
            all.size >= old_size + std::tuple_size_v<evidence_fields>)
        {
            out.evidence = to_report(
                {all.ptr[accusations_index].as<std::vector<accusation_row>>(),
                 all.ptr[clearances_index].as<std::vector<clearance_row>>()},
                now);
            out.reads_all_forms = all.size > reads_all_forms_index &&
                                  all.ptr[reads_all_forms_index].as<bool>();
            out.link_bytes_per_second =
                all.size > link_index
                    ? static_cast<double>(
                          all.ptr[link_index].as<std::uint64_t>())
                    : 0;
        }
        auto const& all = whole.via.array;
        if (all.size > limits_index)
        {
            out.limits = to_limits(
                all.ptr[limits_index].as<std::vector<limit_row>>(), now);
        }
        if (all.size > origins_index)
        {
            out.origins = to_origins(
                {all.ptr[versions_index].as<std::vector<std::string>>(),
                 all.ptr[origins_index].as<std::vector<origin_row>>()},
                now,
                all.size > origin_services_index
                    ? all.ptr[origin_services_index].as<origin_services>()
                    : origin_services{});
        }
        if (all.size > unreachable_index)
        {
            for (auto const& id :
                 all.ptr[unreachable_index].as<std::vector<std::string>>())
            {
                out.unreachable_services.emplace_back(id);
            }
        }
        if (all.size > rejection_limits_index)
        {
            out.rejection_limits = to_limits(
                all.ptr[rejection_limits_index].as<std::vector<limit_row>>(),
                now);
        }
        if (all.size > rejections_index)
        {
            for (auto const& [id, process_start, n, age] :
                 all.ptr[rejections_index].as<std::vector<rejection_row>>())
            {
                if (age >= 0)
                {
                    out.rejections.push_back({target_id{id},
                                              incarnation{process_start}, n,
                                              now - duration{age}});
                }
            }
        }
        if (all.size > configuration_index)
        {
            auto const version =
                all.ptr[configuration_index].as<std::uint64_t>();
            if (version != 0)
            {
                out.configuration = used_configuration{
                    routes::configuration_version{version}, now};
            }
        }
        if (all.size > rollout_counts_index)
        {
            out.rollouts = to_rollouts(
                {all.ptr[rollouts_index].as<std::vector<rollout_row>>(),
                 all.ptr[rollout_counts_index]
                     .as<std::vector<rollout_counts_row>>()});
        }
        return out;
    }
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

} // namespace primrosedeal::fleet
