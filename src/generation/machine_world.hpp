#pragma once

#include "core/random.hpp"
#include "generation/machine.hpp"

#include <map>
#include <string>
#include <vector>

/// A hostile world around one machine, in virtual time, for its tests:
/// targets that refuse, die, fall silent, wake late, and streams that repeat
/// and cross. Each target samples in its own way, so that a splice of two
/// unrelated outputs, a missing or a repeated token never goes unseen.
namespace primrosedeal::generation
{

/// Token that target `salt` generates after `before`: a hash of all of it.
inline auto sample(std::vector<token_id> const& before, std::uint64_t salt)
    -> token_id
{
    constexpr auto vocabulary = std::uint64_t{50'000};
    auto hash = mix64(salt);
    for (auto const& it : before)
    {
        hash = mix64(hash ^ it.value());
    }
    return token_id{static_cast<std::uint32_t>(hash % vocabulary)};
}

/// How likely each fault is, in percent.
struct fault_rates
{
    std::uint64_t refuse = 10;
    std::uint64_t die = 3;
    std::uint64_t fall_silent = 3;
    std::uint64_t repeat_chunk = 5;
    std::uint64_t deliver_late = 5;
    std::uint64_t skip_chunk = 1;
    std::uint64_t probe_answers = 50;
    std::uint64_t no_target = 5;
};

struct world_result
{
    std::vector<token_id> relayed;
    /// What each attempt sampled with.
    std::vector<std::uint64_t> salts;
    std::vector<action::finish> finishes;
    std::vector<action::resumed> resumed;
    std::uint32_t attempts = 0;
    std::uint32_t dropped = 0;
    bool relayed_out_of_order = false;
    bool acted_after_finish = false;
};

class world
{
public:
    world(std::uint64_t seed, fault_rates rates) : random_(seed), rates_(rates)
    {
    }

    auto run(spec const& what, resume_policy const& policy) -> world_result
    {
        constexpr auto max_steps = 20'000;
        auto subject = machine{what, policy};
        max_tokens_ = what.max_tokens.value();
        result_.relayed = what.already;
        perform(subject.start(now_));
        for (auto i = 0; i < max_steps && !subject.ended(); ++i)
        {
            step(subject);
        }
        // What arrives after the end must change nothing.
        while (!events_.empty())
        {
            step(subject);
        }
        return result_;
    }

private:
    struct running
    {
        target_id target;
        std::vector<token_id> text;
        std::uint64_t salt;
    };

    auto chance(std::uint64_t percent) -> bool
    {
        return random_.below(100) < percent;
    }

    void later(duration delay, any_event it)
    {
        events_.emplace(now_ + delay, std::move(it));
    }

    void step(machine& subject)
    {
        auto const wake = subject.wake_at();
        auto const first = events_.begin();
        auto const timer_first =
            wake && (first == events_.end() || *wake <= first->first);
        if (timer_first)
        {
            now_ = std::max(now_, *wake);
            perform(subject.on_event(event::timer{}, now_));
            return;
        }
        if (first == events_.end())
        {
            return;
        }
        now_ = first->first;
        auto const it = first->second;
        events_.erase(first);
        perform(subject.on_event(it, now_));
    }

    void perform(std::vector<any_action> const& actions)
    {
        for (auto const& it : actions)
        {
            result_.acted_after_finish |= !result_.finishes.empty();
            std::visit([this](auto const& a) { act(a); }, it);
        }
    }

    void act(action::choose_target const& it)
    {
        if (chance(rates_.no_target))
        {
            later(1ms, event::no_target{reason::overloaded, 1s});
            return;
        }
        constexpr auto targets = 6;
        for (auto i = 0; i < targets * 4; ++i)
        {
            auto const name = "t" + std::to_string(random_.below(targets));
            auto const id = target_id{name};
            if (std::find(it.exclude.begin(), it.exclude.end(), id) ==
                it.exclude.end())
            {
                later(1ms, event::target_chosen{id, model_version{"1"}});
                return;
            }
        }
        later(1ms, event::no_target{reason::no_target, 1s});
    }

    void act(action::start_attempt const& it)
    {
        ++result_.attempts;
        if (chance(rates_.refuse))
        {
            later(1ms, event::attempt_lost{
                           it.attempt,
                           {retry_reason::connection_refused, true, false}});
            return;
        }
        generate(it);
    }

    /// Plans all events of one attempt; cancelling does not stop them, so
    /// every cancelled attempt also brings late chunks.
    void generate(action::start_attempt const& it)
    {
        auto text = it.prefix;
        auto const salt = random_();
        result_.salts.push_back(salt);
        auto at = duration{50ms};
        while (text.size() < max_tokens_)
        {
            if (chance(rates_.die))
            {
                later(at, event::attempt_lost{
                              it.attempt,
                              {retry_reason::connection_reset, false, false}});
                return;
            }
            if (chance(rates_.fall_silent))
            {
                at += duration{(500 + random_.below(6000)) * 1000};
            }
            emit_chunk(it.attempt, text, salt, at);
            at += duration{20ms};
        }
        later(at, event::attempt_finished{it.attempt, text.size(), "length"});
    }

    void emit_chunk(attempt_id attempt, std::vector<token_id>& text,
                    std::uint64_t salt, duration at)
    {
        auto it = event::chunk{};
        it.attempt = attempt;
        it.offset = text.size();
        auto const n = std::min<std::uint64_t>(1 + random_.below(3),
                                               max_tokens_ - text.size());
        for (auto i = std::uint64_t{0}; i < n; ++i)
        {
            it.tokens.push_back(sample(text, salt));
            it.bytes.emplace_back("x");
            text.push_back(it.tokens.back());
        }
        if (chance(rates_.skip_chunk))
        {
            return;
        }
        if (chance(rates_.repeat_chunk))
        {
            later(at + 1ms, it);
        }
        later(at + (chance(rates_.deliver_late) ? duration{30ms} : 0ms), it);
    }

    void act(action::relay const& it)
    {
        result_.relayed_out_of_order |= it.offset != result_.relayed.size();
        result_.relayed.insert(result_.relayed.end(), it.tokens.begin(),
                               it.tokens.end());
    }

    void act(action::probe const& it)
    {
        if (chance(rates_.probe_answers))
        {
            later(5ms, event::probe_result{it.target, true});
        }
    }

    void act(action::finish const& it)
    {
        result_.finishes.push_back(it);
    }

    void act(action::resumed const& it)
    {
        result_.resumed.push_back(it);
    }

    void act(action::chunk_dropped const& /*it*/)
    {
        ++result_.dropped;
    }

    void act(action::cancel_attempt const& /*it*/) {}

    void act(action::target_evidence const& /*it*/) {}

    random_source random_;
    fault_rates rates_;
    time_point now_{};
    std::uint64_t max_tokens_ = 0;
    std::multimap<time_point, any_event> events_;
    world_result result_;
};

} // namespace primrosedeal::generation
