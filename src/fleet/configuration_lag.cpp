#include "fleet/configuration_lag.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace primrosedeal::fleet
{

namespace
{

/// Askers at a time for each host that can answer.
constexpr auto askers_per_host = std::size_t{4};

/// Time for an answer before another host is asked: the first may stand still.
constexpr auto answer_patience = duration{500ms};
/// Fetches that may be open at once on a small host's link.
constexpr auto max_open_requests = std::size_t{3};

constexpr auto first_retry_delay = duration{1s};
constexpr auto max_retry_delay = duration{16s};

/// One of the newest, of the own domain if it has any.
auto choose(std::vector<configured_host> const& from, domain_id const& domain,
            random_source& random) -> configured_host const&
{
    auto best = std::vector<configured_host const*>{};
    auto const rank = [&](configured_host const& it)
    {
        return std::pair{it.version, it.domain == domain};
    };
    for (auto const& it : from)
    {
        if (!best.empty() && rank(*best.front()) < rank(it))
        {
            best.clear();
        }
        if (best.empty() || rank(*best.front()) == rank(it))
        {
            best.push_back(&it);
        }
    }
    return *best.at(random.below(best.size()));
}

} // namespace

configuration_lag::configuration_lag(duration change_bound)
    : change_bound_(change_bound)
{
}

auto configuration_lag::next(lag_view const& view, random_source& random,
                             time_point now) -> std::optional<host_id>
{
    auto later = std::vector<configured_host>{};
    std::copy_if(view.others.begin(), view.others.end(),
                 std::back_inserter(later),
                 [&](auto const& it) { return view.own < it.version; });
    forget_requests(later);
    if (later.empty())
    {
        behind_since_.reset();
        return std::nullopt;
    }
    if (!behind_since_ || expected_ <= view.own)
    {
        // Versions that come in quick succession are each given the time.
        expected_ = std::max_element(later.begin(), later.end(),
                                     [](auto const& a, auto const& b)
                                     { return a.version < b.version; })
                        ->version;
        behind_since_ = now;
    }
    auto const patience = view.path_settled ? change_bound_ / 4 : duration{};
    auto const informed = later.size();
    auto const behind = view.others.size() - informed + 1;
    std::erase_if(later,
                  [&](auto const& it) { return !may_be_asked(it, now); });
    if (now < *behind_since_ + patience || later.empty() ||
        open_requests() >= max_open_requests ||
        random.below(behind) >= askers_per_host * informed)
    {
        return std::nullopt;
    }
    auto const waits = std::any_of(
        requests_.begin(), requests_.end(),
        [&](auto const& it) {
            return it.second.open && now < it.second.sent_at + answer_patience;
        });
    if (waits)
    {
        return std::nullopt;
    }
    auto const& to = choose(later, view.domain, random);
    auto& it = requests_[to.id];
    it.failures = it.version == to.version ? it.failures : 0;
    it.version = to.version;
    it.sent_at = now;
    it.open = true;
    return to.id;
}

void configuration_lag::fetch_ended(host_id const& from,
                                    routes::configuration_version own,
                                    time_point now)
{
    auto const it = requests_.find(from);
    if (it == requests_.end())
    {
        return;
    }
    if (it->second.version <= own)
    {
        requests_.erase(it);
        return;
    }
    if (std::exchange(it->second.open, false))
    {
        mark_failed(it->second, now);
    }
}

void configuration_lag::mark_failed(request& it, time_point now)
{
    constexpr auto max_doublings = 4U;
    it.retry_at =
        now + std::min(max_retry_delay,
                       first_retry_delay *
                           (1 << std::min(it.failures++, max_doublings)));
}

/// Forgets hosts that report nothing later any more.
void configuration_lag::forget_requests(
    std::vector<configured_host> const& later)
{
    std::erase_if(requests_,
                  [&](auto const& it)
                  {
                      return !it.second.open &&
                             std::none_of(later.begin(), later.end(),
                                          [&](auto const& host)
                                          { return host.id == it.first; });
                  });
}

auto configuration_lag::open_requests() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(),
                      [](auto const& it) { return it.second.open; }));
}

auto configuration_lag::may_be_asked(configured_host const& it,
                                     time_point now) const -> bool
{
    auto const known = requests_.find(it.id);
    if (known == requests_.end())
    {
        return true;
    }
    auto const& last = known->second;
    return !last.open && (last.version < it.version || now >= last.retry_at);
}

auto configuration_lag::behind_for(time_point now) const
    -> std::optional<duration>
{
    return behind_since_ ? std::optional{now - *behind_since_} : std::nullopt;
}

} // namespace primrosedeal::fleet
