#pragma once

#include "core/random.hpp"
#include "engine_model.hpp"
#include "event_queue.hpp"
#include "routing/candidate.hpp"
#include "routing/load_view.hpp"

#include <functional>
#include <memory>
#include <vector>

/// The engines of one service over several failure domains, with the late
/// reports and cache events that they publish.
namespace primrosedeal::bench
{

struct fleet_settings
{
    std::uint32_t targets = 24;
    std::uint32_t domains = 3;
    engine_settings engine;
    duration report_interval = 100ms;
    duration report_lag = 500ms;
    duration cache_event_interval = 500ms;
    duration cache_event_lag = 1s;
    /// Share of the batches of cache events that get lost.
    double cache_event_loss = 0.05;
    std::uint64_t seed = 5;
};

struct cache_batch
{
    std::vector<prefix_cache::change> changes;
    /// Events before these were lost.
    bool gap = false;
};

class fleet
{
public:
    using on_report =
        std::function<void(std::uint32_t target, routing::load_report)>;
    using on_cache_batch =
        std::function<void(std::uint32_t target, cache_batch const&)>;

    fleet(event_queue& queue, fleet_settings const& settings);

    /// Reports go on for as long as the queue runs.
    void publish(on_report report, on_cache_batch cache);

    [[nodiscard]] auto targets() -> std::vector<routing::candidate>&
    {
        return targets_;
    }
    [[nodiscard]] auto engine(std::uint32_t n) -> engine_model&
    {
        return *engines_[n];
    }
    [[nodiscard]] auto size() const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(engines_.size());
    }
    [[nodiscard]] auto index(target_id const& target) const -> std::uint32_t;
    /// Share of the prompt tokens that came from a cache.
    [[nodiscard]] auto hit_rate() const -> double;

private:
    void report_loop(std::uint32_t target);
    void cache_loop(std::uint32_t target);

    event_queue& queue_;
    fleet_settings settings_;
    std::vector<std::unique_ptr<engine_model>> engines_;
    std::vector<routing::candidate> targets_;
    std::vector<bool> gaps_;
    random_source random_;
    on_report on_report_;
    on_cache_batch on_cache_batch_;
};

/// The failure domain of the n-th host or target.
auto domain_of(std::uint32_t n, std::uint32_t domains) -> domain_id;

} // namespace primrosedeal::bench
