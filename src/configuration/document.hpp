#pragma once

#include "configuration/field.hpp"
#include "core/ids.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The operators' whole configuration as one value: defaults, exceptions,
/// services, models and organisations, with its revision and last changes.
///
/// A document is only ever replaced as a whole; hosts share it as
/// `std::shared_ptr<document const>`. `check` in check.hpp tells whether one
/// may be accepted; the functions here expect one that may.
namespace primrosedeal::configuration
{

/// Names one edit for ever, chosen at random by the operator's command.
using change_id = strong<struct change_id_tag, std::string>;

/// SHA-256 of a bearer key.
using key_hash = std::array<std::uint8_t, 32>;

/// 64 hexadecimal digits; nothing if `text` is not that.
auto parse_key_hash(std::string_view text) -> std::optional<key_hash>;
auto format_key_hash(key_hash const& it) -> std::string;
/// SHA-256 of a bearer key as a caller sends it.
auto hash_key(std::string_view bearer_key) -> key_hash;

enum class service_kind
{
    /// Model engines that generate.
    engine,
    /// Plain services: look-ups and orders.
    plain,
};

struct service
{
    service_id name;
    service_kind kind = service_kind::plain;
    /// Whether its targets refuse an order with an old fencing number.
    bool checks_fencing = false;
    /// Paths of a plain service whose calls may not be repeated; one that
    /// ends in `*` stands for all that begin so.
    std::vector<std::string> order_paths;

    friend auto operator==(service const&, service const&) -> bool = default;
};

/// Whether calls to `path` (without its query) may not be repeated.
auto is_order_path(service const& it, std::string_view path) -> bool;

/// What engines of a service are to have loaded.
struct declared_model
{
    model_id name;
    service_id service;
    model_version version;
    std::vector<adapter_id> adapters;
    /// Replicas that must go on serving during changes.
    std::map<domain_id, std::uint32_t> replica_floor;

    friend auto operator==(declared_model const&, declared_model const&)
        -> bool = default;
};

struct organisation
{
    organisation_id name;
    std::vector<key_hash> keys;

    friend auto operator==(organisation const&, organisation const&)
        -> bool = default;
};

/// Where an exception applies; a part left out stands for all.
struct exception_scope
{
    std::optional<organisation_id> organisation;
    std::optional<service_id> service;
    std::optional<domain_id> domain;

    friend auto operator==(exception_scope const&, exception_scope const&)
        -> bool = default;
};

struct exception_entry
{
    exception_scope scope;
    /// Name of a field, as in field.hpp.
    std::string field;
    field_value value;
    std::string reason;
    std::string author;
    /// From this civil time on the exception no longer applies.
    std::optional<wall_time> expires;
    /// States that it narrows a wider exception of the same field.
    bool overrides = false;

    friend auto operator==(exception_entry const&, exception_entry const&)
        -> bool = default;
};

/// A cell (see cells.hpp) that a change wrote, with a hash of what it held
/// before; 0 where it held nothing.
struct changed_cell
{
    std::uint64_t name_hash = 0;
    std::uint64_t before_hash = 0;

    friend auto operator==(changed_cell const&, changed_cell const&)
        -> bool = default;
};

/// An accepted edit.
struct change_record
{
    change_id id;
    revision made;
    std::string author;
    wall_time at;
    /// The changed cells; left out, with `wide` set, where there are many.
    std::vector<changed_cell> cells;
    bool wide = false;

    friend auto operator==(change_record const&, change_record const&)
        -> bool = default;
};

struct document
{
    /// 0: nothing accepted yet.
    revision number;
    std::vector<domain_id> domains;
    policy defaults;
    std::vector<service> services;
    std::vector<declared_model> models;
    std::vector<organisation> organisations;
    std::vector<exception_entry> exceptions;
    /// The last accepted edits, oldest first.
    std::vector<change_record> changes;

    friend auto operator==(document const&, document const&) -> bool = default;
};

/// The service called `name`, or null.
auto find_service(document const& it, service_id const& name) -> service const*;

/// The policy for one piece of work: the defaults, then each exception that
/// applies and has not expired, the narrower after the wider. Costs a walk
/// over the exceptions; no allocation.
auto effective(document const& it, service_id const& service,
               organisation_id const& organisation, domain_id const& domain,
               wall_time now) -> policy;

/// The next time after `now` at which an exception expires: until then a
/// policy from `effective` may be kept.
auto next_expiry(document const& it, wall_time now) -> std::optional<wall_time>;

/// Finds organisations by key; built once per document. Keeps no pointer to
/// the document.
class key_index
{
public:
    key_index() = default;
    explicit key_index(document const& it);

    /// The organisation that a key's hash belongs to. Null: unknown key.
    [[nodiscard]] auto find(key_hash const& it) const -> organisation_id const*;

private:
    struct entry
    {
        key_hash hash;
        std::uint32_t organisation;
    };
    std::vector<organisation_id> organisations_;
    std::vector<entry> entries_;
};

} // namespace primrosedeal::configuration
