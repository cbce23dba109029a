#include "model_order/reconciler.hpp"

#include <algorithm>
#include <utility>

// A term starts without any known state. The state of each target is read, then
// the target is commanded to load what it already has: the response "done"
// proves that it is not still loading for an earlier holder, and raises the
// fencing number that it checks against. Only replicas confirmed in this way
// count towards the replica floor. Then the differences from the desired state
// are commanded, one command at a time for each target.
//
// Without a response, a command stays unfinished. It is sent again, which is
// safe because commands are idempotent, until the target responds "done".

namespace primrosedeal::model_order
{

auto reconciler::on_event(event const& it, time_point now) -> actions
{
    now_ = now;
    out_.clear();
    std::visit([this](auto const& what) { on(what); }, it);
    step();
    return std::exchange(out_, {});
}

auto reconciler::holds_lease(time_point now) const -> bool
{
    return fencing_number_ && now + settings_.lease_margin < valid_until_;
}

auto reconciler::may_command(target_record const& it) const -> bool
{
    if (!platform_up_ || !holds_lease(now_) || it.leaving)
    {
        return false;
    }
    return desired_.fencing_services.contains(it.service) ||
           now_ >= acquired_at_ + settings_.takeover_delay;
}

auto reconciler::permit_send(target_id const& target, command_serial serial,
                             time_point now) -> bool
{
    now_ = now;
    auto const found = targets_.find(target);
    if (found == targets_.end())
    {
        return false;
    }
    auto& it = found->second;
    if (!it.in_flight || it.in_flight->serial != serial ||
        it.in_flight->permitted)
    {
        return false;
    }
    if (!may_command(it) ||
        !keeps_replica_floor(target, it, it.in_flight->command))
    {
        it.in_flight.reset();
        it.next_attempt = now_ + settings_.poll_interval;
        return false;
    }
    it.in_flight->permitted = true;
    return true;
}

void reconciler::reset_for_term(target_record& it) const
{
    auto const checks = desired_.fencing_services.contains(it.service);
    auto fresh = target_record{};
    fresh.service = it.service;
    fresh.leaving = it.leaving;

    // A state read before the end of the takeover delay may still change.
    fresh.next_read = checks ? now_ : acquired_at_ + settings_.takeover_delay;
    it = std::move(fresh);
}

void reconciler::on(lease_acquired const& it)
{
    fencing_number_ = it.number;
    acquired_at_ = now_;
    valid_until_ = it.valid_until;
    for (auto& [id, target] : targets_)
    {
        reset_for_term(target);
    }
}

void reconciler::on(lease_renewed const& it)
{
    valid_until_ = std::max(valid_until_, it.valid_until);
}

void reconciler::on(lease_lost const& /*it*/)
{
    fencing_number_.reset();
}

void reconciler::on(desired_state_changed const& it)
{
    if (it.number < desired_revision_)
    {
        return;
    }
    desired_revision_ = it.number;
    desired_ = it.state;

    for (auto& [id, target] : targets_)
    {
        target.next_read = std::min(target.next_read, now_);
    }
}

void reconciler::on(targets_updated const& it)
{
    auto kept = target_records{};
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
        reset_for_term(target);
    }
    targets_ = std::move(kept);
}

void reconciler::on(state_read const& it)
{
    auto const found = targets_.find(it.target);
    if (found == targets_.end() || found->second.pending_read != it.serial)
    {
        return;
    }
    auto& target = found->second;

    target.pending_read.reset();
    target.next_read =
        now_ + (it.state ? settings_.reread_interval : settings_.poll_interval);
    drop_stale_confirmations(target, it.state);
    target.observed = it.state;
}

/// Keeps only confirmations of models that are unchanged since the last read of
/// the same incarnation.
void reconciler::drop_stale_confirmations(
    target_record& it, std::optional<observed_state> const& latest)
{
    auto const same_start =
        latest && (!it.started || *it.started == latest->started);
    if (!same_start)
    {
        it.confirmed.clear();
    }
    if (!latest)
    {
        return;
    }
    it.started = latest->started;
    std::erase_if(it.confirmed,
                  [&](model_id const& model)
                  {
                      auto const* const is = find_loaded(*latest, model);
                      auto const* const was =
                          it.observed ? find_loaded(*it.observed, model) : is;
                      return is == nullptr || was == nullptr || *is != *was;
                  });
}

void reconciler::on(command_response const& it)
{
    auto const found = targets_.find(it.target);
    if (found == targets_.end() || !found->second.in_flight ||
        found->second.in_flight->serial != it.serial ||
        !found->second.in_flight->permitted)
    {
        return;
    }
    auto& target = found->second;
    auto const command = target.in_flight->command;
    target.in_flight.reset();
    target.next_attempt = now_ + settings_.poll_interval;
    switch (it.result)
    {
    case command_result::done:
        on_done(target, command);
        return;
    case command_result::loading:
    case command_result::no_response:
        target.unfinished = command;
        return;
    case command_result::stale_fencing_number:
        fencing_number_.reset();
        out_.emplace_back(release_lease{});
        return;
    case command_result::rejected:
        target.unfinished.reset();
        target.next_read = now_ + settings_.poll_interval;
        return;
    }
}

void reconciler::on_done(target_record& it, model_command const& command)
{
    it.unfinished.reset();
    it.next_attempt = now_;
    it.next_read = now_;
    it.observed.reset();
    auto const model = model_of(command);
    if (model && !std::holds_alternative<unload_model>(command))
    {
        it.confirmed.insert(*model);
    }
}

