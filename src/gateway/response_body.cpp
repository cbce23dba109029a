#include "gateway/response_body.hpp"

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
};

auto total() -> buffered_total&
{
    thread_local auto it = buffered_total{};
    return it;
}

} // namespace

response_body::~response_body()
{
    take();
}

auto response_body::append(std::string_view bytes) -> bool
{
    auto& all = total();
    auto const size = bytes_.size() + bytes.size();
    auto const bodies = all.bodies + (bytes_.empty() ? 1U : 0U);
    auto const full = all.bytes + bytes.size() > max_buffered_bytes;
    if (size > max_body_bytes || (full && size > max_buffered_bytes / bodies))
    {
        return false;
    }
    all.bytes += bytes.size();
    all.bodies = bodies;
    bytes_ += bytes;
    return true;
}

auto response_body::take() -> std::string
{
    auto& all = total();
    all.bytes -= bytes_.size();
    all.bodies -= bytes_.empty() ? 0U : 1U;
    return std::exchange(bytes_, {});
}

} // namespace primrosedeal::gateway
