#include "core/random.hpp"
#include "membership/message.hpp"
#include "membership/record_store.hpp"

#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>
#include <rapidcheck.h>

#include <map>

namespace primrosedeal::membership
{

namespace
{

auto any_record() -> record
{
    auto it = record{};
    it.key.topic = static_cast<topic>(*rc::gen::inRange(0, 6));
    it.key.name = "k" + std::to_string(*rc::gen::inRange(0, 6));
    it.version.epoch = *rc::gen::inRange<std::uint64_t>(0, 3);
    it.version.sequence = *rc::gen::inRange<std::uint64_t>(0, 5);
    it.urgency = static_cast<urgency>(*rc::gen::inRange(0, 3));
    it.payload = *rc::gen::string<std::string>();
    it.payload.resize(std::min(it.payload.size(), max_payload_bytes));
    it.lifetime = std::chrono::seconds{*rc::gen::inRange(0, 2) * 1000};
    it.age = it.lifetime / 2;
    return it;
}

auto equal(record const& a, record const& b) -> bool
{
    return a.key == b.key && a.version == b.version && a.urgency == b.urgency &&
           a.payload == b.payload && a.lifetime == b.lifetime && a.age == b.age;
}

auto sample_message() -> message
{
    auto it = message{message_kind::digest, incarnation{7}, 42};
    it.subject = host_id{"host-1"};
    it.summary = digest{};
    it.summary->at(3) = 0xdeadbeefU;
    auto leaving = record{};
    leaving.key = {topic::target_leaving, "t1"};
    leaving.version = {1, 2};
    leaving.payload = std::string("\0\xff", 2);
    it.records.push_back(leaving);
    return it;
}

using packer = msgpack::packer<msgpack::sbuffer>;

} // namespace

BOOST_AUTO_TEST_SUITE(messages_between_hosts)

BOOST_AUTO_TEST_CASE(are_unchanged_by_encoding_and_decoding)
{
    auto const unchanged = rc::check(
        "decode(encode(m)) is m",
        []
        {
            auto it = sample_message();
            it.kind = static_cast<message_kind>(*rc::gen::inRange(0, 8));
            it.records.assign(1, any_record());
            it.records.push_back(any_record());
            auto const back = decode(encode(it));
            RC_ASSERT(back.has_value());
            RC_ASSERT(back->kind == it.kind);
            RC_ASSERT(back->start == it.start);
            RC_ASSERT(back->request_id == it.request_id);
            RC_ASSERT(back->subject == it.subject);
            RC_ASSERT(back->summary == it.summary);
            RC_ASSERT(back->records.size() == 2U);
            RC_ASSERT(equal(back->records[0], it.records[0]));
            RC_ASSERT(equal(back->records[1], it.records[1]));
            RC_ASSERT(encode(it).size() <= encoded_bytes(it.records[0]) +
                                               encoded_bytes(it.records[1]) +
                                               600U);
        });
    BOOST_TEST(unchanged);
}

BOOST_AUTO_TEST_SUITE(of_a_later_release)

BOOST_AUTO_TEST_CASE(are_read_without_their_unknown_fields)
{
    auto buf = msgpack::sbuffer{};
    auto out = packer{buf};
    out.pack_map(5);
    out.pack(0).pack(200);
    out.pack(1).pack(9);
    out.pack(99).pack(std::map<std::string, std::vector<int>>{{"x", {1, 2}}});
    out.pack(std::string{"name"}).pack(std::string{"value"});
    out.pack(4).pack_array(1);
    out.pack_array(9);
    out.pack(77).pack(std::string{"key"}).pack(3).pack(4).pack(9);
    out.pack_bin(2).pack_bin_body("ab", 2);
    out.pack_array(3).pack(60).pack(5).pack(1);
    out.pack(std::string{"new"}).pack(1.5);
    auto const it = decode({buf.data(), buf.size()});
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST((it->kind == message_kind::push));
    BOOST_TEST(it->start == incarnation{9});
    BOOST_REQUIRE(it->records.size() == 1U);
    BOOST_TEST((it->records[0].key == record_key{topic{77}, "key"}));
    BOOST_TEST((it->records[0].urgency == urgency::bulk));
    BOOST_TEST((it->records[0].lifetime == 60s));
}

BOOST_AUTO_TEST_CASE(use_defaults_for_absent_fields)
{
    auto buf = msgpack::sbuffer{};
    packer{buf}.pack_map(0);
    auto const it = decode({buf.data(), buf.size()});
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST((it->kind == message_kind::push));
    BOOST_TEST(it->records.empty());
}

BOOST_AUTO_TEST_CASE(keep_a_member_whose_payload_has_more_fields)
{
    auto it = to_record({host_id{"h"},
                         {"10.0.0.1", 7},
                         domain_id{"d"},
                         incarnation{3},
                         host_state::alive});
    it.payload += " weight=3";
    auto const back = to_member(it);
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(back->domain == domain_id{"d"});
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_are_hostile)

BOOST_AUTO_TEST_CASE(are_refused_without_an_exception)
{
    auto const whole = encode(sample_message());
    auto random = random_source{3};
    auto refused = 0;
    for (auto n = 0; n < 20000; ++n)
    {
        auto bytes = whole.substr(0, 1 + random.below(whole.size()));
        for (auto flips = random.below(4); flips > 0; --flips)
        {
            bytes[random.below(bytes.size())] = static_cast<char>(random());
        }
        refused += decode(bytes) ? 0 : 1;
    }
    BOOST_TEST(refused > 10000);
    BOOST_TEST(!decode(""));
    BOOST_TEST(!decode(std::string(max_message_bytes + 1, '\x80')));
}

BOOST_AUTO_TEST_CASE(cannot_nest_deeply_or_announce_huge_sizes)
{
    BOOST_TEST(!decode(std::string(10000, '\x91')));
    BOOST_TEST(!decode(std::string("\xdf\xff\xff\xff\xff", 5)));
    BOOST_TEST(!decode(std::string("\x81\x04\xdd\xff\xff\xff\xff", 7)));
    BOOST_TEST(!decode(std::string("\x81\x05\xc6\xff\xff\xff\xff", 7)));
}

BOOST_AUTO_TEST_CASE(are_refused_where_a_key_or_payload_is_too_long)
{
    auto it = sample_message();
    it.records[0].key.name = std::string(max_key_bytes + 1, 'k');
    BOOST_TEST(!decode(encode(it)));
    it = sample_message();
    it.records[0].payload = std::string(max_payload_bytes + 1, 'p');
    BOOST_TEST(!decode(encode(it)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(records_in_the_store)

BOOST_AUTO_TEST_CASE(are_the_newest_of_each_key_as_in_a_plain_map)
{
    auto const same_as_map = rc::check(
        "store equals a map of newest versions",
        []
        {
            auto actual = record_store{};
            auto reference = std::map<record_key, record>{};
            auto const puts = *rc::gen::inRange(1, 60);
            for (auto n = 0; n < puts; ++n)
            {
                auto const it = any_record();
                auto const held = reference.find(it.key);
                auto const newer = held == reference.end() ||
                                   held->second.version < it.version;
                RC_ASSERT(actual.put(it, time_point{}) == newer);
                if (newer)
                {
                    reference[it.key] = it;
                }
            }
            auto rebuilt = record_store{};
            for (auto it = reference.rbegin(); it != reference.rend(); ++it)
            {
                rebuilt.put(it->second, time_point{});
                auto const found = actual.find(it->first, time_point{});
                RC_ASSERT(found.has_value());
                RC_ASSERT(equal(*found, it->second));
            }
            RC_ASSERT(actual.size() == reference.size());
            RC_ASSERT(actual.summary() == rebuilt.summary());
            RC_ASSERT(actual.bytes() == rebuilt.bytes());
            RC_ASSERT(actual.keys_differing_from(rebuilt.summary()).empty());
        });
    BOOST_TEST(same_as_map);
}

BOOST_AUTO_TEST_CASE(differ_in_the_digest_where_one_is_newer)
{
    auto a = record_store{};
    auto b = record_store{};
    for (auto n = 0; n < 200; ++n)
    {
        auto it = record{};
        it.key = {topic::configuration, std::to_string(n)};
        it.version = {0, 1};
        a.put(it, {});
        it.version.sequence += n == 77 ? 1 : 0;
        b.put(it, {});
    }
    auto const keys = a.keys_differing_from(b.summary());
    auto const changed = record_key{topic::configuration, "77"};
    BOOST_TEST((std::find(keys.begin(), keys.end(), changed) != keys.end()));
    BOOST_TEST(keys.size() < 20U);
}

BOOST_AUTO_TEST_CASE(are_bounded_in_number_and_bytes)
{
    auto few = record_store{{.max_records = 10, .max_bytes = 1000000}};
    auto small = record_store{{.max_records = 1000, .max_bytes = 1000}};
    for (auto n = 0; n < 1000; ++n)
    {
        auto it = record{};
        it.key = {topic::usage, std::to_string(n)};
        few.put(it, {});
        small.put(it, {});
    }
    BOOST_TEST(few.size() == 10U);
    BOOST_TEST(few.refused() == 990U);
    BOOST_TEST(small.bytes() <= 1000U);
}

BOOST_AUTO_TEST_CASE(expire_and_are_not_accepted_again)
{
    auto store = record_store{};
    auto it = record{};
    it.key = {topic::load, "h"};
    it.lifetime = 10s;
    BOOST_TEST(store.put(it, time_point{}));
    BOOST_TEST(store.expire(time_point{9s}).empty());
    BOOST_TEST((store.find(it.key, time_point{9s})->age == 9s));
    BOOST_TEST(store.expire(time_point{10s}).size() == 1U);
    it.age = 10s;
    BOOST_TEST(!store.put(it, time_point{10s}));
    BOOST_TEST(store.size() == 0U);
    BOOST_TEST(store.bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::membership
