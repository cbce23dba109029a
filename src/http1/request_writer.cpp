#include "http1/request_writer.hpp"

#include "http1/tunnel.hpp"

#include <event2/buffer.h>

#include <algorithm>
#include <memory>
#include <string_view>

namespace primrosedeal::http1
{

namespace
{

using held_bytes = std::shared_ptr<void const>;

void add_copy(evbuffer* out, std::string_view bytes)
{
    evbuffer_add(out, bytes.data(), bytes.size());
}

/// Adds `bytes`, which `holder` keeps, without copying them.
void add_reference(evbuffer* out, std::string_view bytes,
                   held_bytes const& holder)
{
    auto held = std::make_unique<held_bytes>(holder);
    auto const failed = evbuffer_add_reference(
        out, bytes.data(), bytes.size(),
        [](void const*, std::size_t, void* it)
        { std::unique_ptr<held_bytes>{static_cast<held_bytes*>(it)}.reset(); },
        held.get());
    if (failed != 0)
    {
        add_copy(out, bytes);
        return;
    }
    static_cast<void>(held.release());
}

} // namespace

request_writer::request_writer(request const& it)
    : head_(it.method + ' ' + it.target + " HTTP/1.1\r\n"), body_(it.body)
{
    for (auto const& header : it.headers)
    {
        head_ += header.name + ": " + header.value + "\r\n";
    }
    if (!it.body.empty() || it.method == "POST" || it.method == "PUT")
    {
        head_ += "Content-Length: " + std::to_string(it.body.size()) + "\r\n";
    }
    head_ += "\r\n";
}

void request_writer::write(evbuffer* out, bool framed) const
{
    add_copy(out, framed ? write_frames(head_) : head_);
    auto rest = body_.view();
    while (!rest.empty())
    {
        auto const n =
            framed ? std::min(rest.size(), max_frame_bytes) : rest.size();
        if (framed)
        {
            add_copy(out, write_frame_head(n));
        }
        add_reference(out, rest.substr(0, n), body_.hold());
        rest.remove_prefix(n);
    }
}

} // namespace primrosedeal::http1
