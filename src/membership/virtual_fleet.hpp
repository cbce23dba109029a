#pragma once

#include "membership/gossip.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Simulates the gossip of a fleet in virtual time, for tests and benchmarks.
/// It uses the real protocol and codec over a fake network. The links of a
/// partitioned or paused host stay open but transfer nothing.
namespace primrosedeal::membership
{

class virtual_fleet
{
public:
    struct host
    {
        std::unique_ptr<gossip> protocol;
        bool running = false;
        bool paused = false;
        std::uint64_t bytes_sent = 0;
        std::uint64_t messages_sent = 0;
        std::uint64_t deliveries = 0;
    };

    std::function<void(std::size_t host, action const&)> on_action;
    double loss = 0;

    virtual_fleet(std::size_t hosts, std::size_t domains, std::uint64_t seed)
        : hosts_(hosts), domains_(domains), random_(seed)
    {
    }

    static auto name(std::size_t n) -> host_id
    {
        return host_id{"host-" + std::to_string(n)};
    }

    [[nodiscard]] auto describe(std::size_t n) const -> member
    {
        auto it = member{};
        it.id = name(n);
        it.address = address_of(n);
        it.domain = domain_id{"domain-" + std::to_string(n % domains_)};
        return it;
    }

    void start(std::size_t n, gossip_settings settings = {})
    {
        auto self = describe(n);
        self.start = incarnation{
            1 + static_cast<std::uint64_t>(now_.time_since_epoch().count())};
        settings.seeds = {address_of(0), address_of(1)};
        auto& it = hosts_[n];
        it.protocol = std::make_unique<gossip>(self, std::move(settings), now_);
        it.running = true;
        it.paused = false;
        schedule(jitter(tick_period), [this, n, generation = generation_of(n)]
                 { run_tick(n, generation); });
    }

    /// Ends the process of host `n`; its links break.
    void stop(std::size_t n)
    {
        hosts_[n].running = false;
        ++generations_[n];
        for (auto m = std::size_t{0}; m < hosts_.size(); ++m)
        {
            break_link(n, m);
        }
    }

    void pause(std::size_t n)
    {
        hosts_[n].paused = true;
    }

    void resume(std::size_t n)
    {
        hosts_[n].paused = false;
        for (auto& work : std::exchange(deferred_[n], {}))
        {
            schedule(0us, std::move(work));
        }
    }

    /// Drops all messages between `a` and `b` while `is_partitioned`; links
    /// stay open.
    void partition(std::size_t a, std::size_t b, bool is_partitioned)
    {
        auto const pair = std::minmax(a, b);
        if (is_partitioned)
        {
            partitions_.insert(pair);
        }
        else
        {
            partitions_.erase(pair);
        }
    }

    /// Silently drops all messages on the links that are open now, as after a
    /// loss of connection state in a firewall. New links work.
    void silence_links()
    {
        for (auto& [ends, it] : links_)
        {
            it.silent = true;
        }
    }

    void send_event(std::size_t n, event const& it)
    {
        auto& to = hosts_[n];
        if (!to.running)
        {
            return;
        }
        for (auto const& next_action : to.protocol->handle(it, now_, random_))
        {
            carry_out(n, next_action);
        }
    }

    void run_for(duration span)
    {
        auto const end = now_ + span;
        while (!queue_.empty() && queue_.top().at <= end)
        {
            auto const work = queue_.top().work;
            now_ = queue_.top().at;
            queue_.pop();
            work();
        }
        now_ = end;
    }

    [[nodiscard]] auto at(std::size_t n) -> host&
    {
        return hosts_[n];
    }

    [[nodiscard]] auto size() const -> std::size_t
    {
        return hosts_.size();
    }

    [[nodiscard]] auto now() const -> time_point
    {
        return now_;
    }

    /// Returns the state of `n` as known to `viewer`, or "unknown".
    [[nodiscard]] auto view(std::size_t viewer, std::size_t n) const
        -> std::string
    {
        for (auto const& it : hosts_[viewer].protocol->members())
        {
            if (it.id == name(n))
            {
                return std::string{to_string(it.state)};
            }
        }
        return "unknown";
    }

    /// Counts pairs of running hosts of which the first considers the second
    /// dead. Pairs whose second host is paused are not counted.
    [[nodiscard]] auto false_deaths() const -> std::size_t
    {
        auto wrong = std::size_t{0};
        for (auto const& viewer : hosts_)
        {
            if (!viewer.running)
            {
                continue;
            }
            for (auto const& it : viewer.protocol->members())
            {
                auto const n = index_of(it.address);
                wrong += it.state == host_state::dead && hosts_[n].running &&
                                 !hosts_[n].paused
                             ? 1
                             : 0;
            }
        }
        return wrong;
    }

private:
    struct work_item
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> work;

        friend auto operator<(work_item const& a, work_item const& b) -> bool
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    /// An open connection. `number` distinguishes it from earlier connections
    /// of the same pair.
    struct connection
    {
        std::uint64_t number = 0;
        bool silent = false;
    };

    static constexpr auto first_port = std::uint16_t{1000};
    /// HTTP/2 frame header and message length (13), TCP and IP headers (52).
    static constexpr auto framing_bytes = std::uint64_t{13 + 52};

