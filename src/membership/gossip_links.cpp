#include "membership/gossip.hpp"
#include "membership/neighbours.hpp"

#include <algorithm>
#include <utility>

// Links, probes and outgoing messages, processed on each tick. Pending records
// are queued by key for each link and urgency, so a record that changes while
// pending is sent once, in its newest version.
namespace primrosedeal::membership
{

namespace
{

constexpr auto link_choice_period = duration{500ms};
constexpr auto link_open_period = duration{1s};
constexpr auto unreachable_retry_period = duration{5s};
/// Scales the retry period with the fleet, so that all hosts together make
/// about one such attempt in this period.
constexpr auto retry_period_per_host = duration{250ms};
constexpr auto digest_period = duration{10s};
constexpr auto unwanted_timeout = duration{3s};
/// A longer gap between ticks means that this process was paused; the silence
/// of its neighbours then proves nothing.
constexpr auto pause_threshold = duration{2s};
constexpr auto flush_periods =
    std::array<duration, urgency_count>{duration{0}, 500ms, 1s};

constexpr auto max_helpers = std::size_t{3};
constexpr auto max_delegated_probes = std::size_t{64};
constexpr auto max_batch_bytes = std::size_t{1024};
/// The first record to send is chosen at random unless more keys are pending,
/// since advancing through the set takes linear time.
constexpr auto max_keys_for_random_start = std::size_t{1024};
/// Estimate of the HTTP/2 and TCP/IP framing of a message.
constexpr auto message_overhead_bytes = std::size_t{80};
constexpr auto digest_bytes = digest_buckets * sizeof(std::uint32_t);

/// Uniform in [period / 2, 3 * period / 2), so that hosts do not synchronise.
auto jittered(duration period, random_source& random) -> duration
{
    auto const n = static_cast<std::uint64_t>(period.count());
    return period / 2 + duration{static_cast<duration::rep>(random.below(n))};
}

} // namespace

void gossip::on(link_up const& it)
{
    if (it.peer == self_.id)
    {
        out_.emplace_back(close_link{it.peer});
        return;
    }
    auto& link = links_[it.peer];
    link.up = true;
    link.dialled = it.dialled;
    link.unwanted_since = now_;
    link.pending = {};
    reset_silence(link.probing, now_);
    auto const urgent = static_cast<std::size_t>(urgency::urgent);
    link.pending.at(urgent).insert({topic::member, self_.id.value()});
    if (it.dialled)
    {
        auto hello = message{message_kind::digest, self_.start};
        hello.summary = store_.summary();
        send_to(it.peer, std::move(hello));
    }
}

void gossip::on(link_down const& it)
{
    auto const found = links_.find(it.peer);
    if (found == links_.end())
    {
        return;
    }
    found->second.up = false;
    found->second.pending = {};
    if (!found->second.wanted)
    {
        links_.erase(found);
    }
}

void gossip::on(tick const&)
{
    if (now_ - last_tick_ > pause_threshold)
    {
        for (auto& [peer, link] : links_)
        {
            reset_silence(link.probing, now_);
        }
    }
    refill_budget();
    last_tick_ = now_;
    for (auto const& key : store_.expire(now_))
    {
        if (key.topic == topic::member)
        {
            members_.erase(host_id{key.name});
            links_outdated_ = true;
        }
    }
    choose_links();
    for (auto& [peer, link] : links_)
    {
        if (link.wanted)
        {
            probe_link(peer, link);
        }
    }
    run_delegated_probes();
    retry_unreachable_hosts();
    close_unwanted();
    exchange_digests();
    flush();
}

/// Probes and digests are charged to the budget, but half of it is reserved for
/// records: a host that many others dial at once must still send them records.
void gossip::refill_budget()
{
    auto const gap = std::min<duration>(now_ - last_tick_, 1s);
    auto const whole = static_cast<double>(settings_.bytes_per_second);
    auto const refill_bytes = to_seconds(gap) * whole;
    auto const left = std::max(refill_bytes - control_bytes_, refill_bytes / 2);
    control_bytes_ = 0;
    byte_budget_ = std::min(byte_budget_ + left, whole);
}

void gossip::choose_links()
{
    if (!links_outdated_ || now_ < next_link_choice_)
    {
        return;
    }
    links_outdated_ = false;
    next_link_choice_ = now_ + link_choice_period;
    auto others = std::vector<member>{};
    for (auto const& [id, it] : members_)
    {
        if (it.state != host_state::dead)
        {
            others.push_back(it);
        }
    }
    auto const chosen = neighbours_of(self_, others);
    for (auto const& peer : chosen)
    {
        auto& link = links_[peer];
        if (!std::exchange(link.wanted, true))
        {
            reset_silence(link.probing, now_);
        }
    }
    for (auto& [peer, link] : links_)
    {
        if (!chosen.contains(peer) && std::exchange(link.wanted, false))
        {
            link.unwanted_since = now_;
        }
    }
    std::erase_if(links_, [](auto const& it)
                  { return !it.second.wanted && !it.second.up; });
}

void gossip::probe_link(host_id const& peer, peer_link& it)
{
    if (!it.up && now_ >= it.next_open)
    {
        open(peer, it);
    }
    auto const step =
        advance(it.probing, settings_.probes, is_alone(peer), now_);
    carry_out(peer, it, step);
}

void gossip::carry_out(host_id const& peer, peer_link& it, probe_step step)
{
    switch (step)
    {
    case probe_step::nothing:
        break;
    case probe_step::ping:
        send_to(peer, {message_kind::ping, self_.start, ++last_request_id_});
        break;
    case probe_step::request_indirect_probes:
        if (it.up)
        {
            out_.emplace_back(replace_link{peer, members_.at(peer).address});
        }
        request_indirect_probes(peer, it);
        break;
    case probe_step::suspect:
        declare(peer, host_state::suspect);
        break;
    case probe_step::declare_dead:
        declare(peer, host_state::dead);
        break;
    }
}

void gossip::request_indirect_probes(host_id const& peer, peer_link& it)
{
    it.probing.request_id = ++last_request_id_;
    auto requested = std::size_t{0};
    for (auto const& helper : shuffled(up_links()))
    {
        auto const known = members_.find(helper);
        if (helper == peer || known == members_.end() ||
            known->second.state != host_state::alive)
        {
            continue;
        }
        send_to(helper, {message_kind::probe_request, self_.start,
                         it.probing.request_id, peer});
        if (++requested == max_helpers)
        {
            return;
        }
    }
}

void gossip::start_delegated_probe(received const& it)
{
    auto const& subject = it.content.subject;
    auto const known = members_.find(subject);
    if (known == members_.end() ||
        delegated_probes_.size() >= max_delegated_probes)
    {
        return;
    }
    delegated_probes_.push_back({subject, it.from, it.content.request_id,
                                 now_ + settings_.probes.delegated_timeout,
                                 false});
    auto const found = links_.find(subject);
    if (found == links_.end() || !found->second.up)
    {
        out_.emplace_back(open_link{subject, known->second.address});
    }
}

void gossip::run_delegated_probes()
{
    for (auto& it : delegated_probes_)
    {
        auto const found = links_.find(it.subject);
        if (!it.pinged && found != links_.end() && found->second.up)
        {
            it.pinged = true;
            send_to(it.subject,
                    {message_kind::ping, self_.start, ++last_request_id_});
        }
        if (now_ >= it.deadline)
        {
            send_to(it.requester, {message_kind::probe_unanswered, self_.start,
                                   it.request_id, it.subject});
        }
    }
    std::erase_if(delegated_probes_, [this](delegated_probe const& it)
                  { return now_ >= it.deadline; });
}

/// Retries dead hosts and unknown seeds at a low rate, so that the fleet
/// reconnects by itself after a partition. The rate is higher while this host
/// has no link at all.
void gossip::retry_unreachable_hosts()
{
    if (now_ < next_unreachable_retry_)
    {
        return;
    }
    auto const hosts = static_cast<duration::rep>(members_.size());
    auto const period =
        link_count() == 0
            ? link_open_period
            : std::max(unreachable_retry_period, hosts * retry_period_per_host);
    next_unreachable_retry_ = now_ + jittered(period, *random_);
    auto candidates = std::vector<open_link>{};
    for (auto const& [id, it] : members_)
    {
        if (it.state == host_state::dead)
        {
            candidates.push_back({id, it.address});
        }
    }
    for (auto const& seed : settings_.seeds)
    {
        if (seed != self_.address &&
            (link_count() == 0 || !is_live_address(seed)))
        {
            candidates.push_back({host_id{}, seed});
        }
    }
    if (!candidates.empty())
    {
        out_.emplace_back(candidates[random_->below(candidates.size())]);
    }
}

auto gossip::is_live_address(net::endpoint const& address) const -> bool
{
    return std::any_of(members_.begin(), members_.end(),
                       [&](auto const& it)
                       {
                           return it.second.address == address &&
                                  it.second.state != host_state::dead;
                       });
}

void gossip::close_unwanted()
{
    for (auto const& [peer, it] : links_)
    {
        if (it.up && it.dialled && !it.wanted &&
            now_ - it.unwanted_since >= unwanted_timeout)
        {
            out_.emplace_back(close_link{peer});
        }
    }
}

void gossip::exchange_digests()
{
    if (now_ < next_digest_)
    {
        return;
    }
    next_digest_ = now_ + jittered(digest_period, *random_);
    auto const links = up_links();
    if (links.empty())
    {
        return;
    }
    auto it = message{message_kind::digest, self_.start};
    it.summary = store_.summary();
    send_to(links[random_->below(links.size())], std::move(it));
}

/// Sends pending records in order of urgency across all links: urgent records
/// of every link before the normal ones of any link.
void gossip::flush()
{
    auto batches = std::map<host_id, message>{};
    auto const links = shuffled(up_links());
    for (auto level = std::size_t{0}; level < urgency_count; ++level)
    {
        if (now_ < next_flush_.at(level))
        {
            continue;
        }
        auto drained = true;
        for (auto const& peer : links)
        {
            auto& pending = links_.at(peer).pending.at(level);
            if (!pending.empty())
            {
                drained =
                    fill(batches[peer], pending, max_batch_bytes) && drained;
            }
        }
        counters_.budget_waits += drained ? 0 : 1;
        if (drained)
        {
            next_flush_.at(level) = now_ + flush_periods.at(level);
        }
    }
    for (auto& [peer, batch] : batches)
    {
        if (!batch.records.empty())
        {
            batch.start = self_.start;
            send_to(peer, std::move(batch));
        }
    }
}

/// Returns a random position in `pending`. Hosts that join then learn of
/// different hosts first and do not all connect to the same ones.
auto gossip::random_start(std::set<record_key> const& pending)
    -> std::set<record_key>::const_iterator
{
    auto const n = pending.size();
    auto const skipped = n > max_keys_for_random_start ? 0 : random_->below(n);
    return std::next(pending.begin(), static_cast<std::ptrdiff_t>(skipped));
}

/// Moves pending records into `out`. Returns false if the budget or `limit` was
/// exhausted before `pending` was empty.
auto gossip::fill(message& out, std::set<record_key>& pending,
                  std::size_t limit) -> bool
{
    auto used = std::size_t{0};
    for (auto const& it : out.records)
    {
        used += encoded_bytes(it);
    }
    while (!pending.empty())
    {
        if (byte_budget_ <= 0 || used >= limit)
        {
            return false;
        }
        auto const at = random_start(pending);
        auto const held = store_.find(*at, now_);
        pending.erase(at);
        if (held)
        {
            auto const n = encoded_bytes(*held);
            used += n;
            byte_budget_ -= static_cast<double>(n);
            out.records.push_back(*held);
        }
    }
    return true;
}

/// Control messages are sent even if the budget is exhausted, but are charged
/// to it. The records in `it` were already charged by `fill`.
void gossip::send_to(host_id const& peer, message it)
{
    auto const found = links_.find(peer);
    if (found == links_.end() || !found->second.up)
    {
        return;
    }
    auto const n = message_overhead_bytes + (it.summary ? digest_bytes : 0);
    control_bytes_ += static_cast<double>(n);
    out_.emplace_back(send{peer, std::move(it)});
}

void gossip::open(host_id const& peer, peer_link& it)
{
    it.next_open = now_ + jittered(link_open_period, *random_);
    out_.emplace_back(open_link{peer, members_.at(peer).address});
}

auto gossip::is_alone(host_id const& except) const -> bool
{
    return std::none_of(members_.begin(), members_.end(),
                        [&](auto const& it) {
                            return it.first != except &&
                                   it.second.state != host_state::dead;
                        });
}

auto gossip::up_links() const -> std::vector<host_id>
{
    auto up = std::vector<host_id>{};
    for (auto const& [peer, it] : links_)
    {
        if (it.up)
        {
            up.push_back(peer);
        }
    }
    return up;
}

auto gossip::link_count() const -> std::size_t
{
    return up_links().size();
}

auto gossip::shuffled(std::vector<host_id> all) -> std::vector<host_id>
{
    for (auto n = all.size(); n > 1; --n)
    {
        std::swap(all[n - 1], all[random_->below(n)]);
    }
    return all;
}

} // namespace primrosedeal::membership
