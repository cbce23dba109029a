#include "directory/target_directory.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::directory
{

namespace
{

auto at(int ms) -> time_point
{
    return time_point{std::chrono::milliseconds{ms}};
}

auto target(std::string id, std::uint64_t process_start = 1,
            bool leaving = false, std::uint16_t port = 1) -> listed_target
{
    auto out = listed_target{};
    out.id = target_id{std::move(id)};
    out.process_start = incarnation{process_start};
    out.service = service_id{"s"};
    out.address = {"10.0.0.1", port};
    out.domain = domain_id{"d"};
    out.leaving = leaving;
    return out;
}

struct known_targets
{
    auto apply(event const& it, int ms) -> std::vector<change>
    {
        return directory.handle(it, at(ms));
    }

    void write(listed_target const& it, int ms = 0)
    {
        apply(entry_written{it.id, it}, ms);
    }

    [[nodiscard]] auto accepts(std::string const& id) const -> bool
    {
        return directory.takes_new_work(target_id{id});
    }

    target_directory directory;
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_target)

BOOST_FIXTURE_TEST_CASE(of_another_version_than_its_service_is_noticed,
                        known_targets)
{
    auto const at_version = [](std::string id, std::string version)
    {
        auto out = target(std::move(id));
        out.version = software_version{std::move(version)};
        return out;
    };
    write(at_version("a", "v1"));
    auto other_service = at_version("b", "v2");
    other_service.service = service_id{"other"};
    write(other_service);
    auto const versions = [&]
    {
        return directory.versions().at(service_id{"s"}).size();
    };
    BOOST_TEST(versions() == 1U);
    BOOST_TEST(directory.has_one_version(service_id{"s"}, at(0)));
    write(at_version("c", "v2"));
    BOOST_TEST(versions() == 2U);
    BOOST_TEST(!directory.has_one_version(service_id{"s"}, at(0)));
    // The same id may start again with another version.
    auto again = at_version("a", "v2");
    again.process_start = incarnation{2};
    write(again, 500);
    BOOST_TEST(versions() == 1U);
    // Streams that the other version began may still be resumed.
    BOOST_TEST(!directory.has_one_version(service_id{"s"}, at(500)));
    BOOST_TEST(directory.has_one_version(service_id{"s"}, at(501)));
}

BOOST_FIXTURE_TEST_CASE(accepts_requests_once_its_entry_is_written,
                        known_targets)
{
    write(target("a"));
    BOOST_TEST(accepts("a"));
    BOOST_TEST(directory.usable(service_id{"s"}).size() == 1U);
    BOOST_TEST(directory.usable(service_id{"other"}).empty());
}

BOOST_AUTO_TEST_SUITE(that_leaves)

BOOST_FIXTURE_TEST_CASE(accepts_no_more_requests_whatever_entries_follow,
                        known_targets)
{
    write(target("a"));
    write(target("a", 1, true), 1);
    BOOST_TEST(!accepts("a"));
    write(target("a"), 2);
    BOOST_TEST(!accepts("a"));
    apply(all_entries{{target("a")}}, 3);
    BOOST_TEST(!accepts("a"));
}

BOOST_FIXTURE_TEST_CASE(accepts_requests_again_as_a_new_process, known_targets)
{
    write(target("a", 1, true));
    write(target("a", 2), 1);
    BOOST_TEST(accepts("a"));
}

BOOST_FIXTURE_TEST_CASE(may_say_so_itself_before_its_entry_does, known_targets)
{
    write(target("a"));
    auto const changes =
        apply(target_leaving{target_id{"a"}, incarnation{1}}, 1);
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST((changes.front().to == change_kind::leaving));
    BOOST_TEST(!accepts("a"));
    // Entries and copies of peers that are older.
    write(target("a"), 2);
    apply(peer_entries{{target("a")}}, 3);
    BOOST_TEST(!accepts("a"));
    BOOST_TEST(
        apply(target_leaving{target_id{"a"}, incarnation{1}}, 4).empty());
    write(target("a", 2), 5);
    BOOST_TEST(accepts("a"));
    // A late answer of the process before.
    apply(target_leaving{target_id{"a"}, incarnation{1}}, 6);
    BOOST_TEST(accepts("a"));
}

BOOST_FIXTURE_TEST_CASE(stays_out_of_use_if_it_is_listed_only_later,
                        known_targets)
{
    apply(target_leaving{target_id{"a"}, incarnation{1}}, 1);
    write(target("a"), 2);
    BOOST_TEST(!accepts("a"));
    write(target("a", 2), 3);
    BOOST_TEST(accepts("a"));
}

BOOST_FIXTURE_TEST_CASE(is_not_replaced_by_a_late_heartbeat, known_targets)
{
    write(target("a", 2));
    write(target("a", 1, true), 1);
    BOOST_TEST(accepts("a"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(whose_entry_is_removed)

BOOST_FIXTURE_TEST_CASE(is_removed_at_once_while_the_store_is_available,
                        known_targets)
{
    write(target("a"));
    apply(entry_removed{target_id{"a"}}, 1);
    BOOST_TEST(!accepts("a"));
}

BOOST_FIXTURE_TEST_CASE(is_removed_if_its_entry_is_unusable, known_targets)
{
    write(target("a"));
    apply(entry_written{target_id{"a"}, std::nullopt}, 1);
    BOOST_TEST(!accepts("a"));
}

BOOST_FIXTURE_TEST_CASE(is_kept_for_a_grace_period_after_an_outage,
                        known_targets)
{
    write(target("a"));
    write(target("b", 1, false, 2));
    apply(store_lost{}, 100);
    apply(store_regained{}, 5000);
    apply(all_entries{{}}, 5000);
    BOOST_TEST(accepts("a"));
    write(target("b", 1, false, 2), 6000);
    directory.expire(at(5000) + lapse_grace);
    BOOST_TEST(!accepts("a"));
    BOOST_TEST(accepts("b"));
}

BOOST_FIXTURE_TEST_CASE(is_removed_at_once_if_only_this_host_lost_the_store,
                        known_targets)
{
    write(target("a"));
    write(target("b", 1, false, 2));
    apply(store_lost{}, 2600);
    // Removed before this host detected that its watch had failed.
    apply(entry_removed{target_id{"a"}}, 2800);
    BOOST_TEST(accepts("a"));
    apply(store_regained{true}, 2900);
    BOOST_TEST(!accepts("a"));
    apply(entry_removed{target_id{"b"}}, 3000);
    BOOST_TEST(!accepts("b"));
}

BOOST_FIXTURE_TEST_CASE(is_removed_if_a_peer_in_contact_does_not_list_it,
                        known_targets)
{
    write(target("a"));
    write(target("b", 1, false, 2));
    apply(store_lost{}, 100);
    apply(peer_entries{{target("b", 1, false, 2)}}, 200);
    BOOST_TEST(!accepts("a"));
    BOOST_TEST(accepts("b"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_a_restored_store_lists_again)

// Requests were sent to targets that had left before the copy was restored.
BOOST_FIXTURE_TEST_CASE(accepts_no_requests_if_it_had_left, known_targets)
{
    write(target("a"));
    apply(entry_removed{target_id{"a"}}, 1000);
    apply(restored_entries{{target("a")}}, 3000);
    BOOST_TEST(!accepts("a"));
    apply(all_entries{{target("a")}}, 3500);
    BOOST_TEST(!accepts("a"));
    apply(entry_removed{target_id{"a"}}, 5000);
    directory.expire(at(3000) + restored_entry_probation);
    BOOST_TEST(!accepts("a"));
}

BOOST_FIXTURE_TEST_CASE(accepts_requests_once_it_writes_its_entry,
                        known_targets)
{
    write(target("a"));
    apply(entry_removed{target_id{"a"}}, 1000);
    apply(restored_entries{{target("a")}}, 3000);
    write(target("a"), 3500);
    BOOST_TEST(accepts("a"));
}

BOOST_FIXTURE_TEST_CASE(accepts_requests_if_its_entry_stays, known_targets)
{
    write(target("a"));
    apply(entry_removed{target_id{"a"}}, 1000);
    apply(restored_entries{{target("a")}}, 3000);
    directory.expire(at(3000) + restored_entry_probation);
    BOOST_TEST(accepts("a"));
}

BOOST_FIXTURE_TEST_CASE(accepts_requests_if_it_is_not_known, known_targets)
{
    apply(restored_entries{{target("a")}}, 3000);
    BOOST_TEST(accepts("a"));
}

BOOST_FIXTURE_TEST_CASE(accepts_requests_as_a_new_process, known_targets)
{
    write(target("a"));
    apply(entry_removed{target_id{"a"}}, 1000);
    apply(restored_entries{{target("a", 2)}}, 3000);
    BOOST_TEST(accepts("a"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(is_removed_if_a_newer_one_has_its_address,
                        known_targets)
{
    write(target("a", 1));
    write(target("b", 2));
    BOOST_TEST(!accepts("a"));
    BOOST_TEST(accepts("b"));
}

BOOST_FIXTURE_TEST_CASE(is_excluded_if_another_one_answers_at_its_address,
                        known_targets)
{
    write(target("a"));
    apply(target_replaced{target_id{"a"}}, 1);
    write(target("a"), 2);
    BOOST_TEST(!accepts("a"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::directory
