#pragma once

#include "core/ids.hpp"
#include "core/units.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

/// Expected output of a request, in tokens.
///
/// Load pattern: requests look alike, but a few produce ten times the output of
/// the others. Clients send a hint, accurate at the median and often far off.
/// What answers of the same route and organisation turned out to be, relative
/// to their hints and to their stated maximum, tells which of the two predicts
/// better there. So a client whose hints are wrong changes nothing for others.
///
/// Memory: `max_keys` routes and organisations, those used least recently are
/// forgotten first.
namespace primrosedeal::expected_cost
{

constexpr auto max_keys = std::size_t{256};

/// Whose requests are alike.
struct cost_key
{
    std::string route;
    organisation_id organisation;

    friend auto operator<(cost_key const& a, cost_key const& b) -> bool
    {
        return std::tie(a.route, a.organisation) <
               std::tie(b.route, b.organisation);
    }
};

/// What a client states of its answer. Zero: it states no maximum.
struct stated_output
{
    token_count maximum;
    std::optional<token_count> hint;
};

/// Decaying histogram of the logarithm of a ratio.
class ratio_histogram
{
public:
    void observe(double ratio);

    /// The ratio below which the fraction `q` of the observations is.
    [[nodiscard]] auto quantile(double q) const -> double;
    [[nodiscard]] auto mean() const -> double;
    /// Number of observations; recent ones count most.
    [[nodiscard]] auto weight() const -> double
    {
        return weight_;
    }

private:
    /// Half an octave each, from 1/16 to 16.
    static constexpr auto buckets = std::size_t{17};

    std::array<double, buckets> counts_{};
    double weight_ = 0;
};

class cost_model
{
public:
    /// Mean of the expected output.
    [[nodiscard]] auto expected(cost_key const& key,
                                stated_output const& it) const -> double;
    [[nodiscard]] auto quantile(cost_key const& key, stated_output const& it,
                                double q) const -> double;

    /// An answer was complete with `events` events.
    void observe(cost_key const& key, stated_output const& it,
                 std::uint64_t events);

    /// Tokens that one event holds, by the answers of this service.
    [[nodiscard]] auto tokens_per_event() const -> double;

    /// Mean output of recent answers.
    [[nodiscard]] auto usual_output() const -> double;

    [[nodiscard]] auto size() const -> std::size_t
    {
        return keys_.size();
    }

private:
    struct key_state
    {
        ratio_histogram to_hint;
        ratio_histogram to_maximum;
        /// Mean error of the logarithm of either prediction.
        double hint_error = 0;
        double maximum_error = 0;
        std::list<cost_key>::iterator use;
    };

    struct prediction
    {
        double base = 0;
        ratio_histogram const* ratio = nullptr;
        double most = 0;
    };

    [[nodiscard]] auto predict(cost_key const& key,
                               stated_output const& it) const -> prediction;
    auto state_of(cost_key const& key) -> key_state&;

    std::map<cost_key, key_state> keys_;
    /// The key used last is the first one.
    std::list<cost_key> uses_;
    /// Over all keys, for those with few observations.
    ratio_histogram to_maximum_;
    /// Stated maximum to events.
    ratio_histogram maximum_per_event_;
    double usual_output_ = 0;
};

} // namespace primrosedeal::expected_cost
