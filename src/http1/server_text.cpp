#include "http1/server.hpp"

namespace primrosedeal::http1
{

auto to_string(client_loss it) -> std::string_view
{
    switch (it)
    {
    case client_loss::closed:
        return "closed";
    case client_loss::reset:
        return "reset";
    case client_loss::not_reading:
        return "not_reading";
    }
    return "unknown";
}

auto to_string(end_reason it) -> std::string_view
{
    switch (it)
    {
    case end_reason::last_answer:
        return "last_answer";
    case end_reason::aborted:
        return "aborted";
    case end_reason::rejected:
        return "rejected";
    case end_reason::idle_timeout:
        return "idle_timeout";
    case end_reason::closed_idle:
        return "closed_idle";
    }
    return "unknown";
}

} // namespace primrosedeal::http1
