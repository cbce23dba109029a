#pragma once

#include "core/random.hpp"
#include "external/host_list.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "serve/messages.hpp"
#include "target/table.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

/// The `target` slice joined with sockets: polls the host list, probes
/// doubtful targets, reads engines' load, and tells the data plane.
namespace primrosedeal::serve
{

/// Where it tells what it finds; all run on the control loop.
struct target_watch_outputs
{
    std::function<void(targets_changed)> targets;
    std::function<void(load_reported)> load;
    std::function<void(target::leaving_mark)> spread;
    std::function<void(external::host_list const&)> listed;
};

class target_watch
{
public:
    target_watch(net::event_loop& loop, net::endpoint const& host_list,
                 std::uint64_t seed, target_watch_outputs outputs);

    /// Evidence of this host or a mark of another.
    void on_event(target::event const& it);

    [[nodiscard]] auto table() const -> target::table const&
    {
        return table_;
    }

    /// Whether a host list has been read since the start.
    [[nodiscard]] auto has_list() const -> bool
    {
        return table_.list_version().has_value();
    }

private:
    void feed(target::event const& it);
    void poll_list();
    void on_list(external::host_list const& it);
    void perform(target::spread_mark const& it);
    void perform(target::probe const& it);
    void perform(target::state_change const& it);
    void publish();
    void tick();
    void poll_load();
    void ask_load(target::target_view const& it);
    void on_load(target_id const& target, net::http_response const& it);

    net::event_loop& loop_;
    random_source random_;
    target_watch_outputs outputs_;
    external::http_host_list source_;
    target::table table_;
    net::timer list_timer_;
    net::timer tick_timer_;
    net::timer load_timer_;
    std::map<target_id, std::unique_ptr<net::http_call>> probes_;
    std::map<target_id, std::unique_ptr<net::http_call>> load_calls_;
    bool changed_ = false;
};

} // namespace primrosedeal::serve
