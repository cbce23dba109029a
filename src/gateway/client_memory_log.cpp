#include "gateway/client_memory_log.hpp"

#include "log/log.hpp"

namespace primrosedeal::gateway
{

namespace
{

/// A shortage is over when no decision has been made for as long.
constexpr auto calm_time = duration{5s};

} // namespace

void client_memory_log::on_event(http1::memory_event const& it)
{
    auto const group = std::string{to_string(it.group)};
    host_.metrics.client_memory(group, it.what);
    last_at_ = net::event_loop::now();
    if (counts_.empty())
    {
        log::write(log::level::info, "client_memory_short",
                   {{"group", group},
                    {"what", std::string{it.what}},
                    {"bodies", std::to_string(it.usage.bodies)},
                    {"small_requests", std::to_string(it.usage.small_requests)},
                    {"unsent", std::to_string(it.usage.unsent)},
                    {"waiting", std::to_string(it.usage.waiting)}});
        calm_ = host_.loop.after(calm_time, [this] { on_calm(); });
    }
    ++counts_[group + '_' + std::string{it.what}];
}

void client_memory_log::on_calm()
{
    auto const left = last_at_ + calm_time - net::event_loop::now();
    if (left > 0s)
    {
        calm_ = host_.loop.after(left, [this] { on_calm(); });
        return;
    }
    auto text = std::string{};
    for (auto const& [what, n] : counts_)
    {
        text += (text.empty() ? "" : " ") + what + ':' + std::to_string(n);
    }
    log::write(log::level::info, "client_memory_sufficient",
               {{"decisions", text}});
    counts_.clear();
}

} // namespace primrosedeal::gateway
