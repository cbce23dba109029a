#include "gateway/response_body.hpp"

#include <algorithm>
#include <utility>

namespace primrosedeal::gateway
{

namespace
{

struct buffered_total
{
    std::size_t bytes = 0;
    /// Bodies that are not empty.
    std::size_t bodies = 0;
    std::size_t bound = max_buffered_bytes;
};

auto total() -> buffered_total&
{
    thread_local auto it = buffered_total{};
    return it;
}

} // namespace

void limit_buffered(std::size_t bytes)
{
    total().bound = std::max(bytes, max_body_bytes);
}

buffer_share::~buffer_share()
{
    release();
}

auto buffer_share::resize(std::size_t bytes) -> bool
{
    auto& all = total();
    auto const others = all.bytes - bytes_;
    auto const other_bodies = all.bodies - (bytes_ > 0 ? 1U : 0U);
    auto const bodies = other_bodies + (bytes > 0 ? 1U : 0U);
    auto const full = others + bytes > all.bound;
    if (bytes > bytes_ &&
        (bytes > max_body_bytes || (full && bytes > all.bound / bodies)))
    {
        return false;
    }
    all.bytes = others + bytes;
    all.bodies = bodies;
    bytes_ = bytes;
    return true;
}

void buffer_share::release()
{
    auto& all = total();
    all.bytes -= bytes_;
    all.bodies -= bytes_ > 0 ? 1U : 0U;
    bytes_ = 0;
}

auto response_body::append(std::string_view bytes) -> bool
{
    if (!share_.resize(bytes_.size() + bytes.size()))
    {
        return false;
    }
    bytes_ += bytes;
    return true;
}

auto response_body::take() -> http1::body
{
    share_.release();
    return std::exchange(bytes_, {});
}

} // namespace primrosedeal::gateway
