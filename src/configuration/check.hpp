#pragma once

#include "configuration/document.hpp"

#include <string>
#include <variant>
#include <vector>

/// Whether a document makes sense as a whole. The bounds of each value alone
/// are the readers' duty (field.hpp); the size is stored_form.hpp's.
namespace primrosedeal::configuration
{

/// The part of a document that a finding is about; numbers are positions in
/// the document's vectors.
enum class section
{
    defaults,
    services,
    models,
    organisations,
    exceptions,
};

struct finding
{
    section where = section::defaults;
    std::size_t index = 0;
    /// The key in question, for example `scope`.
    std::string key;
    /// What was expected.
    std::string text;
};

/// Everything wrong with `it`, in the document's order; empty: acceptable.
auto check(document const& it) -> std::vector<finding>;

} // namespace primrosedeal::configuration
