#include "explain/explain.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace primrosedeal::explain
{

namespace
{

auto parse_line(std::string const& text) -> std::optional<log_line>
{
    auto const at = text.find('{');
    if (at == std::string::npos)
    {
        return std::nullopt;
    }
    auto const it = nlohmann::json::parse(text.substr(at), nullptr, false);
    if (!it.is_object() || !it.contains("event") || !it["event"].is_string())
    {
        return std::nullopt;
    }
    auto out = log_line{};
    out.time_ms = it.value("time_ms", std::int64_t{0});
    out.event = it["event"].get<std::string>();
    for (auto const& member : it.items())
    {
        if (member.value().is_string())
        {
            out.fields[member.key()] = member.value().get<std::string>();
        }
    }
    return out;
}

auto field(log_line const& it, std::string const& name) -> std::string
{
    auto const found = it.fields.find(name);
    return found == it.fields.end() ? std::string{} : found->second;
}

auto number_field(log_line const& it, std::string const& name) -> std::int64_t
{
    auto const text = field(it, name);
    auto out = std::int64_t{0};
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

auto last_of(std::vector<log_line> const& lines, std::string const& event)
    -> log_line const*
{
    auto const it =
        std::find_if(lines.rbegin(), lines.rend(),
                     [&](log_line const& l) { return l.event == event; });
    return it == lines.rend() ? nullptr : &*it;
}

auto failures_in(std::vector<log_line> const& lines) -> std::string
{
    auto out = std::string{};
    for (auto const& it : lines)
    {
        if (it.event == "attempt_failed")
        {
            out += out.empty() ? "" : ", ";
            out += field(it, "target") + " (" + field(it, "domain") +
                   "): " + field(it, "how");
        }
    }
    return out;
}

auto longest_pause(std::vector<log_line> const& lines) -> log_line const*
{
    log_line const* out = nullptr;
    for (auto const& it : lines)
    {
        if (it.event == "stream_continued" &&
            (out == nullptr ||
             number_field(*out, "pause_ms") < number_field(it, "pause_ms")))
        {
            out = &it;
        }
    }
    return out;
}

auto cause_of_completed(std::vector<log_line> const& lines, log_line const& end)
    -> std::string
{
    auto out = "complete after " + field(end, "took_ms") + " ms, " +
               field(end, "attempts") + " attempts";
    auto const failures = failures_in(lines);
    if (!failures.empty())
    {
        out += "; failed: " + failures;
    }
    auto const* const pause = longest_pause(lines);
    if (pause != nullptr)
    {
        out += "; paused " + field(*pause, "pause_ms") + " ms, resumed " +
               (field(*pause, "from_copy") == "true"
                    ? "from a copy"
                    : "by recomputing the prompt");
    }
    else if (number_field(end, "first_event_ms") > 0)
    {
        out += "; first event after " + field(end, "first_event_ms") + " ms";
    }
    return out;
}

/// Why a part of the request's prompt is quarantined; empty if none is.
auto quarantine_of(std::vector<log_line> const& lines) -> std::string
{
    auto const* const it = last_of(lines, "request_quarantined");
    return it == nullptr
               ? std::string{}
               : "; part " + field(*it, "part") + " of its prompt crashed " +
                     field(*it, "crashes") + " targets under " +
                     field(*it, "requests") + " requests";
}

/// Why a begun stream waited for its next attempt; empty if it did not.
auto wait_of(std::vector<log_line> const& lines) -> std::string
{
    auto const* const it = last_of(lines, "stream_waiting");
    return it == nullptr
               ? std::string{}
               : "; waited for its next attempt (" + field(*it, "reason") + ")";
}

} // namespace

auto find_request_lines(std::istream& in, std::string const& request)
    -> std::vector<log_line>
{
    auto out = std::vector<log_line>{};
    auto text = std::string{};
    while (std::getline(in, text))
    {
        // Most lines belong to other requests, and parsing dominates the cost.
        if (text.find(request) == std::string::npos)
        {
            continue;
        }
        auto it = parse_line(text);
        if (it && field(*it, "request") == request)
        {
            out.push_back(std::move(*it));
        }
    }
    std::stable_sort(out.begin(), out.end(),
                     [](log_line const& a, log_line const& b)
                     { return a.time_ms < b.time_ms; });
    return out;
}

auto explain_outcome(std::vector<log_line> const& lines) -> std::string
{
    if (lines.empty())
    {
        return "no log line has the request's id: it did not reach this host, "
               "or its lines were dropped (gateway_log_lines_dropped)";
    }
    if (auto const* const refused = last_of(lines, "request_refused"))
    {
        return "refused with " + field(*refused, "status") +
               " before any "
               "target: " +
               field(*refused, "reason") + ", by configuration " +
               field(*refused, "configuration") + quarantine_of(lines);
    }
    auto const* const end = last_of(lines, "request_ended");
    if (end == nullptr)
    {
        return "the process ended while the request was open; see its "
               "`process_failed`, `leaving` and `stopped` lines and the next "
               "`started`";
    }
    if (field(*end, "outcome") == "complete")
    {
        return cause_of_completed(lines, *end) + wait_of(lines);
    }
    auto const failures = failures_in(lines);
    return "ended as " + field(*end, "outcome") + " with status " +
           field(*end, "status") + " after " + field(*end, "attempts") +
           " attempts, " + field(*end, "runs") + " of which may have run" +
           (failures.empty() ? "" : "; failed: " + failures) + wait_of(lines) +
           quarantine_of(lines);
}

auto to_string(log_line const& it) -> std::string
{
    auto out = std::to_string(it.time_ms) + ' ' + it.event;
    for (auto const& [name, value] : it.fields)
    {
        if (name != "event" && name != "level" && name != "request")
        {
            out.append(1, ' ').append(name).append(1, '=').append(value);
        }
    }
    return out;
}

} // namespace primrosedeal::explain
