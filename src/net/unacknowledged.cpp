#include "net/unacknowledged.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <sys/ioctl.h>

namespace primrosedeal::net
{

auto unacknowledged_bytes(bufferevent* bev) -> std::size_t
{
    auto in_kernel = 0;
    if (::ioctl(bufferevent_getfd(bev), TIOCOUTQ, &in_kernel) != 0)
    {
        in_kernel = 0;
    }
    return evbuffer_get_length(bufferevent_get_output(bev)) +
           static_cast<std::size_t>(in_kernel);
}

} // namespace primrosedeal::net
