#pragma once

#include "order/order_key.hpp"

#include <cstdint>
#include <vector>

/// Remembers every key that it was ever given, in fixed memory (a Bloom
/// filter). `may_contain` is never wrongly false; the share of wrong `true`
/// grows with the keys, about 2% at a tenth of the bits.
namespace primrosedeal::order
{

class key_filter
{
public:
    explicit key_filter(std::size_t bits = std::size_t{1} << 23U);

    void add(call_key const& key);

    [[nodiscard]] auto may_contain(call_key const& key) const -> bool;

private:
    template <class Visit>
    void each_bit(call_key const& key, Visit const& visit) const;

    std::vector<bool> bits_;
};

} // namespace primrosedeal::order
