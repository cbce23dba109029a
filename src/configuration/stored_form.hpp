#pragma once

#include "configuration/cells.hpp"
#include "external/key_value.hpp"

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

/// A document as the key-value service holds it: one head and the parts that
/// the head names.
///
/// The parts hold the organisations and their keys; each is named by its
/// content's hash and never changes. The head holds all the rest, so one
/// compare-and-swap of the head accepts a whole document. An edit writes
/// only the parts that it changes.
namespace primrosedeal::configuration
{

/// Head and parts are read by releases up to this number's own and later.
constexpr auto stored_format = 1U;

/// Most changes that the head remembers.
constexpr auto max_changes = std::size_t{128};

/// A change of more cells than this is remembered as wide.
constexpr auto max_changed_cells = std::size_t{64};

/// Most parts of a document; one transaction names them all.
constexpr auto max_parts = std::size_t{64};

/// The value is over the key-value service's limit, or there is no reading
/// it. `what()` says which.
class stored_form_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Names a part: 32 hexadecimal digits of its content's hash.
using part_name = strong<struct part_name_tag, std::string>;

struct encoded_document
{
    revision number;
    std::string head;
    std::map<part_name, std::string> parts;
};

/// Throws stored_form_error if a value is over the limit.
auto encode(document const& it) -> encoded_document;

struct head_summary
{
    revision number;
    /// Format of the release that wrote it; a release may not edit a
    /// document of a later format, since it would drop what it can't read.
    unsigned format = 0;
    std::vector<part_name> parts;
};

auto read_head(std::string_view head) -> head_summary;

/// Needs all the parts that the head names; throws stored_form_error.
auto decode(std::string_view head,
            std::map<part_name, std::string> const& parts) -> document;

/// The name of the part with this content.
auto part_name_of(std::string_view content) -> part_name;

/// Where the head lies, and the prefix of the parts' keys.
constexpr auto head_key = "primrosedeal/configuration/head";
constexpr auto part_prefix = "primrosedeal/configuration/part/";
auto part_key(part_name const& it) -> std::string;

} // namespace primrosedeal::configuration
