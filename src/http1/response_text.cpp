#include "http1/response_text.hpp"

namespace primrosedeal::http1
{

auto serialise_head(response_head const& it, std::string_view framing,
                    bool close) -> std::string
{
    auto out = "HTTP/1.1 " + std::to_string(it.status) + ' ' +
               std::string{reason_phrase(it.status)} + "\r\n";
    for (auto const& header : it.headers)
    {
        out += header.name + ": " + header.value + "\r\n";
    }
    out += framing;
    out += "\r\n";
    if (close)
    {
        out += "Connection: close\r\n";
    }
    return out + "\r\n";
}

} // namespace primrosedeal::http1
