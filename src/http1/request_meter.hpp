#pragma once

#include <http_parser.h>

#include <string_view>

/// Tells whether the one request of a connection has passed whole, for a helper
/// that forwards its bytes without reading their meaning.
///
/// Load pattern: a target ends its connection while a long upload passes. What
/// the helper has not been given yet is as little known to the target as what
/// it still holds. Nothing of the request is kept.
namespace primrosedeal::http1
{

class request_meter
{
public:
    request_meter();

    void feed(std::string_view bytes);

    /// Whether the last byte has passed; false for what is not HTTP.
    [[nodiscard]] auto whole() const -> bool
    {
        return whole_;
    }

private:
    http_parser parser_{};
    bool whole_ = false;
};

} // namespace primrosedeal::http1
