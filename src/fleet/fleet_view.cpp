#include "fleet/fleet_view.hpp"

#include <algorithm>
#include <utility>

namespace primrosedeal::fleet
{

namespace
{

/// Fraction of the allowance that a purpose may use. Always less than 1:
/// digests lag by tens of milliseconds, and after a loss all hosts make
/// attempts at the same time.
auto usable_fraction(attempt_purpose it) -> double
{
    switch (it)
    {
    case attempt_purpose::answer:
        return 0.8;
    case attempt_purpose::continuation:
        return 0.9;
    }
    return 0;
}

auto reaches(digest const& it, service_id const& id) -> bool
{
    auto const& unreachable = it.unreachable_services;
    return std::find(unreachable.begin(), unreachable.end(), id) ==
           unreachable.end();
}

constexpr auto sample_period = duration{1s};

auto whole_seconds(time_point it) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::seconds>(
               it.time_since_epoch())
        .count();
}

} // namespace

auto fleet_view::apply(digest const& it, time_point now) -> bool
{
    if (auto const known = hosts_.find(it.host);
        it.partial && (known == hosts_.end() ||
                       known->second.last.process_start != it.process_start))
    {
        return false;
    }
    auto& state = hosts_[it.host];
    auto const& last = state.last;
    if (it.process_start < last.process_start ||
        (it.process_start == last.process_start &&
         it.sequence <= last.sequence))
    {
        return false;
    }
    if (last.process_start < it.process_start)
    {
        state.samples.clear();
    }
    if (it.partial)
    {
        merge_partial(state.last, it);
    }
    else
    {
        record_changes(last.loads, it.loads);
        remove_loads(last.loads);
        state.last = it;
        add_loads(it.loads);
    }
    state.received_at = now;
    if (state.samples.empty() || now - state.samples.back().at >= sample_period)
    {
        state.samples.push_back({now, it.counts});
    }
    while (state.samples.size() > 1 &&
           now - state.samples[1].at >= attempt_window)
    {
        state.samples.pop_front();
    }
    return true;
}

auto fleet_view::expire(time_point now) -> std::vector<host_id>
{
    auto out = std::vector<host_id>{};
    std::erase_if(hosts_,
                  [&](auto const& it)
                  {
                      auto const timed_out =
                          now - it.second.received_at > host_timeout;
                      if (timed_out)
                      {
                          remove_loads(it.second.last.loads);
                          out.push_back(it.first);
                      }
                      return timed_out;
                  });
    return out;
}

void fleet_view::merge_partial(digest& last, digest const& it)
{
    auto before = load_map{};
    auto after = load_map{};
    auto all = std::move(last.loads);
    for (auto const& [id, load] : it.loads)
    {
        if (auto const known = all.extract(id))
        {
            before.emplace(id, known.mapped());
        }
        if (load.requests != 0 || load.pending_prefill_tokens != 0 ||
            load.memory_tokens != 0)
        {
            after.emplace(id, load);
        }
    }
    record_changes(before, after);
    remove_loads(before);
    add_loads(after);
    all.insert(after.begin(), after.end());
    auto const configuration = last.configuration;
    last = it;
    last.configuration = it.configuration ? it.configuration : configuration;
    last.partial = false;
    last.loads = std::move(all);
}

void fleet_view::record_changes(load_map const& before, load_map const& after)
{
    prefill_changes_.clear();
    auto const in = [](load_map const& loads, target_id const& id)
    {
        auto const found = loads.find(id);
        return found == loads.end() ? dispatch::target_load{} : found->second;
    };
    auto const record = [&](target_id const& id,
                            dispatch::target_load const& from,
                            dispatch::target_load const& to)
    {
        if (from.pending_prefill_tokens != to.pending_prefill_tokens)
        {
            prefill_changes_.push_back({id, from, to});
        }
    };
    for (auto const& [id, load] : before)
    {
        record(id, load, in(after, id));
    }
    for (auto const& [id, load] : after)
    {
        if (!before.contains(id))
        {
            record(id, {}, load);
        }
    }
}

auto fleet_view::mean_age(time_point now) const -> duration
{
    auto sum = duration{};
    for (auto const& [id, state] : hosts_)
    {
        sum += now - state.received_at;
    }
    return hosts_.empty() ? sum
                          : sum / static_cast<duration::rep>(hosts_.size());
}

void fleet_view::remove_loads(load_map const& it)
{
    for (auto const& [id, load] : it)
    {
        auto& sum = loads_[id];
        sum.requests -= load.requests;
        sum.pending_prefill_tokens -= load.pending_prefill_tokens;
        sum.memory_tokens -= load.memory_tokens;
        if (sum.requests == 0 && sum.memory_tokens == 0)
        {
            loads_.erase(id);
        }
    }
}

void fleet_view::add_loads(load_map const& it)
{
    for (auto const& [id, load] : it)
    {
        auto& sum = loads_[id];
        sum.requests += load.requests;
        sum.pending_prefill_tokens += load.pending_prefill_tokens;
        sum.memory_tokens += load.memory_tokens;
    }
}

auto fleet_view::lowest_host() const -> std::optional<host_id>
{
    return hosts_.empty() ? std::nullopt : std::optional{hosts_.begin()->first};
}

auto fleet_view::host_ids() const -> std::vector<host_id>
{
    auto out = std::vector<host_id>{};
    out.reserve(hosts_.size());
    for (auto const& [id, state] : hosts_)
    {
        out.push_back(id);
    }
    return out;
}

auto fleet_view::hosts_reaching(service_id const& id) const
    -> std::vector<host_id>
{
    auto out = std::vector<host_id>{};
    for (auto const& [host, state] : hosts_)
    {
        if (reaches(state.last, id))
        {
            out.push_back(host);
        }
    }
    return out;
}

