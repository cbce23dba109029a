#include "http1/body.hpp"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <new>
#include <utility>

// A large block is a mapping of its own, which grows without a copy of its
// bytes, and whose pages take memory only once they are written.
namespace primrosedeal::http1
{

namespace
{

constexpr auto first_capacity = std::size_t{512};
/// Larger blocks grow in steps of this size, smaller ones double.
constexpr auto step = std::size_t{64} << 10U;

auto grown(std::size_t capacity, std::size_t needed) -> std::size_t
{
    auto const next =
        capacity + std::min(std::max(capacity, first_capacity), step);
    return std::max(next, needed);
}

} // namespace

struct body::block
{
    block() = default;
    block(block const&) = delete;
    auto operator=(block const&) -> block& = delete;

    ~block()
    {
        std::free(data);
    }

    void append(std::string_view bytes)
    {
        if (bytes.size() > capacity - size)
        {
            auto const wanted = grown(capacity, size + bytes.size());
            auto* const moved = std::realloc(data, wanted);
            if (moved == nullptr)
            {
                throw std::bad_alloc{};
            }
            data = static_cast<char*>(moved);
            capacity = wanted;
        }
        std::memcpy(data + size, bytes.data(), bytes.size());
        size += bytes.size();
    }

    char* data = nullptr;
    std::size_t size = 0;
    std::size_t capacity = 0;
};

body::body(std::string_view bytes)
{
    append(bytes);
}

void body::append(std::string_view bytes)
{
    if (bytes.empty())
    {
        return;
    }
    if (!bytes_ || bytes_.use_count() > 1)
    {
        auto own = std::make_shared<block>();
        own->append(view());
        bytes_ = std::move(own);
    }
    bytes_->append(bytes);
}

auto body::view() const -> std::string_view
{
    return bytes_ ? std::string_view{bytes_->data, bytes_->size}
                  : std::string_view{};
}

} // namespace primrosedeal::http1
