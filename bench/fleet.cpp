#include "fleet.hpp"

#include <charconv>
#include <string>
#include <utility>

namespace primrosedeal::bench
{

auto domain_of(std::uint32_t n, std::uint32_t domains) -> domain_id
{
    return domain_id{"domain-" + std::to_string(n % domains)};
}

fleet::fleet(event_queue& queue, fleet_settings const& settings)
    : queue_(queue), settings_(settings), gaps_(settings.targets),
      random_(settings.seed)
{
    for (auto n = 0U; n < settings.targets; ++n)
    {
        engines_.push_back(
            std::make_unique<engine_model>(queue, settings.engine));
        auto it = routing::candidate{};
        it.id = target_id{std::to_string(n)};
        it.domain = domain_of(n, settings.domains);
        it.slots = settings.engine.slots;
        it.models = {{model_id{"fitting"}, model_version{"1"}, {}}};
        targets_.push_back(it);
    }
}

auto fleet::index(target_id const& target) const -> std::uint32_t
{
    auto const& text = target.value();
    auto n = 0U;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

void fleet::publish(on_report report, on_cache_batch cache)
{
    on_report_ = std::move(report);
    on_cache_batch_ = std::move(cache);
    for (auto n = 0U; n < size(); ++n)
    {
        auto const phase = settings_.report_interval * n / size();
        queue_.after(phase, [this, n] { report_loop(n); });
        queue_.after(phase, [this, n] { cache_loop(n); });
    }
}

void fleet::report_loop(std::uint32_t target)
{
    auto const& it = *engines_[target];
    if (it.answers())
    {
        auto const report = routing::load_report{
            it.running(), it.waiting(), queue_.now() + settings_.report_lag};
        queue_.after(settings_.report_lag,
                     [this, target, report] { on_report_(target, report); });
    }
    queue_.after(settings_.report_interval,
                 [this, target] { report_loop(target); });
}

void fleet::cache_loop(std::uint32_t target)
{
    auto batch = cache_batch{engines_[target]->cache().take_changes(), false};
    if (random_.unit() < settings_.cache_event_loss)
    {
        gaps_[target] = true;
    }
    else
    {
        batch.gap = gaps_[target];
        gaps_[target] = false;
        queue_.after(settings_.cache_event_lag,
                     [this, target, batch = std::move(batch)]
                     { on_cache_batch_(target, batch); });
    }
    queue_.after(settings_.cache_event_interval,
                 [this, target] { cache_loop(target); });
}

auto fleet::hit_rate() const -> double
{
    auto asked = 0.0;
    auto computed = 0.0;
    for (auto const& it : engines_)
    {
        asked += static_cast<double>(it->asked_tokens());
        computed += static_cast<double>(it->computed_tokens());
    }
    return asked == 0 ? 0 : 1 - computed / asked;
}

} // namespace primrosedeal::bench
