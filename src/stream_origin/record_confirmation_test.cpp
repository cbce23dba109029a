#include "stream_origin/record_confirmation.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace primrosedeal::stream_origin
{

namespace
{

using external::store_era;

auto at(duration it) -> time_point
{
    return time_point{it};
}

/// A host that has been in contact with a store of the second era since `since`
/// and knows nothing from before.
struct new_host
{
    void observe(duration now, std::optional<duration> since = 0s)
    {
        view.contact = since ? std::optional{now - *since} : std::nullopt;
        it.observe(view, at(now));
    }

    record_view view{store_era{2}, {}, true, 0};
    record_confirmation it;
};

} // namespace

BOOST_AUTO_TEST_SUITE(records_of_a_store_that_was_restored)

// A host that had just started took the records of a restored store for
// complete, and went on with streams of versions that they lacked.
BOOST_FIXTURE_TEST_CASE(are_complete_only_in_the_era_that_a_host_confirmed,
                        new_host)
{
    observe(0s);
    BOOST_TEST(!it.complete());
    it.apply(store_era{1});
    BOOST_TEST(!it.complete());
    BOOST_TEST(it.complete_in(store_era{1}));
    it.apply(store_era{2});
    BOOST_TEST(it.complete());
    BOOST_TEST(!it.complete_in(store_era{3}));
}

BOOST_FIXTURE_TEST_CASE(are_confirmed_once_live_targets_had_time_to_write,
                        new_host)
{
    observe(0s);
    BOOST_TEST(!it.next_write(at(0s)));
    BOOST_TEST(!it.next_write(at(confirmation_delay - 1ms)));
    BOOST_TEST((it.expected_wait(at(1s)) == confirmation_delay - 1s));
    auto const written = it.next_write(at(confirmation_delay));
    BOOST_TEST((written == store_era{2}));
    // Until it comes back as an entry, and then not again.
    BOOST_TEST(!it.next_write(at(confirmation_delay + 500ms)));
    BOOST_TEST(it.next_write(at(confirmation_delay + 1s)).has_value());
    it.apply(store_era{2});
    BOOST_TEST(!it.next_write(at(confirmation_delay + 5s)));
    BOOST_TEST((it.expected_wait(at(1s)) == duration{}));
}

BOOST_FIXTURE_TEST_CASE(are_not_confirmed_across_an_outage, new_host)
{
    observe(0s);
    observe(2s, std::nullopt);
    BOOST_TEST(!it.next_write(at(10s)));
    observe(3s, 3s);
    BOOST_TEST(!it.next_write(at(3s + confirmation_delay - 1ms)));
    BOOST_TEST(it.next_write(at(3s + confirmation_delay)).has_value());
}

BOOST_FIXTURE_TEST_CASE(are_not_confirmed_early_after_a_second_restoration,
                        new_host)
{
    observe(0s);
    view.era = store_era{3};
    observe(2s);
    BOOST_TEST(!it.next_write(at(2s + confirmation_delay - 1ms)));
    BOOST_TEST((it.next_write(at(2s + confirmation_delay)) == store_era{3}));
}

BOOST_FIXTURE_TEST_CASE(are_not_confirmed_while_a_version_is_missing, new_host)
{
    view.complete = false;
    observe(0s);
    BOOST_TEST(!it.next_write(at(10s)));
    view.complete = true;
    observe(10s);
    BOOST_TEST(it.next_write(at(10s)).has_value());
}

BOOST_FIXTURE_TEST_CASE(are_confirmed_by_the_next_host_if_the_first_does_not,
                        new_host)
{
    view.hosts_ahead = 2;
    observe(0s);
    auto const due = confirmation_delay + 2 * confirmation_slot;
    BOOST_TEST(!it.next_write(at(due - 1ms)));
    BOOST_TEST(it.next_write(at(due)).has_value());
    view.hosts_ahead = 360;
    observe(10s, 10s);
    BOOST_TEST(
        it.next_write(at(10s + confirmation_delay + max_confirmation_wait))
            .has_value());
}

BOOST_AUTO_TEST_CASE(are_complete_where_the_store_names_no_era)
{
    BOOST_TEST(record_confirmation{}.complete());
    BOOST_TEST(record_confirmation{}.complete_in(store_era{}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::stream_origin
