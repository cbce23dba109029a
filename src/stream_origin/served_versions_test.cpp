#include "stream_origin/origin_table.hpp"
#include "stream_origin/served_versions.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>

namespace primrosedeal::stream_origin
{

namespace
{

auto const engines = service_id{"engines"};
auto const v1 = software_version{"v1"};
auto const v2 = software_version{"v2"};
auto const v3 = software_version{"v3"};

auto at(duration it) -> time_point
{
    return time_point{it};
}

/// One host that watches the store, and the store's record.
struct watching_host
{
    auto next(version_set const& listed, duration now,
              std::size_t hosts_ahead = 0) -> std::optional<version_set>
    {
        auto const it =
            versions.next_write({{engines, listed}}, hosts_ahead, at(now));
        return it ? std::optional{it->versions} : std::nullopt;
    }

    void store(version_set const& it)
    {
        versions.apply(engines, it);
    }

    served_versions versions;
};

} // namespace

BOOST_AUTO_TEST_SUITE(the_record_of_a_services_versions)

BOOST_FIXTURE_TEST_CASE(gets_a_version_as_soon_as_a_target_has_it,
                        watching_host)
{
    BOOST_TEST((next({v1}, 0s) == version_set{v1}));
    store({v1});
    BOOST_TEST(!next({v1}, 1s));
    BOOST_TEST((next({v1, v2}, 2s) == version_set{v1, v2}));
    BOOST_TEST((versions.recorded(engines) == version_set{v1}));
    BOOST_TEST(!versions.several_recorded());
    store({v1, v2});
    BOOST_TEST(versions.several_recorded());
}

BOOST_FIXTURE_TEST_CASE(keeps_a_version_while_its_streams_may_be_resumed,
                        watching_host)
{
    store({v1, v2});
    BOOST_TEST(!next({v2}, 10s));
    BOOST_TEST(!next({v2}, 10s + origin_lifetime));
    auto const later = 10s + origin_lifetime + 1s;
    BOOST_TEST((next({v2}, later) == version_set{v2}));
    store({v2});
    // Taken back, and replaced once more.
    BOOST_TEST((next({v1, v2}, later + 1s) == version_set{v1, v2}));
    store({v1, v2});
    BOOST_TEST(!next({v2}, later + 2s));
}

BOOST_FIXTURE_TEST_CASE(keeps_a_version_that_left_while_no_host_ran,
                        watching_host)
{
    store({v1});
    BOOST_TEST((next({v2}, 0s) == version_set{v1, v2}));
    store({v1, v2});
    BOOST_TEST((next({v2, v3}, 2s) == version_set{v1, v2, v3}));
}

BOOST_FIXTURE_TEST_CASE(keeps_a_version_that_may_have_been_listed_unseen,
                        watching_host)
{
    store({v1, v2});
    BOOST_TEST(!next({v2}, 0s));
    versions.contact_lost();
    BOOST_TEST(!next({v2}, origin_lifetime + 1s));
    BOOST_TEST((next({v2}, 2 * origin_lifetime + 2s) == version_set{v2}));
}

BOOST_FIXTURE_TEST_CASE(is_written_by_the_next_host_if_the_first_one_does_not,
                        watching_host)
{
    BOOST_TEST(!next({v1}, 0s, 3));
    BOOST_TEST(!next({v1}, 599ms, 3));
    BOOST_TEST(next({v1}, 600ms, 3).has_value());
    // However many are ahead, within the bound; and not with every call.
    BOOST_TEST(!next({v1}, 700ms, 3));
    auto many = watching_host{};
    BOOST_TEST(!many.next({v1}, 0s, 360));
    BOOST_TEST(many.next({v1}, max_record_write_delay, 360).has_value());
}

// A host that was restarted beside this one read the shorter record.
BOOST_FIXTURE_TEST_CASE(gets_what_it_had_before_the_store_was_restored,
                        watching_host)
{
    store({v1, v2});
    versions.store_restored();
    store({v1});
    BOOST_TEST(!versions.complete({{engines, {v1}}}, at(0s)));
    BOOST_TEST((next({v1}, 0s) == version_set{v1, v2}));
    // Its targets are not listed again.
    BOOST_TEST((next({}, 1s) == version_set{v1, v2}));
    store({v1, v2});
    BOOST_TEST(versions.complete({{engines, {v1}}}, at(2s)));
    auto const later = origin_lifetime + 3s;
    BOOST_TEST((next({v1}, later) == version_set{v1}));
}

// Streams of unknown origin were refused for ever beside the record of a
// service that had been retired.
BOOST_FIXTURE_TEST_CASE(ends_empty_if_its_service_has_no_targets_any_more,
                        watching_host)
{
    store({v1});
    BOOST_TEST(!versions.next_write({}, 0, at(0s)));
    BOOST_TEST(!versions.next_write({}, 0, at(origin_lifetime)));
    auto const it = versions.next_write({}, 0, at(origin_lifetime + 1s));
    BOOST_REQUIRE(it.has_value());
    BOOST_TEST((it->service == engines));
    BOOST_TEST(it->versions.empty());
    BOOST_TEST(versions.all_recorded().size() == 1U);
    store({});
    BOOST_TEST(versions.all_recorded().empty());
    BOOST_TEST(!versions.next_write({}, 0, at(origin_lifetime + 9s)));
    // Its targets are back.
    BOOST_TEST((next({v2}, origin_lifetime + 9s) == version_set{v2}));
}

BOOST_FIXTURE_TEST_CASE(lacks_versions_that_are_listed_or_it_is_complete,
                        watching_host)
{
    BOOST_TEST(versions.complete({}, at(0s)));
    BOOST_TEST(!versions.complete({{engines, {v1}}}, at(0s)));
    store({v1});
    BOOST_TEST(versions.complete({{engines, {v1}}}, at(0s)));
    BOOST_TEST(!versions.complete({{engines, {v1, v2}}}, at(0s)));
}

BOOST_FIXTURE_TEST_CASE(is_written_again_if_it_is_unreadable, watching_host)
{
    store({v1});
    versions.apply(engines, decode_versions("\xc1"));
    BOOST_TEST(versions.recorded(engines).empty());
    BOOST_TEST((next({v1}, 0s) == version_set{v1}));
}

BOOST_AUTO_TEST_CASE(is_read_as_it_was_written)
{
    BOOST_TEST((decode_versions(encode({v1, v2})) == version_set{v1, v2}));
    BOOST_TEST((decode_versions(encode({})) == version_set{}));
    BOOST_TEST(!decode_versions(""));
    auto const bytes = encode({v1, v2});
    BOOST_TEST(!decode_versions(bytes.substr(0, bytes.size() - 1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::stream_origin
