#include "expected_cost/cost_model.hpp"

#include <algorithm>
#include <cmath>

namespace primrosedeal::expected_cost
{

namespace
{

constexpr auto buckets_per_octave = 2.0;
constexpr auto lowest_octave = -4.0;
/// An observation's weight after 64 later ones is 0.28 of its first one.
constexpr auto decay = 0.98;
/// Observations before a key's own histogram is used.
constexpr auto min_weight = 6.0;
constexpr auto error_weight = 1.0 / 16;
/// Before observations: 6 tokens in an event, 140 events.
constexpr auto first_tokens_per_event = 6.0;
constexpr auto first_output = 840.0;
/// Answers that reach their maximum show the tokens in an event; shorter ones
/// have a larger ratio. Few clients state a maximum below what they get.
constexpr auto full_answers = 0.1;
constexpr auto output_weight = 1.0 / 32;

auto bucket_ratio(std::size_t i) -> double
{
    return std::exp2(static_cast<double>(i) / buckets_per_octave +
                     lowest_octave);
}

} // namespace

void ratio_histogram::observe(double ratio)
{
    auto const octave = std::log2(std::max(ratio, 1e-9));
    auto const at = std::lround((octave - lowest_octave) * buckets_per_octave);
    for (auto& it : counts_)
    {
        it *= decay;
    }
    auto const i = std::clamp<long>(at, 0, static_cast<long>(buckets) - 1);
    counts_.at(static_cast<std::size_t>(i)) += 1;
    weight_ = weight_ * decay + 1;
}

auto ratio_histogram::quantile(double q) const -> double
{
    auto left = q * weight_;
    for (auto i = std::size_t{0}; i < buckets; ++i)
    {
        left -= counts_.at(i);
        if (left <= 0 && weight_ > 0)
        {
            return bucket_ratio(i);
        }
    }
    return 1;
}

auto ratio_histogram::mean() const -> double
{
    auto sum = 0.0;
    for (auto i = std::size_t{0}; i < buckets; ++i)
    {
        sum += counts_.at(i) * bucket_ratio(i);
    }
    return weight_ > 0 ? sum / weight_ : 1;
}

auto cost_model::predict(cost_key const& key, stated_output const& it) const
    -> prediction
{
    auto const maximum = static_cast<double>(it.maximum.value());
    auto const found = keys_.find(key);
    auto const* const own = found == keys_.end() ? nullptr : &found->second;
    auto const hint = it.hint ? static_cast<double>(it.hint->value()) : 0.0;
    auto const hint_usable = hint > 0 && (maximum == 0 || hint <= maximum);
    if (hint_usable && own != nullptr && own->to_hint.weight() >= min_weight &&
        own->hint_error < own->maximum_error)
    {
        return {hint, &own->to_hint, maximum > 0 ? maximum : hint * 16};
    }
    if (maximum == 0)
    {
        return {usual_output(), nullptr, usual_output()};
    }
    auto const use_own =
        own != nullptr && own->to_maximum.weight() >= min_weight;
    return {maximum, use_own ? &own->to_maximum : &to_maximum_, maximum};
}

auto cost_model::expected(cost_key const& key, stated_output const& it) const
    -> double
{
    auto const p = predict(key, it);
    auto const ratio = p.ratio == nullptr ? 1.0 : p.ratio->mean();
    return std::clamp(p.base * ratio, 1.0, std::max(1.0, p.most));
}

auto cost_model::quantile(cost_key const& key, stated_output const& it,
                          double q) const -> double
{
    auto const p = predict(key, it);
    auto const ratio = p.ratio == nullptr ? 1.0 : p.ratio->quantile(q);
    return std::clamp(p.base * ratio, 1.0, std::max(1.0, p.most));
}

auto cost_model::state_of(cost_key const& key) -> key_state&
{
    auto const found = keys_.find(key);
    if (found != keys_.end())
    {
        uses_.splice(uses_.begin(), uses_, found->second.use);
        return found->second;
    }
    if (keys_.size() >= max_keys)
    {
        keys_.erase(uses_.back());
        uses_.pop_back();
    }
    uses_.push_front(key);
    auto& out = keys_[key];
    out.use = uses_.begin();
    return out;
}

auto cost_model::usual_output() const -> double
{
    return usual_output_ > 0 ? usual_output_ : first_output;
}

auto cost_model::tokens_per_event() const -> double
{
    return maximum_per_event_.weight() >= min_weight
               ? first_tokens_per_event *
                     maximum_per_event_.quantile(full_answers)
               : first_tokens_per_event;
}

void cost_model::observe(cost_key const& key, stated_output const& it,
                         std::uint64_t events)
{
    auto const maximum = static_cast<double>(it.maximum.value());
    auto const count = static_cast<double>(events);
    if (events == 0)
    {
        return;
    }
    if (maximum > 0)
    {
        maximum_per_event_.observe(maximum / count / first_tokens_per_event);
    }
    auto const output = count * tokens_per_event();
    auto const before = usual_output_ > 0 ? usual_output_ : output;
    usual_output_ =
        before + (std::min(output, 8 * before) - before) * output_weight;
    auto& own = state_of(key);
    auto const update = [&](double base, ratio_histogram& ratio, double& error)
    {
        auto const predicted = base * ratio.quantile(0.5);
        error +=
            (std::abs(std::log(output / predicted)) - error) * error_weight;
        ratio.observe(output / base);
    };
    if (maximum > 0)
    {
        update(maximum, own.to_maximum, own.maximum_error);
        to_maximum_.observe(output / maximum);
    }
    // A hint above the maximum is of no use, and shows how far the others are
    // to be trusted.
    if (it.hint && it.hint->value() > 0)
    {
        update(static_cast<double>(it.hint->value()), own.to_hint,
               own.hint_error);
    }
}

} // namespace primrosedeal::expected_cost
