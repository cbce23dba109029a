#include "serve/target_watch.hpp"

#include "generation/engine_stream.hpp"
#include "log/log.hpp"

#include <nlohmann/json.hpp>

#include <utility>

// The list is read once a second: with the gossip of marks that leaves most of
// the 3 s in which a leaving target must stop getting work. A load report is
// asked for in turn, a bounded number each round, so that the cost does not
// grow with the number of targets.
namespace primrosedeal::serve
{

namespace
{

constexpr auto list_period = duration{1s};
constexpr auto load_round = duration{250ms};
constexpr auto load_calls_per_round = std::size_t{8};
constexpr auto call_timeout = duration{1s};

auto to_description(external::listed_target const& it) -> target::description
{
    return {it.id,    it.started, it.service,  it.address, it.domain,
            it.model, it.version, it.adapters, it.slots};
}

auto to_snapshot(external::host_list const& it) -> target::list_snapshot
{
    auto snapshot = target::list_snapshot{};
    snapshot.version = it.version;
    for (auto const& each : it.targets)
    {
        snapshot.targets.push_back({to_description(each), each.leaving});
    }
    return snapshot;
}

auto to_routing(target::target_state it) -> routing::target_state
{
    switch (it)
    {
    case target::target_state::live:
        return routing::target_state::live;
    case target::target_state::leaving:
        return routing::target_state::leaving;
    case target::target_state::suspect:
        return routing::target_state::suspect;
    case target::target_state::failed:
        return routing::target_state::failed;
    }
    return routing::target_state::failed;
}

auto to_entry(target::target_view const& from) -> target_entry
{
    auto it = target_entry{};
    it.what.id = from.it.id;
    it.what.domain = from.it.domain;
    it.what.state = to_routing(from.state);
    it.what.slots = from.it.slots;
    if (!from.it.model.value().empty())
    {
        it.what.models = {{from.it.model, from.it.version, from.it.adapters}};
    }
    it.service = from.it.service;
    it.start = from.it.start;
    it.at = from.it.address;
    return it;
}

} // namespace

target_watch::target_watch(net::event_loop& loop,
                           net::endpoint const& host_list, std::uint64_t seed,
                           target_watch_outputs outputs)
    : loop_(loop), random_(seed), outputs_(std::move(outputs)),
      source_(loop, host_list)
{
    poll_list();
    tick();
    poll_load();
}

void target_watch::on_event(target::event const& it)
{
    feed(it);
    publish();
}

void target_watch::feed(target::event const& it)
{
    auto const actions = table_.handle(it, net::event_loop::now(), random_);
    for (auto const& each : actions)
    {
        std::visit([this](auto const& a) { perform(a); }, each);
    }
}

void target_watch::poll_list()
{
    source_.read(
        [this](external::answer<external::host_list> const& it)
        {
            if (auto const* const list = std::get_if<external::host_list>(&it))
            {
                on_list(*list);
            }
        });
    auto const jitter = duration{static_cast<duration::rep>(
        random_.below(static_cast<std::uint64_t>(list_period.count()) / 5))};
    list_timer_ = loop_.after(list_period - jitter, [this] { poll_list(); });
}

void target_watch::on_list(external::host_list const& it)
{
    auto const before = table_.list_version();
    feed(to_snapshot(it));
    changed_ = changed_ || before != table_.list_version();
    publish();
    outputs_.listed(it);
}

void target_watch::perform(target::spread_mark const& it)
{
    outputs_.spread(it.mark);
}

void target_watch::perform(target::probe const& it)
{
    auto const report = [this, it](bool answered)
    {
        auto seen = target::connection_outcome{};
        seen.id = it.id;
        seen.start = it.start;
        seen.seen = answered ? target::outcome::probe_answered
                             : target::outcome::probe_failed;
        on_event(seen);
    };
    probes_[it.id] =
        generation::probe_engine(loop_, it.address, call_timeout, report);
}

void target_watch::perform(target::state_change const& it)
{
    changed_ = true;
    log::write(log::level::info, "target_state",
               {{"target", it.id.value()},
                {"incarnation", std::to_string(it.start.value())},
                {"state", std::string{target::to_string(it.to)}}});
}

void target_watch::publish()
{
    if (!std::exchange(changed_, false))
    {
        return;
    }
    auto view = std::make_shared<target_view>();
    for (auto const& it : table_.all())
    {
        view->targets.push_back(to_entry(it));
    }
    outputs_.targets({std::move(view)});
}

void target_watch::tick()
{
    feed(target::tick{});
    publish();
    tick_timer_ = loop_.after(target::tick_period, [this] { tick(); });
}

void target_watch::poll_load()
{
    auto const all = table_.all();
    auto engines = std::vector<target::target_view>{};
    for (auto const& it : all)
    {
        auto const known = it.state != target::target_state::failed;
        if (known && !it.it.model.value().empty())
        {
            engines.push_back(it);
        }
    }
    auto const n = std::min(load_calls_per_round, engines.size());
    for (auto i = std::size_t{0}; i < n; ++i)
    {
        ask_load(engines[random_.below(engines.size())]);
    }
    load_timer_ = loop_.after(load_round, [this] { poll_load(); });
}

void target_watch::ask_load(target::target_view const& it)
{
    auto const id = it.it.id;
    auto request = net::http_request{};
    request.path = "/load";
    load_calls_[id] = net::fetch(
        loop_, it.it.address, request, call_timeout,
        [this, id](net::http_response const& answer) { on_load(id, answer); },
        [](net::call_error, bool) {});
}

void target_watch::on_load(target_id const& target,
                           net::http_response const& it)
{
    auto const body = nlohmann::json::parse(it.body, nullptr, false);
    constexpr auto ok = 200;
    if (it.status != ok || !body.is_object())
    {
        return;
    }
    auto report = routing::load_report{};
    auto const count = [&](char const* key)
    {
        auto const found = body.find(key);
        return found != body.end() && found->is_number_unsigned()
                   ? found->get<std::uint32_t>()
                   : 0U;
    };
    report.running = count("running");
    report.waiting = count("waiting");
    report.at = net::event_loop::now();
    outputs_.load({target, report});
    auto const leaving = body.find("leaving");
    auto const known = table_.find(target);
    if (known && leaving != body.end() && leaving->is_boolean() &&
        leaving->get<bool>())
    {
        on_event(target::leaving_refusal{target, known->it.start});
    }
}

} // namespace primrosedeal::serve
