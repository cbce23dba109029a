#include "http1/request_meter.hpp"

namespace primrosedeal::http1
{

request_meter::request_meter()
{
    http_parser_init(&parser_, HTTP_REQUEST);
}

void request_meter::feed(std::string_view bytes)
{
    static auto const settings = []
    {
        auto out = http_parser_settings{};
        http_parser_settings_init(&out);
        out.on_message_complete = [](http_parser* it)
        {
            *static_cast<bool*>(it->data) = true;
            http_parser_pause(it, 1);
            return 0;
        };
        return out;
    }();
    if (!whole_)
    {
        parser_.data = &whole_;
        http_parser_execute(&parser_, &settings, bytes.data(), bytes.size());
    }
}

} // namespace primrosedeal::http1
