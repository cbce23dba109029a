#include "log/log.hpp"

#include <absl/strings/escaping.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <memory>

namespace primrosedeal::log
{

namespace
{

auto is_plain(char c) -> bool
{
    return c > ' ' && c < 0x7F && c != '"' && c != '\\' && c != '=';
}

auto quoted(std::string const& value) -> std::string
{
    auto const plain =
        !value.empty() && std::all_of(value.begin(), value.end(), is_plain);
    return plain ? value : '"' + absl::CHexEscape(value) + '"';
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

} // namespace

struct scope::state
{
    log4cplus::Initializer initializer;
};

scope::scope(level least) : state_(new state)
{
    auto appender = log4cplus::SharedAppenderPtr{
        new log4cplus::ConsoleAppender(true, true)};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "%D{%Y-%m-%dT%H:%M:%S.%qZ} %p %m%n"));
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(to_log4cplus(least));
}

scope::~scope()
{
    delete state_;
}

auto format_line(std::string_view event, std::initializer_list<field> fields)
    -> std::string
{
    auto line = "event=" + std::string{event};
    for (auto const& it : fields)
    {
        line += ' ';
        line += it.name;
        line += '=';
        line += quoted(it.value);
    }
    return line;
}

void write(level how, std::string_view event,
           std::initializer_list<field> fields)
{
    auto root = log4cplus::Logger::getRoot();
    if (root.isEnabledFor(to_log4cplus(how)))
    {
        root.log(to_log4cplus(how), format_line(event, fields));
    }
}

} // namespace primrosedeal::log
