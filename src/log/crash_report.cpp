#include "log/crash_report.hpp"

#include "log/log.hpp"

#include <unistd.h>

#include <array>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <string_view>

// A signal handler may not allocate or call log4cplus, so it composes its line
// in a buffer of its own.
namespace primrosedeal::log
{

namespace
{

constexpr auto fatal_signals =
    std::array{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};

volatile std::sig_atomic_t report_fd = 1;

/// A short line in a fixed buffer.
class signal_safe_line
{
public:
    void add(std::string_view text)
    {
        for (auto const c : text.substr(0, buf_.size() - size_))
        {
            buf_.at(size_++) = c;
        }
    }

    void add(std::int64_t n)
    {
        auto const [end, ec] =
            std::to_chars(buf_.data() + size_, buf_.data() + buf_.size(), n);
        size_ = ec == std::errc{} ? static_cast<std::size_t>(end - buf_.data())
                                  : size_;
    }

    void write_to(int fd) const
    {
        // The process is ending, so nothing can be done about a failure.
        static_cast<void>(!::write(fd, buf_.data(), size_));
    }

private:
    std::array<char, 192> buf_{};
    std::size_t size_ = 0;
};

void on_fatal_signal(int signal_number)
{
    auto ts = timespec{};
    clock_gettime(CLOCK_REALTIME, &ts);
    constexpr auto ms_per_second = 1000;
    constexpr auto ns_per_ms = 1'000'000;
    auto line = signal_safe_line{};
    line.add("{\"time_ms\":");
    line.add(std::int64_t{ts.tv_sec} * ms_per_second + ts.tv_nsec / ns_per_ms);
    line.add(",\"level\":\"error\",\"event\":\"process_failed\",\"signal\":\"");
    line.add(signal_number);
    line.add("\"}\n");
    line.write_to(report_fd);
    // SA_RESETHAND has restored the default action.
    std::raise(signal_number);
}

[[noreturn]] void on_terminate()
{
    auto why = std::string{"std::terminate"};
    if (auto const current = std::current_exception())
    {
        try
        {
            std::rethrow_exception(current);
        }
        catch (std::exception const& e)
        {
            why = e.what();
        }
        catch (...)
        {
            why = "unknown exception";
        }
    }
    write(level::error, "process_failed", {{"why", why}});
    std::abort();
}

} // namespace

void install_crash_report(int fd)
{
    report_fd = fd;
    std::set_terminate(on_terminate);
    struct sigaction action = {};
    action.sa_handler = on_fatal_signal;
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    for (auto const it : fatal_signals)
    {
        sigaction(it, &action, nullptr);
    }
}

} // namespace primrosedeal::log