void reconciler::on(weights_response const& it)
{
    auto const found = targets_.find(it.target);
    if (found == targets_.end() || !found->second.weights_requested)
    {
        return;
    }
    auto& target = found->second;
    target.weights_requested = false;
    target.weights_granted = it.available;
    if (!it.available)
    {
        target.next_attempt =
            now_ + std::max(it.retry_after, settings_.poll_interval);
        next_load_ = std::max(next_load_, target.next_attempt);
    }
}

void reconciler::on(timer_due const& /*it*/) {}

void reconciler::on(platform_up const& /*it*/)
{
    platform_up_ = true;
}

void reconciler::on(platform_down const& /*it*/)
{
    platform_up_ = false;
}

void reconciler::step()
{
    held_by_floor_ = 0;
    for (auto& [id, target] : targets_)
    {
        if (may_command(target))
        {
            step_target(id, target);
        }
    }
}

void reconciler::step_target(target_id const& id, target_record& it)
{
    if (it.pending_read || it.in_flight)
    {
        return;
    }
    if (it.next_read <= now_ && !it.unfinished)
    {
        it.pending_read = read_serial{next_serial_++};
        out_.emplace_back(read_state{id, *it.pending_read});
        return;
    }
    if (it.next_attempt > now_ || (!it.observed && !it.unfinished))
    {
        return;
    }
    if (auto const command = choose_command(it))
    {
        begin_command(id, it, *command);
    }
}

auto reconciler::choose_command(target_record const& it) const
    -> std::optional<model_command>
{
    if (it.unfinished)
    {
        return it.unfinished;
    }
    if (auto command = confirming_command(it))
    {
        return command;
    }
    return next_command(desired_, it.service, *it.observed);
}

auto reconciler::confirming_command(target_record const& it) const
    -> std::optional<model_command>
{
    for (auto const& want : desired_.models)
    {
        auto const* const have = find_loaded(*it.observed, want.model);
        if (want.service == it.service && have != nullptr &&
            !it.confirmed.contains(want.model))
        {
            return load_model{have->model, have->version};
        }
    }
    return std::nullopt;
}

void reconciler::begin_command(target_id const& id, target_record& it,
                               model_command const& command)
{
    if (!keeps_replica_floor(id, it, command))
    {
        ++held_by_floor_;
        return;
    }
    if (!it.unfinished && must_wait_for_weights(id, it, command))
    {
        return;
    }
    it.weights_granted = false;
    it.in_flight = sent_command{command, command_serial{next_serial_++}, false};
    out_.emplace_back(
        send_command{id, command, *fencing_number_, it.in_flight->serial});
}

/// Whether the command must wait for the weight store or for other loads.
auto reconciler::must_wait_for_weights(target_id const& id, target_record& it,
                                       model_command const& command) -> bool
{
    auto const weights = weights_for(command);
    auto const* const have =
        weights ? find_loaded(*it.observed, weights->model) : nullptr;
    auto const confirms = std::holds_alternative<load_model>(command) &&
                          have != nullptr && have->version == weights->version;
    if (!weights || confirms || it.weights_granted)
    {
        return false;
    }
    if (!it.weights_requested && next_load_ <= now_ &&
        loading_count() < settings_.max_concurrent_loads)
    {
        it.weights_requested = true;
        next_load_ = now_ + settings_.min_load_interval;
        out_.emplace_back(request_weights{id, *weights});
    }
    return true;
}

auto reconciler::loading_count() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        targets_.begin(), targets_.end(),
        [](auto const& each)
        {
            auto const& it = each.second;
            return it.weights_requested || it.weights_granted || it.unfinished;
        }));
}

auto reconciler::is_ready(target_record const& it, model_id const& model)
    -> bool
{
    return !it.leaving && !it.in_flight && !it.unfinished && it.observed &&
           it.observed->role == serving_role &&
           find_loaded(*it.observed, model) != nullptr &&
           it.confirmed.contains(model);
}

auto reconciler::keeps_replica_floor(target_id const& id,
                                     target_record const& it,
                                     model_command const& command) const -> bool
{
    // An unfinished command has already interrupted the replica, so repeating
    // it makes no difference.
    if (!interrupts_serving(command) || it.unfinished)
    {
        return true;
    }

    auto const want =
        std::find_if(desired_.models.begin(), desired_.models.end(),
                     [&](auto const& each) {
                         return each.service == it.service &&
                                each.model == model_of(command);
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
    return ready >= static_cast<std::ptrdiff_t>(want->replica_floor);
}

auto reconciler::next_timer() const -> std::optional<time_point>
{
    if (!fencing_number_ || !platform_up_ || targets_.empty())
    {
        return std::nullopt;
    }
    return now_ +
           std::min(settings_.poll_interval, settings_.min_load_interval);
}

auto reconciler::status() const -> reconciler_status
{
    auto result = reconciler_status{targets_.size(), 0, held_by_floor_};
    for (auto const& [id, it] : targets_)
    {
        auto const converged =
            it.observed && !it.unfinished && !it.in_flight &&
            !confirming_command(it) &&
            !next_command(desired_, it.service, *it.observed);
        result.converged += converged ? 1U : 0U;
    }
    return result;
}

} // namespace primrosedeal::model_order