auto fleet_view::any_host_reaches(service_id const& id) const -> bool
{
    return std::any_of(hosts_.begin(), hosts_.end(),
                       [&](auto const& it)
                       { return reaches(it.second.last, id); });
}

auto fleet_view::configured_hosts() const -> std::vector<configured_host>
{
    auto out = std::vector<configured_host>{};
    for (auto const& [id, state] : hosts_)
    {
        if (auto const& used = state.last.configuration)
        {
            out.push_back({id, state.last.domain, used->version});
        }
    }
    return out;
}

auto fleet_view::latest(host_id const& id) const -> digest const*
{
    auto const it = hosts_.find(id);
    return it == hosts_.end() ? nullptr : &it->second.last;
}

auto fleet_view::load_of(target_id const& id) const -> dispatch::target_load
{
    auto const it = loads_.find(id);
    return it == loads_.end() ? dispatch::target_load{} : it->second;
}

auto fleet_view::peers_in(domain_id const& domain) const
    -> std::vector<domain_peer>
{
    auto out = std::vector<domain_peer>{};
    for (auto const& [id, state] : hosts_)
    {
        if (state.last.domain == domain)
        {
            out.push_back({id, state.last.store_contact, false});
        }
    }
    return out;
}

auto fleet_view::hosts_in_contact() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(hosts_.begin(), hosts_.end(),
                      [](auto const& it)
                      { return it.second.last.store_contact.has_value(); }));
}

auto fleet_view::hosts_in_contact_before(host_id const& id) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(hosts_.begin(), hosts_.lower_bound(id),
                      [](auto const& it)
                      { return it.second.last.store_contact.has_value(); }));
}

auto fleet_view::store_served_since(time_point since) const -> bool
{
    return std::any_of(hosts_.begin(), hosts_.end(),
                       [&](auto const& it)
                       {
                           auto const& contact = it.second.last.store_contact;
                           return contact &&
                                  it.second.received_at - *contact <= since;
                       });
}

auto fleet_view::recent(service_id const& id, time_point now) const
    -> service_count
{
    auto out = service_count{};
    for (auto const& [host, state] : hosts_)
    {
        auto const latest = state.last.counts.find(id);
        if (latest == state.last.counts.end())
        {
            continue;
        }
        auto before = service_count{};
        for (auto const& old : state.samples)
        {
            if (now - old.at < attempt_window)
            {
                break;
            }
            auto const found = old.counts.find(id);
            before = found == old.counts.end() ? before : found->second;
        }
        out.requests += latest->second.requests - before.requests;
        out.further_attempts +=
            latest->second.further_attempts - before.further_attempts;
    }
    return out;
}

auto fleet_view::request_rate(service_id const& id, time_point now) const
    -> std::optional<double>
{
    constexpr auto window = duration{3s};
    auto const count = [&](std::map<service_id, service_count> const& counts)
    {
        auto const it = counts.find(id);
        return it == counts.end() ? 0.0
                                  : static_cast<double>(it->second.requests);
    };
    auto known = std::size_t{0};
    auto out = 0.0;
    for (auto const& [host, state] : hosts_)
    {
        auto const* since = &state.samples.front();
        for (auto const& it : state.samples)
        {
            since = now - it.at >= window ? &it : since;
        }
        if (now - since->at >= sample_period)
        {
            ++known;
            out += (count(state.last.counts) - count(since->counts)) /
                   to_seconds(now - since->at);
        }
    }
    return 2 * known > hosts_.size() ? std::optional{out} : std::nullopt;
}

auto own_counts::current_second(service_id const& id, time_point now)
    -> service_count&
{
    auto& recent = seconds_[id];
    auto const current = whole_seconds(now);
    if (recent.empty() || recent.back().at != current)
    {
        recent.push_back({current, {}});
    }
    auto const window = attempt_window / duration{1s};
    while (recent.front().at < current - window)
    {
        recent.pop_front();
    }
    return recent.back().count;
}

void own_counts::request(service_id const& id, time_point now)
{
    ++current_second(id, now).requests;
    ++totals_[id].requests;
}

void own_counts::further_attempt(service_id const& id, time_point now)
{
    ++current_second(id, now).further_attempts;
    ++totals_[id].further_attempts;
}

void own_counts::refund_attempt(service_id const& id, time_point now)
{
    --current_second(id, now).further_attempts;
    --totals_[id].further_attempts;
}

auto own_counts::recent(service_id const& id, time_point now) const
    -> service_count
{
    auto out = service_count{};
    auto const found = seconds_.find(id);
    if (found == seconds_.end())
    {
        return out;
    }
    auto const oldest = whole_seconds(now) - attempt_window / duration{1s};
    for (auto const& it : found->second)
    {
        if (it.at >= oldest)
        {
            out.requests += it.count.requests;
            out.further_attempts += it.count.further_attempts;
        }
    }
    return out;
}

auto may_attempt(attempt_allowance const& allowance, attempt_purpose purpose,
                 service_count const& own, service_count const& others,
                 std::size_t live_others) -> bool
{
    auto const total_hosts = std::max(allowance.hosts, live_others + 1);
    auto const live_fraction =
        static_cast<double>(live_others + 1) / static_cast<double>(total_hosts);
    auto const requests = static_cast<double>(own.requests + others.requests);
    auto const used =
        static_cast<double>(own.further_attempts + others.further_attempts);
    auto const allowed =
        usable_fraction(purpose) *
        (allowance.ratio * requests + allowance.slack * live_fraction);
    return used + 1 <= allowed;
}

} // namespace primrosedeal::fleet
