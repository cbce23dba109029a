#pragma once

#include "http1/body.hpp"

#include <cstddef>
#include <string_view>

/// What is kept of responses until it is forwarded: bodies that are buffered as
/// a whole, and unfinished events of streams. Each is within a bound of its own
/// and of all together.
///
/// Load pattern: a target sends without end to every request that it gets. Many
/// bodies then grow at once as fast as the link is, and each within its own
/// bound would fill the memory of a small host. When all together are above
/// the bound, none grows further than its share of them, so small
/// responses of other targets still pass.
namespace primrosedeal::gateway
{

/// Sizes in bytes. A host has some 260 MB for all its requests.
constexpr auto max_body_bytes = std::size_t{8} << 20U;
constexpr auto max_buffered_bytes = std::size_t{48} << 20U;

/// Sets the bound of all together on this thread; `max_buffered_bytes` until
/// then. At least `max_body_bytes`, so that one body always fits.
void limit_buffered(std::size_t bytes);

/// Counts the bytes kept of one response. Used on one thread; those of other
/// threads are not counted with it.
class buffer_share
{
public:
    buffer_share() = default;
    buffer_share(buffer_share const&) = delete;
    auto operator=(buffer_share const&) -> buffer_share& = delete;
    ~buffer_share();

    /// Returns false, and keeps the size, if a bound would be exceeded.
    [[nodiscard]] auto resize(std::size_t bytes) -> bool;

    /// Nothing is kept any more.
    void release();

private:
    std::size_t bytes_ = 0;
};

class response_body
{
public:
    /// Returns false, and appends nothing, if a bound would be exceeded.
    [[nodiscard]] auto append(std::string_view bytes) -> bool;

    auto take() -> http1::body;

private:
    http1::body bytes_;
    buffer_share share_;
};

} // namespace primrosedeal::gateway
