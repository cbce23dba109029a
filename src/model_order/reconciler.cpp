#include "model_order/reconciler.hpp"

#include <algorithm>
#include <utility>

// A term begins with nothing believed. Each target is read, then told to load
// what it already has: an answer of "done" proves that it is not still loading
// for an earlier holder, and raises the number that it checks against. Only
// such confirmed replicas count for the floor. After that the difference from
// the declared state is ordered, one order a target at a time.
//
// A lost answer leaves the order unfinished: it is sent again, which is
// harmless, until the target says that it is done.

namespace primrosedeal::model_order
{

auto orderer::on_event(event const& it, time_point now) -> actions
{
    now_ = now;
    out_.clear();
    std::visit([this](auto const& what) { on(what); }, it);
    step();
    return std::exchange(out_, {});
}

auto orderer::holds_lease(time_point now) const -> bool
{
    return number_ && now + settings_.lease_margin < valid_until_;
}

auto orderer::may_order_to(record const& it) const -> bool
{
    if (!platform_up_ || !holds_lease(now_) || it.leaving)
    {
        return false;
    }
    return desired_.checking_services.contains(it.service) ||
           now_ >= acquired_at_ + settings_.guard_time;
}

auto orderer::permit_send(target_id const& target, order_serial serial,
                          time_point now) -> bool
{
    now_ = now;
    auto const found = targets_.find(target);
    if (found == targets_.end())
    {
        return false;
    }
    auto& it = found->second;
    if (!it.sent || it.sent->serial != serial || it.sent->permitted)
    {
        return false;
    }
    if (!may_order_to(it) || !floor_allows(target, it, it.sent->order))
    {
        it.sent.reset();
        it.next_try = now_ + settings_.poll;
        return false;
    }
    it.sent->permitted = true;
    return true;
}

void orderer::begin_term(record& it) const
{
    auto const checks = desired_.checking_services.contains(it.service);
    auto fresh = record{};
    fresh.service = it.service;
    fresh.leaving = it.leaving;

    // What is read before the guard time is over may still change.
    fresh.next_read = checks ? now_ : acquired_at_ + settings_.guard_time;
    it = std::move(fresh);
}

void orderer::on(lease_acquired const& it)
{
    number_ = it.number;
    acquired_at_ = now_;
    valid_until_ = it.valid_until;
    for (auto& [id, target] : targets_)
    {
        begin_term(target);
    }
}

void orderer::on(lease_renewed const& it)
{
    valid_until_ = std::max(valid_until_, it.valid_until);
}

void orderer::on(lease_lost const& /*it*/)
{
    number_.reset();
}

void orderer::on(declared const& it)
{
    if (it.number < declared_)
    {
        return;
    }
    declared_ = it.number;
    desired_ = it.state;

    for (auto& [id, target] : targets_)
    {
        target.next_read = std::min(target.next_read, now_);
    }
}

void orderer::on(targets_listed const& it)
{
    auto kept = records{};
    for (auto const& listed : it.targets)
    {
        auto const old = targets_.find(listed.id);
        auto& target = kept[listed.id];
        if (old != targets_.end() && old->second.service == listed.service)
        {
            target = std::move(old->second);
            target.leaving = listed.leaving;
            continue;
        }
        target.service = listed.service;
        target.leaving = listed.leaving;
        begin_term(target);
    }
    targets_ = std::move(kept);
}

void orderer::on(state_read const& it)
{
    auto const found = targets_.find(it.target);
    if (found == targets_.end() || found->second.reading != it.serial)
    {
        return;
    }
    auto& target = found->second;

    target.reading.reset();
    target.next_read = now_ + (it.state ? settings_.reread : settings_.poll);
    keep_confirmed(target, it.state);
    target.seen = it.state;
}

/// Keeps what was confirmed only where nothing but our orders changed it.
void orderer::keep_confirmed(record& it,
                             std::optional<observed_state> const& now_seen)
{
    auto const same_start =
        now_seen && (!it.started || *it.started == now_seen->started);
    if (!same_start)
    {
        it.confirmed.clear();
    }
    if (!now_seen)
    {
        return;
    }
    it.started = now_seen->started;
    std::erase_if(it.confirmed,
                  [&](model_id const& model)
                  {
                      auto const* const is = find_loaded(*now_seen, model);
                      auto const* const was =
                          it.seen ? find_loaded(*it.seen, model) : is;
                      return is == nullptr || was == nullptr || *is != *was;
                  });
}

void orderer::on(order_answered const& it)
{
    auto const found = targets_.find(it.target);
    if (found == targets_.end() || !found->second.sent ||
        found->second.sent->serial != it.serial ||
        !found->second.sent->permitted)
    {
        return;
    }
    auto& target = found->second;
    auto const order = target.sent->order;
    target.sent.reset();
    target.next_try = now_ + settings_.poll;
    switch (it.result)
    {
    case order_result::done:
        on_done(target, order);
        return;
    case order_result::loading:
    case order_result::lost:
        target.unfinished = order;
        return;
    case order_result::old_fencing_number:
        number_.reset();
        out_.emplace_back(release_lease{});
        return;
    case order_result::refused:
        target.unfinished.reset();
        target.next_read = now_ + settings_.poll;
        return;
    }
}

void orderer::on_done(record& it, model_order const& order)
{
    it.unfinished.reset();
    it.next_try = now_;
    it.next_read = now_;
    it.seen.reset();
    auto const model = model_of(order);
    if (model && !std::holds_alternative<unload_model>(order))
    {
        it.confirmed.insert(*model);
    }
}

void orderer::on(weights_answered const& it)
{
    auto const found = targets_.find(it.target);
    if (found == targets_.end() || !found->second.asking_weights)
    {
        return;
    }
    auto& target = found->second;
    target.asking_weights = false;
    target.weights_granted = it.available;
    if (!it.available)
    {
        target.next_try = now_ + std::max(it.retry_after, settings_.poll);
        next_load_ = std::max(next_load_, target.next_try);
    }
}

void orderer::on(timer_due const& /*it*/) {}

void orderer::on(platform_up const& /*it*/)
{
    platform_up_ = true;
}

void orderer::on(platform_down const& /*it*/)
{
    platform_up_ = false;
}

void orderer::step()
{
    held_by_floor_ = 0;
    for (auto& [id, target] : targets_)
    {
        if (may_order_to(target))
        {
            step_target(id, target);
        }
    }
}

void orderer::step_target(target_id const& id, record& it)
{
    if (it.reading || it.sent)
    {
        return;
    }
    if (it.next_read <= now_ && !it.unfinished)
    {
        it.reading = read_serial{next_serial_++};
        out_.emplace_back(read_state{id, *it.reading});
        return;
    }
    if (it.next_try > now_ || (!it.seen && !it.unfinished))
    {
        return;
    }
    if (auto const order = wanted_order(it))
    {
        begin_order(id, it, *order);
    }
}

auto orderer::wanted_order(record const& it) const -> std::optional<model_order>
{
    if (it.unfinished)
    {
        return it.unfinished;
    }
    if (auto order = confirming_order(it))
    {
        return order;
    }
    return next_order(desired_, it.service, *it.seen);
}

auto orderer::confirming_order(record const& it) const
    -> std::optional<model_order>
{
    for (auto const& want : desired_.models)
    {
        auto const* const have = find_loaded(*it.seen, want.model);
        if (want.service == it.service && have != nullptr &&
            !it.confirmed.contains(want.model))
        {
            return load_model{have->model, have->version};
        }
    }
    return std::nullopt;
}

void orderer::begin_order(target_id const& id, record& it,
                          model_order const& order)
{
    if (!floor_allows(id, it, order))
    {
        ++held_by_floor_;
        return;
    }
    if (!it.unfinished && wait_for_weights(id, it, order))
    {
        return;
    }
    it.weights_granted = false;
    it.sent = sent_order{order, order_serial{next_serial_++}, false};
    out_.emplace_back(send_order{id, order, *number_, it.sent->serial});
}

/// Whether the order has to wait, for the store or for other loads.
auto orderer::wait_for_weights(target_id const& id, record& it,
                               model_order const& order) -> bool
{
    auto const weights = weights_for(order);
    auto const* const have =
        weights ? find_loaded(*it.seen, weights->model) : nullptr;
    auto const confirms = std::holds_alternative<load_model>(order) &&
                          have != nullptr && have->version == weights->version;
    if (!weights || confirms || it.weights_granted)
    {
        return false;
    }
    if (!it.asking_weights && next_load_ <= now_ &&
        loading() < settings_.max_loading)
    {
        it.asking_weights = true;
        next_load_ = now_ + settings_.load_interval;
        out_.emplace_back(ask_weights{id, *weights});
    }
    return true;
}

auto orderer::loading() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        targets_.begin(), targets_.end(),
        [](auto const& each)
        {
            auto const& it = each.second;
            return it.asking_weights || it.weights_granted || it.unfinished;
        }));
}