    [[nodiscard]] auto address_of(std::size_t n) const -> net::endpoint
    {
        return {"10.0.0.1", static_cast<std::uint16_t>(first_port + n)};
    }

    static auto index_of(net::endpoint const& it) -> std::size_t
    {
        return it.port - first_port;
    }

    auto generation_of(std::size_t n) -> std::uint64_t
    {
        return generations_[n];
    }

    auto jitter(duration longest) -> duration
    {
        return duration{static_cast<duration::rep>(
            random_.below(static_cast<std::uint64_t>(longest.count())))};
    }

    void schedule(duration delay, std::function<void()> work)
    {
        queue_.push({now_ + delay, ++order_, std::move(work)});
    }

    /// Runs `work` on host `n`, or defers it until the host is resumed.
    void run_at_host(std::size_t n, std::function<void()> work)
    {
        if (hosts_[n].paused)
        {
            deferred_[n].push_back(std::move(work));
            return;
        }
        work();
    }

    void run_tick(std::size_t n, std::uint64_t generation)
    {
        run_at_host(n,
                    [this, n, generation]
                    {
                        if (generation != generation_of(n))
                        {
                            return;
                        }
                        send_event(n, tick{});
                        schedule(tick_period, [this, n, generation]
                                 { run_tick(n, generation); });
                    });
    }

    [[nodiscard]] auto is_partitioned(std::size_t a, std::size_t b) const
        -> bool
    {
        return partitions_.contains(std::minmax(a, b));
    }

    void carry_out(std::size_t n, action const& it)
    {
        if (on_action)
        {
            on_action(n, it);
        }
        if (auto const* out = std::get_if<send>(&it))
        {
            transmit(n, *out);
        }
        else if (auto const* open = std::get_if<open_link>(&it))
        {
            connect(n, index_of(open->address));
        }
        else if (auto const* replacement = std::get_if<replace_link>(&it))
        {
            auto const to = index_of(replacement->address);
            if (!is_partitioned(n, to))
            {
                break_link(n, to);
            }
            connect(n, to);
        }
        else if (auto const* close = std::get_if<close_link>(&it))
        {
            break_link(n, number_of(close->peer));
        }
    }

    static auto number_of(host_id const& it) -> std::size_t
    {
        return std::stoul(it.value().substr(5));
    }

    auto latency() -> duration
    {
        return 1ms + jitter(1ms);
    }

    void connect(std::size_t from, std::size_t to)
    {
        if (to >= hosts_.size() || links_.contains(std::minmax(from, to)))
        {
            return;
        }
        schedule(3 * latency(),
                 [this, from, to]
                 {
                     auto const pair = std::minmax(from, to);
                     if (is_partitioned(from, to) || !hosts_[to].running ||
                         !hosts_[from].running || hosts_[to].paused ||
                         hosts_[from].paused || links_.contains(pair))
                     {
                         return;
                     }
                     links_[pair].number = ++order_;
                     send_event(from, link_up{name(to), true});
                     send_event(to, link_up{name(from), false});
                 });
    }

    void break_link(std::size_t a, std::size_t b)
    {
        if (links_.erase(std::minmax(a, b)) == 0)
        {
            return;
        }
        for (auto const& [n, peer] : {std::pair{a, b}, std::pair{b, a}})
        {
            schedule(latency(),
                     [this, n = n, peer = peer] {
                         run_at_host(n, [this, n, peer]
                                     { report_link_down(n, peer); });
                     });
        }
    }

    void report_link_down(std::size_t n, std::size_t peer)
    {
        if (!links_.contains(std::minmax(n, peer)))
        {
            send_event(n, link_down{name(peer)});
        }
    }

    void transmit(std::size_t from, send const& it)
    {
        auto const to = number_of(it.to);
        auto const link = links_.find(std::minmax(from, to));
        if (link == links_.end())
        {
            return;
        }
        auto bytes = encode(it.content);
        hosts_[from].bytes_sent += bytes.size() + framing_bytes;
        ++hosts_[from].messages_sent;
        if (is_partitioned(from, to) || link->second.silent ||
            random_.unit() < loss)
        {
            return;
        }
        schedule(latency(),
                 [this, from, to, number = link->second.number,
                  text = std::move(bytes)] { arrive(from, to, number, text); });
    }

    void arrive(std::size_t from, std::size_t to, std::uint64_t number,
                std::string const& text)
    {
        auto const link = links_.find(std::minmax(from, to));
        if (link == links_.end() || link->second.number != number)
        {
            return;
        }
        run_at_host(
            to,
            [this, from, to, text]
            {
                if (auto it = decode(text))
                {
                    ++hosts_[to].deliveries;
                    send_event(to, received{name(from), std::move(*it)});
                }
            });
    }

    std::vector<host> hosts_;
    std::size_t domains_;
    random_source random_;
    time_point now_{};
    std::uint64_t order_ = 0;
    std::uint64_t generation_ = 0;
    std::map<std::size_t, std::uint64_t> generations_;
    std::priority_queue<work_item> queue_;
    std::map<std::pair<std::size_t, std::size_t>, connection> links_;
    std::set<std::pair<std::size_t, std::size_t>> partitions_;
    std::map<std::size_t, std::vector<std::function<void()>>> deferred_;
};

} // namespace primrosedeal::membership
