#pragma once

#include "external/key_value.hpp"
#include "order/order_messages.hpp"

#include <functional>
#include <string>

/// Claims of orders in the key-value service. Claims have no lease: one that
/// lapsed would let its order run a second time.
namespace primrosedeal::serve
{

class claim_store
{
public:
    claim_store(external::key_value_service& store,
                std::function<void(order::event)> on_answer)
        : store_(store), on_answer_(std::move(on_answer))
    {
    }

    /// Takes write_claim, read_claim and mark_abandoned; each is answered by
    /// one event, also on failure.
    void carry_out(order::action const& it);

private:
    void write(order::write_claim const& it);
    void read(order::read_claim const& it);
    void abandon(order::mark_abandoned const& it);
    void swap_abandoned(order::mark_abandoned const& it,
                        external::store_revision seen);

    external::key_value_service& store_;
    std::function<void(order::event)> on_answer_;
};

/// Where the claim of `it` lies. Distinct for distinct keys.
auto claim_key(order::idempotency_key const& it) -> std::string;

auto write_claim_record(order::claim_record const& it) -> std::string;

/// An unreadable record is somebody's claim: it comes back as a claim of
/// nobody, which no process ever dispatches.
auto read_claim_record(std::string const& text) -> order::claim_record;

} // namespace primrosedeal::serve
