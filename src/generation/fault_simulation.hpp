#pragma once

#include "core/random.hpp"
#include "generation/state_machine.hpp"

#include <map>
#include <string>
#include <vector>

/// Fault simulation for tests of `state_machine`, in virtual time: targets
/// refuse, crash, stop responding and resume late; chunks are lost, repeated
/// and reordered. Each attempt samples its tokens with a different salt, so
/// that mixed outputs and missing or repeated tokens are always detected.
namespace primrosedeal::generation
{

/// Token that an attempt with `salt` generates after `before`: a hash of both.
inline auto sample_token(std::vector<token_id> const& before,
                         std::uint64_t salt) -> token_id
{
    constexpr auto vocabulary = std::uint64_t{50'000};
    auto hash = mix64(salt);
    for (auto const& it : before)
    {
        hash = mix64(hash ^ it.value());
    }
    return token_id{static_cast<std::uint32_t>(hash % vocabulary)};
}

/// Probability of each fault, in percent.
struct fault_rates
{
    std::uint64_t refuse = 10;
    std::uint64_t crash = 3;
    std::uint64_t stall = 3;
    std::uint64_t repeat_chunk = 5;
    std::uint64_t delay_chunk = 5;
    std::uint64_t skip_chunk = 1;
    std::uint64_t probe_answers = 50;
    std::uint64_t no_target = 5;
};

struct simulation_result
{
    std::vector<token_id> relayed;
    /// Salt of each attempt.
    std::vector<std::uint64_t> salts;
    std::vector<action::finish> finishes;
    std::vector<action::resumed> resumed;
    std::uint32_t attempts = 0;
    std::uint32_t dropped = 0;
    bool relayed_out_of_order = false;
    bool acted_after_finish = false;
};

class fault_simulation
{
public:
    fault_simulation(std::uint64_t seed, fault_rates rates)
        : random_(seed), rates_(rates)
    {
    }

    auto run(spec const& what, resume_policy const& policy) -> simulation_result
    {
        constexpr auto max_steps = 20'000;
        auto subject = state_machine{what, policy};
        max_tokens_ = what.max_tokens.value();
        result_.relayed = what.prior_tokens;
        perform(subject.start(now_));
        for (auto i = 0; i < max_steps && !subject.ended(); ++i)
        {
            step(subject);
        }
        // Events after the end must have no effect.
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
        std::vector<token_id> generated;
        std::uint64_t salt;
    };

    auto chance(std::uint64_t percent) -> bool
    {
        return random_.below(100) < percent;
    }

    void schedule(duration delay, any_event it)
    {
        events_.emplace(now_ + delay, std::move(it));
    }

    void step(state_machine& subject)
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
            schedule(1ms, event::no_target{reason::overloaded, 1s});
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
                schedule(1ms, event::target_chosen{id, model_version{"1"}});
                return;
            }
        }
        schedule(1ms, event::no_target{reason::no_target, 1s});
    }

    void act(action::start_attempt const& it)
    {
        ++result_.attempts;
        if (chance(rates_.refuse))
        {
            schedule(1ms, event::attempt_lost{
                              it.attempt,
                              {retry_reason::connection_refused, true, false}});
            return;
        }
        generate(it);
    }

    /// Schedules all events of one attempt. Cancelling does not stop them, so
    /// every cancelled attempt also delivers late chunks.
    void generate(action::start_attempt const& it)
    {
        auto generated = it.prefix;
        auto const salt = random_();
        result_.salts.push_back(salt);
        auto at = duration{50ms};
        while (generated.size() < max_tokens_)
        {
            if (chance(rates_.crash))
            {
                schedule(at,
                         event::attempt_lost{
                             it.attempt,
                             {retry_reason::connection_reset, false, false}});
                return;
            }
            if (chance(rates_.stall))
            {
                at += duration{(500 + random_.below(6000)) * 1000};
            }
            emit_chunk(it.attempt, generated, salt, at);
            at += duration{20ms};
        }
        schedule(at, event::attempt_finished{it.attempt, generated.size(),
                                             "length"});
    }

    void emit_chunk(attempt_id attempt, std::vector<token_id>& generated,
                    std::uint64_t salt, duration at)
    {
        auto it = event::chunk{};
        it.attempt = attempt;
        it.offset = generated.size();
        auto const n = std::min<std::uint64_t>(1 + random_.below(3),
                                               max_tokens_ - generated.size());
        for (auto i = std::uint64_t{0}; i < n; ++i)
        {
            it.tokens.push_back(sample_token(generated, salt));
            it.bytes.emplace_back("x");
            generated.push_back(it.tokens.back());
        }
        if (chance(rates_.skip_chunk))
        {
            return;
        }
        if (chance(rates_.repeat_chunk))
        {
            schedule(at + 1ms, it);
        }
        schedule(at + (chance(rates_.delay_chunk) ? duration{30ms} : 0ms), it);
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
            schedule(5ms, event::probe_result{it.target, true});
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
    simulation_result result_;
};

} // namespace primrosedeal::generation
