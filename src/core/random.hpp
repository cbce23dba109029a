#pragma once

#include <cstdint>

/// Seeded random generator, passed by reference to the functions that make
/// decisions, so that runs with the same seed make the same decisions.
namespace primrosedeal
{

/// Finalizer of splitmix64, a bijective mix of 64 bits.
constexpr auto mix64(std::uint64_t x) -> std::uint64_t
{
    x += 0x9e3779b97f4a7c15U;
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
    return x ^ (x >> 31U);
}

/// Splitmix64. Satisfies UniformRandomBitGenerator. Not cryptographically
/// secure.
class random_source
{
public:
    using result_type = std::uint64_t;

    explicit constexpr random_source(std::uint64_t seed) : state_(seed) {}

    static constexpr auto min() -> result_type
    {
        return 0;
    }

    static constexpr auto max() -> result_type
    {
        return ~result_type{0};
    }

    constexpr auto operator()() -> result_type
    {
        auto const value = mix64(state_);
        state_ += 0x9e3779b97f4a7c15U;
        return value;
    }

    /// Uniform in [0, bound); 0 when `bound` is 0. The modulo bias is below
    /// 2^-32 for every bound used here.
    constexpr auto below(std::uint64_t bound) -> std::uint64_t
    {
        return bound == 0 ? 0 : (*this)() % bound;
    }

    /// Uniform in [0, 1).
    constexpr auto unit() -> double
    {
        constexpr auto scale = 1.0 / 9007199254740992.0;
        return static_cast<double>((*this)() >> 11U) * scale;
    }

private:
    std::uint64_t state_;
};

} // namespace primrosedeal
