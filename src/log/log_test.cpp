#include "log/crash_report.hpp"
#include "log/log.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <stdexcept>
#include <string>

namespace primrosedeal::log
{

namespace
{

/// A pipe that nobody reads unless asked to.
struct stalled_pipe
{
    stalled_pipe()
    {
        BOOST_REQUIRE(::pipe(ends.data()) == 0);
    }

    stalled_pipe(stalled_pipe const&) = delete;
    auto operator=(stalled_pipe const&) -> stalled_pipe& = delete;

    ~stalled_pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    auto read_lines() -> std::size_t
    {
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        auto lines = std::size_t{0};
        char buf[4096];
        for (auto n = ::read(ends[0], buf, sizeof buf); n > 0;
             n = ::read(ends[0], buf, sizeof buf))
        {
            lines += static_cast<std::size_t>(std::count(buf, buf + n, '\n'));
        }
        return lines;
    }

    std::array<int, 2> ends{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_line)

BOOST_AUTO_TEST_CASE(is_one_json_object_whatever_its_values_hold)
{
    auto const line = format_line(level::warning, "event_name",
                                  {{"plain", "a"},
                                   {"forged", "x\"}\n{\"event\":\"y\"\\"},
                                   {"bytes", "\x01\xff"}},
                                  17);
    BOOST_TEST(line.find('\n') == std::string::npos);
    auto const it = nlohmann::json::parse(line);
    BOOST_TEST(it["event"].get<std::string>() == "event_name");
    BOOST_TEST(it["time_ms"].get<int>() == 17);
    BOOST_TEST(it["forged"].get<std::string>() == "x\"}\n{\"event\":\"y\"\\");
}

BOOST_AUTO_TEST_CASE(is_never_longer_than_a_pipe_takes_at_once)
{
    constexpr auto pipe_buf = std::size_t{4096};
    auto const long_value = std::string(100000, 'a');
    auto const line = format_line(level::info, "e",
                                  {{"a", long_value},
                                   {"b", long_value},
                                   {"c", long_value},
                                   {"d", long_value},
                                   {"e", long_value},
                                   {"f", long_value},
                                   {"g", long_value},
                                   {"h", long_value},
                                   {"i", long_value}},
                                  17);
    BOOST_TEST(line.size() < pipe_buf);
    BOOST_TEST(nlohmann::json::parse(line).is_object());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(many_lines)

BOOST_FIXTURE_TEST_CASE(to_a_reader_that_stalls_are_dropped_and_counted,
                        stalled_pipe)
{
    auto const logging = scope{level::info, ends[1]};
    auto const before = dropped_lines();
    auto const value = std::string(500, 'a');
    constexpr auto lines = std::uint64_t{2000};
    for (auto i = std::uint64_t{0}; i < lines; ++i)
    {
        // Returns although nobody reads: a blocked write would never end.
        write(level::info, "e", {{"value", value}});
    }
    auto const dropped = dropped_lines() - before;
    BOOST_TEST(dropped > 0U);
    BOOST_TEST(read_lines() + dropped == lines);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_process_that_fails)

namespace
{

struct ended_child
{
    std::string output;
    int status = 0;
};

/// Runs `work` in a child process whose log goes to a pipe.
template <class Work>
auto run_in_child(Work const& work) -> ended_child
{
    auto ends = std::array<int, 2>{};
    BOOST_REQUIRE(::pipe(ends.data()) == 0);
    auto const pid = ::fork();
    BOOST_REQUIRE(pid >= 0);
    if (pid == 0)
    {
        auto const logging = scope{level::info, ends[1]};
        install_crash_report(ends[1]);
        work();
        ::_exit(0);
    }
    ::close(ends[1]);
    auto out = ended_child{};
    char buf[4096];
    for (auto n = ::read(ends[0], buf, sizeof buf); n > 0;
         n = ::read(ends[0], buf, sizeof buf))
    {
        out.output.append(buf, static_cast<std::size_t>(n));
    }
    ::close(ends[0]);
    ::waitpid(pid, &out.status, 0);
    return out;
}

void throw_error()
{
    throw std::runtime_error("no such call");
}

} // namespace

BOOST_AUTO_TEST_CASE(logs_the_fatal_signal_that_ends_it)
{
    auto const it = run_in_child([] { std::raise(SIGSEGV); });
    BOOST_TEST(WIFSIGNALED(it.status));
    BOOST_TEST(WTERMSIG(it.status) == SIGSEGV);
    auto const line = nlohmann::json::parse(it.output);
    BOOST_TEST(line.at("event") == "process_failed");
    BOOST_TEST(line.at("signal") == std::to_string(SIGSEGV));
    BOOST_TEST(line.at("time_ms").get<std::int64_t>() > 0);
}

BOOST_AUTO_TEST_CASE(logs_the_exception_that_ends_it)
{
    auto const it = run_in_child([]() noexcept { throw_error(); });
    BOOST_TEST(WIFSIGNALED(it.status));
    BOOST_TEST(WTERMSIG(it.status) == SIGABRT);
    auto const first = it.output.substr(0, it.output.find('\n'));
    auto const line = nlohmann::json::parse(first);
    BOOST_TEST(line.at("event") == "process_failed");
    BOOST_TEST(line.at("why") == "no such call");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::log
