#pragma once

#include "core/strong.hpp"

#include <cstdint>
#include <string>

/// Identifiers used across slices. Names follow docs/GLOSSARY.md.
namespace primrosedeal
{

/// An entry host of this system, by its settings.
using host_id = strong<struct host_id_tag, std::string>;

/// One start of a process; a later start of the same host is larger.
using incarnation = strong<struct incarnation_tag, std::uint64_t>;

/// A failure domain, for example `luzon-a`.
using domain_id = strong<struct domain_id_tag, std::string>;

/// A back end: a model replica or a replica of a plain service.
using target_id = strong<struct target_id_tag, std::string>;

/// A named service that targets belong to, for example `fitting`.
using service_id = strong<struct service_id_tag, std::string>;

/// A customer of the operators.
using organisation_id = strong<struct organisation_id_tag, std::string>;

using model_id = strong<struct model_id_tag, std::string>;
using model_version = strong<struct model_version_tag, std::string>;
using adapter_id = strong<struct adapter_id_tag, std::string>;

/// One request of a caller, unique over all hosts.
using request_id = strong<struct request_id_tag, std::string>;

/// One try of a request at one target; counts up from 1 within a request.
using attempt_id = strong<struct attempt_id_tag, std::uint32_t>;

/// Revision of the accepted configuration; it only grows.
using revision = strong<struct revision_tag, std::uint64_t>;

/// A token of a model's vocabulary.
using token_id = strong<struct token_id_tag, std::uint32_t>;

} // namespace primrosedeal
