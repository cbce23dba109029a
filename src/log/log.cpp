#include "log/log.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>

// A pipe that reports room takes a line of up to PIPE_BUF bytes whole and
// without blocking, so no queue and no thread are needed.
namespace primrosedeal::log
{

namespace
{

/// Longest line in bytes: PIPE_BUF, less the line end.
constexpr auto max_line = std::size_t{4095};
/// Longest value in bytes.
constexpr auto max_value = std::size_t{512};

auto dropped() -> std::atomic<std::uint64_t>&
{
    static auto it = std::atomic<std::uint64_t>{0};
    return it;
}

auto unix_ms() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void append_escaped(std::string& out, std::string_view text)
{
    for (auto const c : text.substr(0, max_value))
    {
        auto const u = static_cast<unsigned char>(c);
        constexpr auto last_ascii = 0x7E;
        if (c == '"' || c == '\\')
        {
            out += '\\';
            out += c;
        }
        else if (u < ' ' || u > last_ascii)
        {
            char buf[8];
            std::snprintf(buf, sizeof buf, "\\u%04x", u);
            out += buf;
        }
        else
        {
            out += c;
        }
    }
}

auto to_log4cplus(level it) -> log4cplus::LogLevel
{
    switch (it)
    {
    case level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

auto to_text(level it) -> std::string_view
{
    switch (it)
    {
    case level::info:
        return "info";
    case level::warning:
        return "warning";
    case level::error:
        return "error";
    }
    return "info";
}

class bounded_appender : public log4cplus::Appender
{
public:
    explicit bounded_appender(int fd) : fd_(fd) {}

    ~bounded_appender() override
    {
        destructorImpl();
    }

    void close() override {}

protected:
    void append(log4cplus::spi::InternalLoggingEvent const& event) override
    {
        auto const& line = event.getMessage();
        if (!in_bounds() || !has_room() || !put(line + "\n"))
        {
            ++dropped();
        }
    }

private:
    auto in_bounds() -> bool
    {
        constexpr auto ms_per_second = 1000;
        auto const second = unix_ms() / ms_per_second;
        if (second != second_)
        {
            second_ = second;
            lines_ = 0;
        }
        return ++lines_ <= max_lines_per_second;
    }

    [[nodiscard]] auto has_room() const -> bool
    {
        auto it = pollfd{fd_, POLLOUT, 0};
        return ::poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
    }

    [[nodiscard]] auto put(std::string const& line) const -> bool
    {
        auto const n = ::write(fd_, line.data(), line.size());
        return n == static_cast<ssize_t>(line.size());
    }

    int fd_;
    std::int64_t second_ = 0;
    std::uint64_t lines_ = 0;
};

} // namespace

namespace
{

/// Never destroyed: log4cplus would join its thread pool, which waits for
/// good where threads are not scheduled any more. Nothing is buffered here.
void initialise_library()
{
    static auto* const it = new log4cplus::Initializer;
    static_cast<void>(it);
}

} // namespace

scope::scope(level least, int fd)
{
    initialise_library();
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(log4cplus::SharedAppenderPtr{new bounded_appender(fd)});
    root.setLogLevel(to_log4cplus(least));
}

scope::~scope()
{
    log4cplus::Logger::getRoot().removeAllAppenders();
}

auto format_line(level how, std::string_view event,
                 std::initializer_list<field> fields, std::int64_t time_ms)
    -> std::string
{
    auto line = "{\"time_ms\":" + std::to_string(time_ms) + ",\"level\":\"";
    line += to_text(how);
    line += "\",\"event\":\"";
    line += event;
    line += '"';
    for (auto const& it : fields)
    {
        auto member = ",\"" + std::string{it.name} + "\":\"";
        append_escaped(member, it.value);
        member += '"';
        if (line.size() + member.size() + 1 > max_line)
        {
            break;
        }
        line += member;
    }
    return line + '}';
}

void write(level how, std::string_view event,
           std::initializer_list<field> fields)
{
    auto root = log4cplus::Logger::getRoot();
    if (root.isEnabledFor(to_log4cplus(how)))
    {
        root.log(to_log4cplus(how), format_line(how, event, fields, unix_ms()));
    }
}

auto dropped_lines() -> std::uint64_t
{
    return dropped();
}

} // namespace primrosedeal::log
