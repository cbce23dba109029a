#include "serve/claim_store.hpp"

#include "core/overloaded.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace primrosedeal::serve
{

namespace
{

using external::answer;
using external::call_purpose;
using external::store_revision;
using external::transaction_result;
using external::unchanged_since;

/// Writes `value` only if `key` is as of `seen`; otherwise reads it.
auto guarded_put(std::string const& key, std::string value, store_revision seen)
    -> external::transaction
{
    auto it = external::transaction{};
    it.conditions = {unchanged_since{key, seen}};
    it.then = {external::put{key, std::move(value), {}}};
    it.read_otherwise = {key};
    return it;
}

} // namespace

auto claim_key(order::idempotency_key const& it) -> std::string
{
    return "primrosedeal/claim/" +
           absl::WebSafeBase64Escape(it.organisation.value()) + "/" +
           absl::WebSafeBase64Escape(it.text);
}

auto write_claim_record(order::claim_record const& it) -> std::string
{
    return nlohmann::json{{"host", it.owner.host.value()},
                          {"incarnation", it.owner.start.value()},
                          {"nonce", it.nonce.value()},
                          {"abandoned", it.abandoned}}
        .dump();
}

auto read_claim_record(std::string const& text) -> order::claim_record
{
    try
    {
        auto const from = nlohmann::json::parse(text);
        auto it = order::claim_record{};
        it.owner.host = host_id{from.at("host").get<std::string>()};
        it.owner.start =
            incarnation{from.at("incarnation").get<std::uint64_t>()};
        it.nonce = order::claim_nonce{from.at("nonce").get<std::uint64_t>()};
        it.abandoned = from.at("abandoned").get<bool>();
        return it;
    }
    catch (nlohmann::json::exception const&)
    {
        return {};
    }
}

void claim_store::carry_out(order::action const& it)
{
    auto const act = overloaded{
        [this](order::write_claim const& a) { write(a); },
        [this](order::read_claim const& a) { read(a); },
        [this](order::mark_abandoned const& a) { abandon(a); },
        [](auto const&) {},
    };
    std::visit(act, it);
}

void claim_store::write(order::write_claim const& it)
{
    auto const request = guarded_put(
        claim_key(it.key), write_claim_record(it.record), store_revision{0});
    store_.commit(
        call_purpose::claim, request,
        [this, it](answer<transaction_result> const& got)
        {
            auto const* const result = std::get_if<transaction_result>(&got);
            auto const gone = result != nullptr && !result->succeeded &&
                              result->values.empty();
            if (result == nullptr || gone)
            {
                on_answer_(order::claim_write_failed{it.key, it.record.nonce});
                return;
            }
            auto const found =
                result->succeeded
                    ? it.record
                    : read_claim_record(result->values.front().value);
            on_answer_(
                order::claim_write_completed{it.key, it.record.nonce, found});
        });
}

void claim_store::read(order::read_claim const& it)
{
    auto request = external::range_request{};
    request.key = claim_key(it.key);
    store_.range(
        call_purpose::claim, request,
        [this, it](answer<external::range_result> const& got)
        {
            auto const* const result =
                std::get_if<external::range_result>(&got);
            if (result == nullptr)
            {
                on_answer_(order::claim_read_failed{it.key, it.nonce});
                return;
            }
            auto found = std::optional<order::claim_record>{};
            if (!result->values.empty())
            {
                found = read_claim_record(result->values.front().value);
            }
            on_answer_(order::claim_read_completed{it.key, it.nonce, found});
        });
}

/// Creates the abandoned record, or replaces the own one that stands there.
void claim_store::abandon(order::mark_abandoned const& it)
{
    auto const request = guarded_put(
        claim_key(it.key), write_claim_record(it.record), store_revision{0});
    store_.commit(
        call_purpose::claim, request,
        [this, it](answer<transaction_result> const& got)
        {
            auto const* const result = std::get_if<transaction_result>(&got);
            if (result == nullptr)
            {
                on_answer_(order::abandon_failed{it.key, it.record.nonce});
                return;
            }
            auto const own = [&]
            {
                auto const found =
                    read_claim_record(result->values.front().value);
                return found.owner == it.record.owner &&
                       found.nonce == it.record.nonce && !found.abandoned;
            };
            if (!result->succeeded && !result->values.empty() && own())
            {
                swap_abandoned(it, result->values.front().modified);
                return;
            }
            on_answer_(order::abandon_completed{it.key, it.record.nonce});
        });
}

void claim_store::swap_abandoned(order::mark_abandoned const& it,
                                 store_revision seen)
{
    auto const request =
        guarded_put(claim_key(it.key), write_claim_record(it.record), seen);
    store_.commit(
        call_purpose::claim, request,
        [this, it](answer<transaction_result> const& got)
        {
            auto const done = std::holds_alternative<transaction_result>(got);
            done ? on_answer_(order::abandon_completed{it.key, it.record.nonce})
                 : on_answer_(order::abandon_failed{it.key, it.record.nonce});
        });
}

} // namespace primrosedeal::serve
