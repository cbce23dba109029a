#include "configuration/world_reference.hpp"

#include <algorithm>
#include <utility>

namespace primrosedeal::configuration
{

control_world::control_world(unsigned operator_count, unsigned host_count,
                             planner plan)
    : plan_(std::move(plan))
{
    for (auto n = 0U; n < operator_count; ++n)
    {
        auto it = world_operator{};
        it.id = change_id{"change-" + std::to_string(n)};
        operators.push_back(std::move(it));
        begin(operators.back(), n);
    }
    for (auto n = 0U; n < host_count; ++n)
    {
        auto const id = host_id{"host-" + std::to_string(n)};
        hosts.push_back(
            {id, follower{id, {}, now, n}, false, false, false, 0, {}});
    }
}

void control_world::begin(world_operator& it, unsigned n)
{
    auto plan = [this, n](document const& current)
    {
        auto& changes = operators[n].changes;
        if (changes.empty())
        {
            changes = plan_(current, n);
        }
        return changes;
    };
    it.machine.emplace(
        edit_request{it.id, "operator", std::move(plan), it.unknown_runs > 0},
        edit_settings{4, 100, {}});
    it.step = edit::start();
}

void control_world::step_operator(unsigned n, fate how)
{
    auto& it = operators[n];
    if (it.outcome() != nullptr)
    {
        if (it.outcome()->result == acceptance::unknown)
        {
            ++it.unknown_runs;
            begin(it, n);
        }
        return;
    }
    if (std::holds_alternative<pause_step>(it.step))
    {
        it.step = edit::on_pause_over();
        return;
    }
    if (!store.up)
    {
        how = fate::not_sent;
    }
    if (auto const* sent = std::get_if<write_document>(&it.step))
    {
        write(it, write_document{*sent}, how);
        return;
    }
    it.step = how == fate::answered
                  ? it.machine->on_document(store.view(), wall_time{}, random_)
                  : it.machine->on_read_failure(random_);
}

void control_world::write(world_operator& it, write_document const& write,
                          fate how)
{
    if (how == fate::answered && !it.parts_written)
    {
        store.put_parts(write);
        it.parts_written = true;
        return;
    }
    it.parts_written = false;
    if (how == fate::not_sent)
    {
        it.step = it.machine->on_write_failure(external::call_fault::not_sent,
                                               random_);
        return;
    }
    if (how == fate::delayed)
    {
        delayed_.push_back(write);
    }
    if (how != fate::answered)
    {
        if (how == fate::answer_lost)
        {
            store.put_parts(write);
            store.swap_head(write);
        }
        it.step =
            it.machine->on_write_failure(external::call_fault::lost, random_);
        return;
    }
    it.step = store.swap_head(write) ? it.machine->on_written()
                                     : it.machine->on_condition_failed();
}

void control_world::deliver_delayed(unsigned n)
{
    if (delayed_.empty() || !store.up)
    {
        return;
    }
    // It stays in the list: the network may deliver it twice.
    auto const& late = delayed_[n % delayed_.size()];
    store.swap_head(late);
}

void control_world::note_revision(world_host& it)
{
    auto const number = it.machine.number();
    if (number < it.highest)
    {
        faults.push_back(it.id.value() + " went back");
    }
    if (number == std::exchange(it.highest, number))
    {
        return;
    }
    auto const& accepted = store.log.at(number.value() - 1).content;
    if (!(*it.machine.current() == accepted))
    {
        faults.push_back(it.id.value() + " has what was never accepted");
    }
}

void control_world::read_head_for(unsigned n, read_head_step const& step,
                                  bool answers)
{
    auto& it = hosts[n];
    if (!answers)
    {
        it.machine.on_store_failure(now);
    }
    else if (store.log.empty())
    {
        it.machine.on_head_absent(store.modified(), now);
    }
    else if (step.only_if_not == store.modified())
    {
        it.machine.on_head_unchanged(now);
    }
    else
    {
        run(n,
            it.machine.on_head(store.log.back().encoded.head, store.modified(),
                               now),
            answers);
    }
}

void control_world::run(unsigned n, follower_steps const& steps,
                        bool store_answers)
{
    auto& it = hosts[n];
    auto const answers = store_answers && store.up && !it.cut_from_store;
    for (auto const& step : steps)
    {
        if (auto const* read = std::get_if<read_head_step>(&step))
        {
            read_head_for(n, *read, answers);
        }
        else if (auto const* parts = std::get_if<read_parts_step>(&step))
        {
            if (answers)
            {
                run(n, it.machine.on_parts(store.parts(parts->names), now),
                    answers);
            }
            else
            {
                it.machine.on_store_failure(now);
            }
        }
        else if (std::holds_alternative<open_watch_step>(step))
        {
            it.watching = answers;
            if (!answers)
            {
                it.machine.on_watch_end(now);
            }
        }
        else if (std::holds_alternative<close_watch_step>(step))
        {
            it.watching = false;
        }
    }
    note_revision(it);
}

void control_world::tick_host(unsigned n, bool store_answers)
{
    auto& it = hosts[n];
    if (it.watching && store.up && !it.cut_from_store && store_answers &&
        it.watched < store.log.size())
    {
        it.watched = store.log.size();
        run(n,
            it.machine.on_watch_value(store.log.back().encoded.head,
                                      store.modified(), now),
            true);
    }
    auto members = std::vector<host_id>{};
    for (auto const& each : hosts)
    {
        members.push_back(each.id);
    }
    run(n, it.machine.on_tick(now, members), store_answers);
}

void control_world::gossip(unsigned n, unsigned m, bool answered)
{
    auto& it = hosts[n];
    auto& peer = hosts[m];
    if (n == m || it.cut_from_peers || peer.cut_from_peers)
    {
        return;
    }
    auto const steps =
        it.machine.on_peer_revision(peer.id, peer.machine.number(), now);
    for (auto const& step : steps)
    {
        auto const* ask = std::get_if<ask_peer_step>(&step);
        if (ask == nullptr)
        {
            continue;
        }
        auto const request =
            read_peer_request(write_peer_request(ask->request));
        auto const reply = peer.machine.answer(*request);
        if (!answered || !reply || ask->peer != peer.id)
        {
            it.machine.on_peer_failure(ask->peer, now);
            continue;
        }
        auto const message = read_peer_answer(write_peer_answer(*reply));
        run(n, it.machine.on_peer_answer(*message, now), true);
    }
}

void control_world::restart_host(unsigned n)
{
    auto& it = hosts[n];
    it.machine = follower{it.id, {}, now, 100 + ++starts_};
    it.watching = false;
    it.highest = revision{};
}

auto control_world::settled() const -> bool
{
    auto const ended = [](world_operator const& it)
    {
        return it.outcome() != nullptr &&
               it.outcome()->result != acceptance::unknown;
    };
    auto const up_to_date = [&](world_host const& it)
    {
        return it.machine.number().value() == store.log.size();
    };
    return std::ranges::all_of(operators, ended) &&
           std::ranges::all_of(hosts, up_to_date);
}

void control_world::heal_and_settle()
{
    store.up = true;
    for (auto& it : hosts)
    {
        it.cut_from_store = false;
        it.cut_from_peers = false;
    }
    constexpr auto rounds = 200U;
    for (auto round = 0U; round < rounds && !settled(); ++round)
    {
        now += 500ms;
        for (auto n = 0U; n < operators.size(); ++n)
        {
            step_operator(n, fate::answered);
        }
        for (auto n = 0U; n < hosts.size(); ++n)
        {
            tick_host(n, true);
            gossip(n, (n + 1 + round) % hosts.size(), true);
        }
    }
}

} // namespace primrosedeal::configuration
