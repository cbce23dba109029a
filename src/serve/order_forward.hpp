#pragma once

#include "order/order_messages.hpp"

#include <optional>
#include <string>
#include <string_view>

/// The JSON form in which one entry host hands an order over to the one that
/// its ticket names, and the answer back.
namespace primrosedeal::serve
{

struct handed_order
{
    order::process_id owner;
    order::idempotency_key key;
    order::target_call call;
    /// Time left for the caller.
    duration remaining{0};
    bool repeat = false;
};

auto write_handed_order(handed_order const& it) -> std::string;
auto read_handed_order(std::string_view text) -> std::optional<handed_order>;
auto write_reply(order::reply const& it) -> std::string;
auto read_reply(std::string_view text) -> std::optional<order::reply>;

} // namespace primrosedeal::serve
