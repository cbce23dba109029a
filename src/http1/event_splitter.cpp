#include "http1/event_splitter.hpp"

#include "core/parse_number.hpp"

#include <algorithm>

namespace primrosedeal::http1
{

namespace
{

auto id_of(std::string_view event) -> std::optional<std::uint64_t>
{
    while (!event.empty())
    {
        auto const end = event.find('\n');
        auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view{}
                                              : event.substr(end + 1);
        constexpr auto field = std::string_view{"id:"};
        if (line.substr(0, field.size()) != field)
        {
            continue;
        }
        line.remove_prefix(field.size());
        while (!line.empty() && line.front() == ' ')
        {
            line.remove_prefix(1);
        }
        while (!line.empty() && (line.back() == '\r' || line.back() == ' '))
        {
            line.remove_suffix(1);
        }
        if (auto const id = parse_number<std::uint64_t>(line))
        {
            return id;
        }
    }
    return std::nullopt;
}

auto has_data_field(std::string_view event) -> bool
{
    return event.starts_with("data") ||
           event.find("\ndata") != std::string_view::npos;
}

/// Position behind the blank line that ends the first event, or npos. Looks at
/// line ends from `from` on.
auto end_of_event(std::string_view buffer, std::size_t from) -> std::size_t
{
    for (auto at = buffer.find('\n', from); at != std::string_view::npos;
         at = buffer.find('\n', at + 1))
    {
        if (buffer.substr(at + 1, 1) == "\n")
        {
            return at + 2;
        }
        if (buffer.substr(at + 1, 2) == "\r\n")
        {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

auto event_splitter::feed(std::string_view bytes) -> std::vector<stream_event>
{
    buffer_ += bytes;
    auto out = std::vector<stream_event>{};
    auto end = end_of_event(buffer_, scanned_);
    while (end != std::string::npos)
    {
        auto event = buffer_.substr(0, end);
        auto const id = id_of(event);
        auto const has_data = has_data_field(event);
        out.push_back({std::move(event), id, has_data});
        buffer_.erase(0, end);
        end = end_of_event(buffer_, 0);
    }
    // A line end and a carriage return may be the start of a blank line.
    constexpr auto undecided = std::size_t{2};
    scanned_ = buffer_.size() - std::min(buffer_.size(), undecided);
    return out;
}

} // namespace primrosedeal::http1
