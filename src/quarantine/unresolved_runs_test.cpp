#include "quarantine/unresolved_runs.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

namespace primrosedeal::quarantine
{

namespace
{

constexpr auto start = time_point{100s};

auto listed(std::string const& id, std::uint16_t port,
            std::uint64_t process_start = 1) -> directory::listed_target
{
    auto out = directory::listed_target{};
    out.id = target_id{id};
    out.address = {"10.0.0.1", port};
    out.process_start = incarnation{process_start};
    return out;
}

auto port_of(std::string const& target) -> std::uint16_t
{
    constexpr auto first_port = 8000;
    return static_cast<std::uint16_t>(first_port + (target.back() - '0'));
}

auto identity(std::string const& path) -> suspect_id
{
    return to_identity({"GET", path, "", ""});
}

struct host
{
    host()
    {
        end_run("r0", "/culprit", "t0", start);
        end_run("r1", "/sound", "t0", start);
        end_run("r0", "/culprit", "t1", start);
    }

    void end_run(std::string const& request, std::string const& path,
                 std::string const& target, time_point at)
    {
        runs.add({listed(target, port_of(target)),
                  {request_id{request}, {identity(path)}, at},
                  at});
    }

    auto accused(std::string const& target, time_point now)
        -> std::vector<std::string>
    {
        auto out = std::vector<std::string>{};
        for (auto const& it : runs.take(target_id{target}, now))
        {
            out.push_back(it.run.request.value());
        }
        return out;
    }

    unresolved_runs runs;
};

using names = std::vector<std::string>;
using targets = std::set<target_id>;

} // namespace

BOOST_AUTO_TEST_SUITE(runs_that_ended_unanswered)

BOOST_AUTO_TEST_SUITE(at_a_target_that_has_crashed)

BOOST_FIXTURE_TEST_CASE(are_accused_once, host)
{
    BOOST_TEST((accused("t0", start + 1s) == names{"r0", "r1"}));
    BOOST_TEST(accused("t0", start + 1s).empty());
    BOOST_TEST((accused("t1", start + 1s) == names{"r0"}));
}

BOOST_FIXTURE_TEST_CASE(are_not_accused_after_their_lifetime, host)
{
    end_run("r2", "/culprit", "t0", start + 5s);
    BOOST_TEST((accused("t0", start + 10s) == names{"r2"}));
    runs.expire(start + 10s);
    BOOST_TEST(runs.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(are_found_by_the_crash_that_another_host_reports, host)
{
    auto const first = incarnation{1};
    BOOST_TEST((runs.targets_of({to_crash_id(target_id{"t1"}, first),
                                 to_crash_id(target_id{"t0"}, incarnation{2}),
                                 to_crash_id(target_id{"t9"}, first)}) ==
                targets{target_id{"t1"}}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_a_target_whose_place_is_taken)

BOOST_FIXTURE_TEST_CASE(are_found_by_its_address, host)
{
    BOOST_TEST((runs.predecessors_of(listed("new", port_of("t0"), 2)) ==
                targets{target_id{"t0"}}));
}

BOOST_FIXTURE_TEST_CASE(are_found_by_its_id, host)
{
    BOOST_TEST((runs.predecessors_of(listed("t0", port_of("t7"), 2)) ==
                targets{target_id{"t0"}}));
}

BOOST_FIXTURE_TEST_CASE(are_not_found_by_its_own_entry, host)
{
    BOOST_TEST(runs.predecessors_of(listed("t0", port_of("t0"))).empty());
    BOOST_TEST(runs.predecessors_of(listed("older", port_of("t0"), 0)).empty());
}

BOOST_FIXTURE_TEST_CASE(are_forgotten_if_it_left_in_order, host)
{
    runs.on_leaving(target_id{"t0"});
    BOOST_TEST(runs.predecessors_of(listed("new", port_of("t0"), 2)).empty());
    BOOST_TEST(accused("t0", start).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(are_cleared)

BOOST_FIXTURE_TEST_CASE(by_an_answer_to_the_same_request, host)
{
    runs.on_answer(target_id{"t2"}, identity("/sound"), start);
    BOOST_TEST((accused("t0", start) == names{"r0"}));
}

BOOST_FIXTURE_TEST_CASE(by_later_answers_of_their_target, host)
{
    runs.on_answer(target_id{"t0"}, identity("/other"), start + 999ms);
    BOOST_TEST(runs.size() == 3U);
    runs.on_answer(target_id{"t0"}, identity("/other"), start + 1s);
    BOOST_TEST(accused("t0", start + 1s).empty());
    BOOST_TEST((accused("t1", start + 1s) == names{"r0"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(are_probed)

BOOST_FIXTURE_TEST_CASE(once_a_period_for_each_target, host)
{
    BOOST_TEST((runs.probe_due(target_id{"t0"}, start).value() ==
                listed("t0", port_of("t0"))));
    BOOST_TEST(!runs.probe_due(target_id{"t0"}, start + 249ms));
    BOOST_TEST(runs.probe_due(target_id{"t1"}, start + 249ms).has_value());
    BOOST_TEST(runs.probe_due(target_id{"t0"}, start + 250ms).has_value());
    BOOST_TEST(!runs.probe_due(target_id{"t9"}, start));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(beyond_their_bound)

BOOST_FIXTURE_TEST_CASE(give_way_oldest_first, host)
{
    runs = unresolved_runs{{.max_runs = 2}};
    end_run("r0", "/a", "t0", start);
    end_run("r1", "/b", "t0", start);
    end_run("r2", "/c", "t0", start);
    BOOST_TEST((accused("t0", start) == names{"r1", "r2"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::quarantine
