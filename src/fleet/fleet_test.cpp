#include "fleet/fleet_view.hpp"

#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>
#include <rapidcheck.h>

#include <tuple>

namespace primrosedeal::fleet
{

namespace
{

auto const service = service_id{"s"};

auto at(int ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto make_digest(int host, std::uint64_t sequence) -> digest
{
    auto out = digest{};
    out.host = host_id{"h" + std::to_string(host)};
    out.process_start = incarnation{1};
    out.sequence = sequence;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_digest)

BOOST_AUTO_TEST_CASE(is_unchanged_by_encoding_and_decoding)
{
    auto const holds = rc::check(
        [](std::string const& host, std::uint64_t start,
           std::map<std::string, std::uint32_t> const& loads,
           std::vector<std::string> const& lost)
        {
            auto it = digest{};
            it.host = host_id{host};
            it.process_start = incarnation{start};
            it.sequence = 3;
            it.domain = domain_id{host + "'"};
            constexpr auto most = std::size_t{20};
            for (auto const& [id, n] : loads)
            {
                if (it.loads.size() == most)
                {
                    break;
                }
                it.loads[target_id{id}] = {n, n + 1U, n + 2U};
            }
            it.counts[service] = {5, 6};
            for (auto const& id : lost)
            {
                if (it.lost.size() == most)
                {
                    break;
                }
                it.lost.emplace_back(id);
                it.replaced.emplace_back(id + "'");
            }
            if (!lost.empty())
            {
                it.store_contact = duration{start % 1000};
            }
            auto const out = decode_digest(encode(it, at(0)), at(0));
            RC_ASSERT(out.has_value());
            RC_ASSERT(out->host == it.host);
            RC_ASSERT(out->domain == it.domain);
            RC_ASSERT(out->process_start == it.process_start);
            RC_ASSERT(out->loads.size() == it.loads.size());
            RC_ASSERT(out->lost == it.lost);
            RC_ASSERT(out->replaced == it.replaced);
            RC_ASSERT(out->store_contact == it.store_contact);
            RC_ASSERT(out->counts.at(service).further_attempts == 6);
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE(with_evidence_against_parts)

auto with_evidence() -> digest
{
    auto out = make_digest(1, 1);
    out.evidence.accusations = {
        {quarantine::suspect_id{~0ULL}, quarantine::crash_id{2},
         quarantine::run_id{3}, at(1000)},
        {quarantine::suspect_id{4}, quarantine::crash_id{5},
         quarantine::run_id{6}, at(2000)}};
    out.evidence.clearances = {{quarantine::suspect_id{7}, at(3000)}};
    return out;
}

BOOST_AUTO_TEST_CASE(carries_its_age_between_hosts_with_other_clocks)
{
    auto const it = with_evidence();
    auto const out = decode_digest(encode(it, at(5000)), at(105000));
    BOOST_REQUIRE(out);
    auto expected = it.evidence;
    for (auto& each : expected.accusations)
    {
        each.at += 100s;
    }
    expected.clearances[0].at += 100s;
    BOOST_TEST((out->evidence == expected));
}

BOOST_AUTO_TEST_CASE(makes_no_crash_older_and_no_clearance_younger)
{
    auto it = with_evidence();
    auto const sent_at = at(5000) + 1us;
    auto const out = decode_digest(encode(it, sent_at), sent_at);
    BOOST_REQUIRE(out);
    for (auto i = std::size_t{0}; i < it.evidence.accusations.size(); ++i)
    {
        auto const change =
            out->evidence.accusations[i].at - it.evidence.accusations[i].at;
        BOOST_TEST((change >= 0us && change < 1ms));
    }
    auto const change =
        it.evidence.clearances[0].at - out->evidence.clearances[0].at;
    BOOST_TEST((change >= 0us && change < 1ms));
}

BOOST_AUTO_TEST_CASE(from_the_future_is_taken_for_new)
{
    auto const out = decode_digest(encode(with_evidence(), at(0)), at(0));
    BOOST_REQUIRE(out);
    BOOST_TEST((out->evidence.accusations[0].at == at(0)));
    BOOST_TEST((out->evidence.clearances[0].at == at(0)));
}

BOOST_AUTO_TEST_CASE(fits_a_datagram_and_keeps_the_first_entries)
{
    auto it = with_evidence();
    auto const first = it.evidence.accusations.front();
    constexpr auto many = 2000U;
    for (auto i = 0U; i < many; ++i)
    {
        auto const id = target_id{"target-" + std::to_string(i)};
        it.loads[id] = {1, 2, 3};
        it.evidence.accusations.push_back(
            {quarantine::suspect_id{~0ULL - i}, quarantine::crash_id{~0ULL - i},
             quarantine::run_id{~0ULL - i}, at(0)});
        it.evidence.clearances.push_back(
            {quarantine::suspect_id{~0ULL - i}, at(0)});
    }
    auto const bytes = encode(it, at(1000));
    BOOST_TEST(bytes.size() <= max_digest_bytes);
    auto const out = decode_digest(bytes, at(1000));
    BOOST_REQUIRE(out);
    BOOST_TEST(!out->loads.empty());
    BOOST_TEST(!out->evidence.clearances.empty());
    BOOST_REQUIRE(!out->evidence.accusations.empty());
    BOOST_TEST((out->evidence.accusations.front() == first));
}

// Recorded from the version before digests carried evidence.
std::string const old_form =
    std::string{"\x99\xa2h7\x2a\x03\x91\x94\xa2t1\x02\x64\xcc\xc8\x91\x93\xa1s"
                "\x05\x06\x91\xa2t2\x91\xa2t3\xcd\x01\xf4\xa1"
                "d"};

BOOST_AUTO_TEST_CASE(is_not_needed_from_a_host_of_an_earlier_version)
{
    auto const out = decode_digest(old_form, at(0));
    BOOST_REQUIRE(out);
    BOOST_TEST(out->host.value() == "h7");
    BOOST_TEST(out->domain.value() == "d");
    BOOST_TEST(out->sequence == 3U);
    BOOST_TEST(out->loads.at(target_id{"t1"}).memory_tokens == 200U);
    BOOST_TEST((out->lost == std::vector{target_id{"t2"}}));
    BOOST_TEST((out->replaced == std::vector{target_id{"t3"}}));
    BOOST_TEST((out->store_contact == duration{500}));
    BOOST_TEST((out->evidence == quarantine::report{}));
}

/// Decodes as hosts of the earlier version do.
auto decode_as_before(std::string const& bytes)
{
    using load_row =
        std::tuple<std::string, std::uint32_t, std::uint64_t, std::uint64_t>;
    using count_row = std::tuple<std::string, std::uint64_t, std::int64_t>;
    using fields =
        std::tuple<std::string, std::uint64_t, std::uint64_t,
                   std::vector<load_row>, std::vector<count_row>,
                   std::vector<std::string>, std::vector<std::string>,
                   std::int64_t, std::string>;
    return msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                           msgpack::unpack_limit(4096, 0, 1024, 0, 0, 4))
        .get()
        .as<fields>();
}

BOOST_AUTO_TEST_CASE(does_not_disturb_a_host_of_an_earlier_version)
{
    auto it = *decode_digest(old_form, at(0));
    it.evidence = with_evidence().evidence;
    auto const bytes = encode(it, at(5000));
    BOOST_TEST(bytes.size() > old_form.size());
    BOOST_TEST((decode_as_before(bytes) == decode_as_before(old_form)));
}

BOOST_AUTO_TEST_CASE(that_is_malformed_is_rejected_or_ignored)
{
    auto const whole = encode(with_evidence(), at(5000));
    for (auto n = std::size_t{0}; n < whole.size(); ++n)
    {
        BOOST_TEST(!decode_digest(whole.substr(0, n), at(0)).has_value());
    }
    auto const holds = rc::check(
        [&](std::uint8_t value)
        {
            for (auto n = std::size_t{0}; n < whole.size(); ++n)
            {
                auto bytes = whole;
                bytes[n] = static_cast<char>(value);
                auto const out = decode_digest(bytes, at(0));
                RC_ASSERT(!out || out->evidence.accusations.size() <= 16U);
            }
        });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(always_fits_a_datagram)
{
    auto it = make_digest(1, 1);
    constexpr auto many = 2000;
    for (auto i = 0; i < many; ++i)
    {
        auto const id = target_id{"target-" + std::to_string(i)};
        it.loads[id] = {1, 2, 3};
        it.lost.push_back(id);
        it.replaced.push_back(id);
    }
    auto const bytes = encode(it, at(0));
    BOOST_TEST(bytes.size() <= max_digest_bytes);
    auto const out = decode_digest(bytes, at(0));
    BOOST_REQUIRE(out);
    BOOST_TEST(!out->loads.empty());
    BOOST_TEST(!out->lost.empty());
}

BOOST_AUTO_TEST_CASE(that_is_malformed_is_rejected)
{
    auto const holds = rc::check(
        [](std::string const& bytes)
        {
            auto const it = decode_digest(bytes, at(0));
            RC_ASSERT(!it || !bytes.empty());
        });
    BOOST_TEST(holds);
    BOOST_TEST(!decode_digest("", at(0)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_view)

BOOST_AUTO_TEST_CASE(holds_the_newest_digest_of_each_host)
{
    auto it = fleet_view{};
    auto const id = target_id{"t"};
    auto first = make_digest(1, 1);
    first.loads[id] = {2, 100, 200};
    auto second = make_digest(1, 2);
    second.loads[id] = {1, 0, 100};
    BOOST_TEST(it.apply(second, at(0)));
    BOOST_TEST(!it.apply(first, at(1)));
    BOOST_TEST(it.load_of(id).requests == 1U);
    auto other = make_digest(2, 1);
    other.loads[id] = {3, 30, 300};
    it.apply(other, at(2));
    BOOST_TEST(it.load_of(id).requests == 4U);
    BOOST_TEST(it.load_of(id).memory_tokens == 400U);
}

BOOST_AUTO_TEST_CASE(removes_a_host_that_timed_out)
{
    auto it = fleet_view{};
    auto const id = target_id{"t"};
    auto first = make_digest(1, 1);
    first.loads[id] = {2, 100, 200};
    it.apply(first, at(0));
    BOOST_TEST(it.expire(at(2500)).empty());
    BOOST_TEST(it.live_hosts() == 1U);
    BOOST_TEST((it.expire(at(2501)) == std::vector{host_id{"h1"}}));
    BOOST_TEST(it.live_hosts() == 0U);
    BOOST_TEST(it.load_of(id).requests == 0U);
}

BOOST_AUTO_TEST_CASE(names_the_lowest_host_that_is_live)
{
    auto it = fleet_view{};
    BOOST_TEST(!it.lowest_host().has_value());
    it.apply(make_digest(2, 1), at(0));
    it.apply(make_digest(1, 1), at(0));
    it.apply(make_digest(3, 1), at(2000));
    BOOST_TEST((it.lowest_host() == host_id{"h1"}));
    it.apply(make_digest(2, 2), at(2000));
    it.expire(at(3000));
    BOOST_TEST((it.lowest_host() == host_id{"h2"}));
    it.expire(at(9000));
    BOOST_TEST(!it.lowest_host().has_value());
}

BOOST_AUTO_TEST_CASE(counts_attempts_of_others_within_the_window)
{
    auto it = fleet_view{};
    for (auto second = 0; second <= 30; ++second)
    {
        auto d = make_digest(1, static_cast<std::uint64_t>(second) + 1);
        d.counts[service] = {static_cast<std::uint64_t>(second) * 10,
                             std::int64_t{second} * 2};
        it.apply(d, at(second * 1000));
    }
    auto const recent = it.recent(service, at(30000));
    BOOST_TEST(recent.requests == 100U);
    BOOST_TEST(recent.further_attempts == 20U);
}

BOOST_AUTO_TEST_CASE(lists_which_hosts_of_a_domain_watch_the_store)
{
    auto it = fleet_view{};
    auto first = make_digest(1, 1);
    first.domain = domain_id{"d"};
    first.store_contact = 1s;
    it.apply(first, at(0));
    auto second = make_digest(2, 1);
    second.domain = domain_id{"d"};
    it.apply(second, at(0));
    auto elsewhere = make_digest(3, 1);
    elsewhere.domain = domain_id{"e"};
    it.apply(elsewhere, at(0));
    auto const peers = it.peers_in(domain_id{"d"});
    BOOST_REQUIRE(peers.size() == 2U);
    BOOST_TEST(peers[0].id.value() == "h1");
    BOOST_TEST(peers[0].store_contact.has_value());
    BOOST_TEST(!peers[1].store_contact);
}

BOOST_AUTO_TEST_CASE(knows_whether_the_store_answered_others_since)
{
    auto it = fleet_view{};
    auto first = make_digest(1, 1);
    first.store_contact = 500ms;
    it.apply(first, at(3000));
    BOOST_TEST(!it.store_served_since(at(1000)));
    auto second = make_digest(2, 1);
    second.store_contact = 5s;
    it.apply(second, at(3000));
    BOOST_TEST(it.store_served_since(at(1000)));
    auto after = make_digest(2, 2);
    it.apply(after, at(3100));
    BOOST_TEST(!it.store_served_since(at(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_allowance)

BOOST_AUTO_TEST_CASE(is_not_exceeded_by_hosts_without_digests)
{
    constexpr auto hosts = std::size_t{8};
    auto const allowance = attempt_allowance{0.8, 150, hosts};
    auto total = 0;
    for (auto host = std::size_t{0}; host < hosts; ++host)
    {
        auto own = service_count{10, 0};
        while (
            may_attempt(allowance, attempt_purpose::continuation, own, {}, 0))
        {
            ++own.further_attempts;
            ++total;
        }
    }
    BOOST_TEST(total <= 0.8 * 10 * hosts + 150);
}

// When a failure domain is lost, the host with most of its clients there needs
// far more than an equal share of the allowance, the others almost none.
BOOST_AUTO_TEST_CASE(covers_the_host_that_lost_most_streams)
{
    constexpr auto hosts = std::size_t{8};
    auto const allowance = attempt_allowance{0.8, 150, hosts};
    constexpr auto broken_streams = 60U;
    auto own = service_count{20, 0};
    auto const others = service_count{74, 10};
    auto without_digests = service_count{20, 0};
    for (auto i = 0U; i < broken_streams; ++i)
    {
        own.further_attempts +=
            may_attempt(allowance, attempt_purpose::continuation, own, others,
                        hosts - 1)
                ? 1
                : 0;
        without_digests.further_attempts +=
            may_attempt(allowance, attempt_purpose::continuation,
                        without_digests, {}, 0)
                ? 1
                : 0;
    }
    BOOST_TEST(own.further_attempts == broken_streams);
    BOOST_TEST(without_digests.further_attempts < broken_streams);
}

BOOST_AUTO_TEST_CASE(prefers_broken_streams_to_new_requests)
{
    auto const allowance = attempt_allowance{0.8, 150, 1};
    auto own = service_count{0, 0};
    while (may_attempt(allowance, attempt_purpose::answer, own, {}, 0))
    {
        ++own.further_attempts;
    }
    BOOST_TEST(own.further_attempts <= 120);
    BOOST_TEST(
        may_attempt(allowance, attempt_purpose::continuation, own, {}, 0));
}

BOOST_AUTO_TEST_CASE(is_not_used_by_attempts_that_reached_no_target)
{
    // During a partition most connections to a domain fail, whichever target is
    // tried, so none of these attempts reaches a target.
    auto const allowance = attempt_allowance{0.8, 150, 1};
    auto own = own_counts{};
    auto allowed = 0;
    constexpr auto tries = 1000;
    for (auto i = 0; i < tries; ++i)
    {
        auto const now = at(i);
        if (may_attempt(allowance, attempt_purpose::answer,
                        own.recent(service, now), {}, 0))
        {
            ++allowed;
            own.further_attempt(service, now);
            own.refund_attempt(service, now);
        }
    }
    BOOST_TEST(allowed == tries);
    auto const late = at(60000);
    own.refund_attempt(service, late);
    BOOST_TEST(own.recent(service, late).further_attempts == -1);
}

BOOST_AUTO_TEST_CASE(recovers_as_the_window_advances)
{
    auto it = own_counts{};
    it.request(service, at(0));
    it.further_attempt(service, at(0));
    BOOST_TEST(it.recent(service, at(9000)).further_attempts == 1U);
    BOOST_TEST(it.recent(service, at(12000)).further_attempts == 0U);
    BOOST_TEST(it.totals().at(service).further_attempts == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::fleet