auto orderer::is_ready(record const& it, model_id const& model) -> bool
{
    return !it.leaving && !it.sent && !it.unfinished && it.seen &&
           it.seen->role == serving_role &&
           find_loaded(*it.seen, model) != nullptr &&
           it.confirmed.contains(model);
}

auto orderer::floor_allows(target_id const& id, record const& it,
                           model_order const& order) const -> bool
{
    // An unfinished order already interrupts; to repeat it takes no more.
    if (!interrupts_serving(order) || it.unfinished)
    {
        return true;
    }

    auto const want = std::find_if(
        desired_.models.begin(), desired_.models.end(),
        [&](auto const& each) {
            return each.service == it.service && each.model == model_of(order);
        });
    if (want == desired_.models.end())
    {
        return true;
    }
    auto const ready =
        std::count_if(targets_.begin(), targets_.end(),
                      [&](auto const& other)
                      {
                          return other.first != id &&
                                 other.second.service == it.service &&
                                 is_ready(other.second, want->model);
                      });
    return ready >= static_cast<std::ptrdiff_t>(want->floor);
}

auto orderer::next_timer() const -> std::optional<time_point>
{
    if (!number_ || !platform_up_ || targets_.empty())
    {
        return std::nullopt;
    }
    return now_ + std::min(settings_.poll, settings_.load_interval);
}

auto orderer::status() const -> orderer_status
{
    auto result = orderer_status{targets_.size(), 0, held_by_floor_};
    for (auto const& [id, it] : targets_)
    {
        auto const settled = it.seen && !it.unfinished && !it.sent &&
                             !confirming_order(it) &&
                             !next_order(desired_, it.service, *it.seen);
        result.settled += settled ? 1U : 0U;
    }
    return result;
}

} // namespace primrosedeal::model_order
