#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Cuts a stream of server-sent events into whole events, byte for byte.
namespace primrosedeal::http1
{

struct stream_event
{
    /// As it came, with the blank line that ends it.
    std::string bytes;
    /// Its `id` field, if that is a number.
    std::optional<std::uint64_t> id;
    /// It has a `data` field; a comment or a blank line alone has none.
    bool has_data = false;
};

class event_splitter
{
public:
    auto feed(std::string_view bytes) -> std::vector<stream_event>;

    /// Bytes of an event that has not ended.
    [[nodiscard]] auto rest() const -> std::string const&
    {
        return buffer_;
    }

private:
    std::string buffer_;
    /// Bytes of `buffer_` in which no event ends.
    std::size_t scanned_ = 0;
};

} // namespace primrosedeal::http1
