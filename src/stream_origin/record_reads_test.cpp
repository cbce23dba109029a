#include "stream_origin/record_reads.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <utility>

namespace primrosedeal::stream_origin
{

namespace
{

auto const engines = service_id{"engines"};
auto const others = service_id{"others"};

constexpr auto answer_time = duration{10ms};

/// Requests of one host, and the reads of the store for them.
struct reading_host
{
    void ask(service_id const& service)
    {
        plan(service,
             reads.add(
                 service, [this](versions_by_service const&) { ++told; }, now));
    }

    void plan(service_id const& service, std::optional<time_point> const& at)
    {
        if (at)
        {
            due[service] = *at;
        }
    }

    /// Lets time pass; each read that begins is answered after `answer_time`.
    void pass(duration time)
    {
        for (auto const until = now + time; now < until; now += 1ms)
        {
            for (auto const& [service, at] : std::exchange(due, {}))
            {
                if (at > now)
                {
                    due[service] = at;
                    continue;
                }
                ++begun;
                begun_at[service] = now;
                reads.begin(service, now);
            }
            for (auto const& [service, at] : std::exchange(begun_at, {}))
            {
                if (now < at + answer_time)
                {
                    begun_at[service] = at;
                    continue;
                }
                auto const ended = reads.end(service, answers, now);
                plan(service, ended.next_at);
                for (auto const& it : ended.waiting)
                {
                    it({});
                }
            }
        }
    }

    record_reads reads;
    std::map<service_id, time_point> due;
    std::map<service_id, time_point> begun_at;
    time_point now{};
    bool answers = true;
    int begun = 0;
    int told = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(reads_of_a_record, reading_host)

BOOST_AUTO_TEST_CASE(answer_no_request_that_arrived_after_they_began)
{
    ask(engines);
    pass(1ms);
    ask(engines);
    pass(answer_time);
    BOOST_TEST(told == 1);
    pass(record_read_gap + answer_time);
    BOOST_TEST(told == 2);
}

BOOST_AUTO_TEST_CASE(are_few_for_many_streams_that_are_taken_up)
{
    constexpr auto streams = 50;
    for (auto i = 0; i < streams; ++i)
    {
        ask(engines);
    }
    pass(1s);
    BOOST_TEST(begun == 1);
    // Over a second.
    for (auto i = 0; i < streams; ++i)
    {
        ask(engines);
        pass(20ms);
    }
    pass(1s);
    BOOST_TEST(told == 2 * streams);
    BOOST_TEST(begun <= 1 + 1s / record_read_gap + 1);
}

BOOST_AUTO_TEST_CASE(do_not_keep_requests_waiting_for_a_store_that_is_silent)
{
    answers = false;
    ask(engines);
    pass(1ms);
    ask(engines);
    pass(answer_time);
    BOOST_TEST(told == 2);
    pass(1s);
    BOOST_TEST(begun == 1);
    ask(engines);
    pass(1ms);
    BOOST_TEST(begun == 2);
}

BOOST_AUTO_TEST_CASE(of_two_services_do_not_wait_for_each_other)
{
    ask(engines);
    ask(others);
    pass(1ms);
    BOOST_TEST(begun == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::stream_origin
