#pragma once

#include "core/random.hpp"
#include "quarantine/part_quarantine.hpp"
#include "quarantine/trial_permission.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

/// The quarantines of several hosts in simulated time, which exchange their
/// evidence by messages that are delayed and lost. Hosts restart and are
/// paused.
namespace primrosedeal::quarantine
{

constexpr auto replayed_hosts = std::size_t{8};

class replay_hosts
{
public:
    /// `lowest_tries`: trials are for the lowest host that is heard, without
    /// `trial_permission`.
    explicit replay_hosts(bool lowest_tries = false)
        : lowest_tries_(lowest_tries)
    {
    }

    [[nodiscard]] auto state(std::size_t host) -> part_quarantine&
    {
        return hosts_.at(host).state;
    }

    [[nodiscard]] auto paused(std::size_t host, time_point now) const -> bool
    {
        return now < hosts_.at(host).paused_until;
    }

    /// Whether the host is the one that may admit trials.
    auto may_try(std::size_t host, time_point now) -> bool
    {
        auto& it = hosts_.at(host);
        auto heard = std::size_t{1};
        auto lowest = true;
        for (auto n = std::size_t{0}; n < replayed_hosts; ++n)
        {
            if (n != host && it.heard_at.at(n) &&
                now - *it.heard_at.at(n) <= silence)
            {
                ++heard;
                lowest &= host < n;
            }
        }
        it.trials.observe(lowest, 2 * heard > replayed_hosts, now);
        return lowest_tries_ ? lowest : it.trials.granted(now);
    }

    /// Delivers messages that are due and sends new ones. Call every
    /// `exchange_period`.
    void exchange(random_source& random, time_point now)
    {
        deliver(now);
        for (auto from = std::size_t{0}; from < replayed_hosts; ++from)
        {
            if (!paused(from, now))
            {
                send(from, random, now);
            }
        }
    }

    void restart(std::size_t host)
    {
        hosts_.at(host) = {};
    }

    /// Messages to the host wait until its pause ends.
    void pause(std::size_t host, time_point until)
    {
        hosts_.at(host).paused_until = until;
    }

    static constexpr auto exchange_period = duration{20ms};

private:
    static constexpr auto delay = duration{20ms};
    static constexpr auto loss = 0.02;
    static constexpr auto repeat_period = duration{1s};
    static constexpr auto silence = duration{2500ms};

    struct replayed_host
    {
        part_quarantine state;
        trial_permission trials;
        std::array<std::optional<time_point>, replayed_hosts> heard_at;
        std::uint64_t sent_changes = 0;
        time_point sent_at{};
        time_point paused_until{};
    };

    struct message
    {
        time_point sent_at;
        std::size_t from = 0;
        std::size_t to = 0;
        report content;
    };

    void deliver(time_point now)
    {
        auto const due = [&](message const& it)
        {
            return it.sent_at + delay <= now && !paused(it.to, now);
        };
        for (auto& it : under_way_)
        {
            if (!due(it))
            {
                continue;
            }
            // Ages travel, so times are later by the delay at the receiver.
            for (auto& each : it.content.accusations)
            {
                each.at += now - it.sent_at;
            }
            for (auto& each : it.content.clearances)
            {
                each.at += now - it.sent_at;
            }
            auto& to = hosts_.at(it.to);
            to.heard_at.at(it.from) = now;
            to.state.merge(it.content, now);
        }
        std::erase_if(under_way_, due);
    }

    void send(std::size_t from, random_source& random, time_point now)
    {
        auto& it = hosts_.at(from);
        it.state.expire(now);
        may_try(from, now);
        if (it.state.change_count() == it.sent_changes &&
            now - it.sent_at < repeat_period)
        {
            return;
        }
        it.sent_changes = it.state.change_count();
        it.sent_at = now;
        auto const content = it.state.make_report(now);
        for (auto to = std::size_t{0}; to < replayed_hosts; ++to)
        {
            if (to != from && random.unit() >= loss)
            {
                under_way_.push_back({now, from, to, content});
            }
        }
    }

    bool lowest_tries_;
    std::array<replayed_host, replayed_hosts> hosts_;
    std::deque<message> under_way_;
};

} // namespace primrosedeal::quarantine
