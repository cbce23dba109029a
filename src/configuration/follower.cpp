#include "configuration/follower.hpp"

#include "core/host_hash.hpp"

#include <algorithm>
#include <tuple>

// Holders and others run the same code; the duty follows the membership view
// from tick to tick. Two views that differ for a while only mean a watch more
// or a look at the head less, never another revision: adoption itself depends
// on nothing but the revision's number.
namespace primrosedeal::configuration
{
auto is_watch_holder(host_id const& self, std::vector<host_id> const& hosts,
                     unsigned count) -> bool
{
    auto const mine = std::tuple{hash_of(self), self};
    auto const ahead =
        std::ranges::count_if(hosts,
                              [&](host_id const& it) {
                                  return std::tuple{hash_of(it), it} < mine;
                              });
    return ahead < static_cast<std::ptrdiff_t>(count);
}

auto follower::on_tick(time_point now, std::vector<host_id> const& domain_hosts)
    -> follower_steps
{
    auto steps = follower_steps{};
    holder_ = is_watch_holder(self_, domain_hosts, settings_.watch_holders);
    if (reading_since_ && now - *reading_since_ >= settings_.call_timeout)
    {
        on_store_failure(now);
    }
    holder_ ? tick_holder(now, steps) : tick_other(now, steps);
    tick_peers(now, steps);
    return steps;
}

void follower::tick_holder(time_point now, follower_steps& steps)
{
    if (!reading_since_ && now >= next_read_)
    {
        read_store(now, steps);
    }
    // The watch starts after the head that was read, so nothing falls between.
    if (!watching_ && !reading_since_ && failures_ == 0 && head_modified_)
    {
        watching_ = true;
        steps.emplace_back(open_watch_step{
            external::store_revision{head_modified_->value() + 1}});
    }
}

void follower::tick_other(time_point now, follower_steps& steps)
{
    if (watching_)
    {
        watching_ = false;
        steps.emplace_back(close_watch_step{});
    }
    auto const waited = now - started_ >= settings_.peer_patience;
    if (!document_ && waited && !reading_since_ && now >= next_read_)
    {
        read_store(now, steps);
    }
}

void follower::read_store(time_point now, follower_steps& steps)
{
    reading_since_ = now;
    steps.emplace_back(
        read_head_step{document_ ? head_modified_ : std::nullopt});
}

void follower::tick_peers(time_point now, follower_steps& steps)
{
    if (question_ && now - question_->asked >= settings_.call_timeout)
    {
        on_peer_failure(host_id{question_->peer}, now);
    }
    if (question_ || !rumour_ || rumour_->number <= number())
    {
        return;
    }
    question_ = question{rumour_->peer, now};
    auto request = peer_request{number(), {}};
    for (auto const& [name, content] : encoded_.parts)
    {
        request.parts.push_back(name);
    }
    steps.emplace_back(ask_peer_step{rumour_->peer, std::move(request)});
}

auto follower::on_head(std::string const& head,
                       external::store_revision modified, time_point now)
    -> follower_steps
{
    head_modified_ = modified;
    on_head_unchanged(now);
    return consider(head, now);
}

void follower::on_head_absent(external::store_revision at, time_point now)
{
    store_empty_ = true;
    head_modified_ = at;
    on_head_unchanged(now);
}

void follower::on_head_unchanged(time_point now)
{
    failures_ = 0;
    reading_since_.reset();
    next_read_ = now + settings_.refresh;
}

auto follower::missing(head_summary const& it) const -> std::vector<part_name>
{
    auto names = std::vector<part_name>{};
    std::ranges::copy_if(it.parts, std::back_inserter(names),
                         [&](part_name const& name)
                         { return !encoded_.parts.contains(name); });
    return names;
}

auto follower::consider(std::string const& head, time_point now)
    -> follower_steps
{
    try
    {
        auto const summary = read_head(head);
        if (summary.number <= number())
        {
            counters_.older_ignored += summary.number < number() ? 1 : 0;
            return {};
        }
        auto names = missing(summary);
        if (names.empty())
        {
            return adopt(head, {}, &follower_counters::adopted_from_store);
        }
        pending_head_ = head;
        reading_since_ = now;
        return {read_parts_step{std::move(names)}};
    }
    catch (stored_form_error const&)
    {
        ++counters_.unreadable;
        return {};
    }
}

auto follower::on_parts(std::map<part_name, std::string> const& parts,
                        time_point now) -> follower_steps
{
    reading_since_.reset();
    auto steps = adopt(std::exchange(pending_head_, {}), parts,
                       &follower_counters::adopted_from_store);
    if (steps.empty())
    {
        // A part is gone, so the head has moved on: read it again.
        on_store_failure(now);
    }
    return steps;
}

void follower::on_store_failure(time_point now)
{
    reading_since_.reset();
    head_modified_.reset();
    next_read_ =
        now + external::full_jitter(settings_.backoff, failures_, random_);
    ++failures_;
}

auto follower::on_watch_value(std::string const& head,
                              external::store_revision modified, time_point now)
    -> follower_steps
{
    head_modified_ = modified;
    return consider(head, now);
}

void follower::on_watch_end(time_point now)
{
    if (!std::exchange(watching_, false))
    {
        return;
    }
    on_store_failure(now);
}

auto follower::on_peer_revision(host_id const& peer, revision number,
                                time_point now) -> follower_steps
{
    if (number > this->number() && (!rumour_ || number > rumour_->number))
    {
        rumour_ = rumour{peer, number};
    }
    auto steps = follower_steps{};
    tick_peers(now, steps);
    return steps;
}

auto follower::on_peer_answer(peer_answer const& it, time_point now)
    -> follower_steps
{
    question_.reset();
    auto steps =
        adopt(it.head, it.parts, &follower_counters::adopted_from_peers);
    if (rumour_ && rumour_->number > number())
    {
        rumour_.reset();
    }
    tick_peers(now, steps);
    return steps;
}

void follower::on_peer_failure(host_id const& peer, time_point)
{
    question_.reset();
    if (rumour_ && rumour_->peer == peer)
    {
        // Gossip will name another that has it.
        rumour_.reset();
    }
}

auto follower::adopt(std::string const& head,
                     std::map<part_name, std::string> const& more,
                     std::uint64_t follower_counters::*counter)
    -> follower_steps
{
    try
    {
        auto const summary = read_head(head);
        if (summary.number <= number())
        {
            counters_.older_ignored += summary.number < number() ? 1 : 0;
            return {};
        }
        auto next = encoded_document{summary.number, head, {}};
        for (auto const& name : summary.parts)
        {
            auto const found = more.find(name);
            auto const& from = found == more.end() ? encoded_.parts : more;
            next.parts.emplace(name, from.at(name));
        }
        document_ = std::make_shared<document const>(decode(head, next.parts));
        encoded_ = std::move(next);
        ++(counters_.*counter);
        return {adopted_step{number()}};
    }
    catch (std::exception const&)
    {
        ++counters_.unreadable;
        return {};
    }
}

auto follower::answer(peer_request const& request) const
    -> std::optional<peer_answer>
{
    if (!document_ || number() <= request.have)
    {
        return std::nullopt;
    }
    auto result = peer_answer{encoded_.head, encoded_.parts};
    for (auto const& name : request.parts)
    {
        result.parts.erase(name);
    }
    return result;
}

auto follower::not_ready() const -> std::optional<std::string>
{
    if (document_)
    {
        return std::nullopt;
    }
    if (store_empty_)
    {
        return "no configuration has been accepted yet";
    }
    if (failures_ > 0)
    {
        return "no revision yet: the key-value service does not answer (" +
               std::to_string(failures_) + " tries) and no peer has given one";
    }
    return "no revision yet: waiting for the key-value service or a peer";
}

} // namespace primrosedeal::configuration
