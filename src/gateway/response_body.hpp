#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// The body of a response that is buffered as a whole, within bounds of its own
/// and of all such bodies together.
///
/// Load pattern: a target sends without end to every request that it gets. Many
/// bodies then grow at once as fast as the link is, and each within its own
/// bound would fill the memory of a small host. When all together are above
/// `max_buffered_bytes`, a body grows no further than its share of them, so
/// small responses of other targets still pass.
namespace primrosedeal::gateway
{

/// Sizes in bytes. A host has some 260 MB for all its requests, and a body that
/// grows takes up to twice its size.
constexpr auto max_body_bytes = std::size_t{8} << 20U;
constexpr auto max_buffered_bytes = std::size_t{48} << 20U;

/// Used on one thread; bodies of other threads are not counted with it.
class response_body
{
public:
    response_body() = default;
    response_body(response_body const&) = delete;
    auto operator=(response_body const&) -> response_body& = delete;
    ~response_body();

    /// Returns false, and appends nothing, if a bound would be exceeded.
    [[nodiscard]] auto append(std::string_view bytes) -> bool;

    auto take() -> std::string;

private:
    std::string bytes_;
};

} // namespace primrosedeal::gateway
