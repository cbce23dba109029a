#pragma once

#include "core/strong.hpp"

#include <cstdint>
#include <string>

/// Identifiers used by several components. Names follow docs/GLOSSARY.md.
namespace primrosedeal
{

/// An entry host of this system, as named in its settings.
using host_id = strong<struct host_id_tag, std::string>;

/// One start of a process; later starts of the same host have larger values.
using incarnation = strong<struct incarnation_tag, std::uint64_t>;

/// A failure domain, for example `luzon-a`.
using domain_id = strong<struct domain_id_tag, std::string>;

/// A back end: a model replica or a replica of a plain service.
using target_id = strong<struct target_id_tag, std::string>;

/// A service that is provided by a set of targets, for example `fitting`.
using service_id = strong<struct service_id_tag, std::string>;

/// A customer of the system.
using organisation_id = strong<struct organisation_id_tag, std::string>;

using model_id = strong<struct model_id_tag, std::string>;
using model_version = strong<struct model_version_tag, std::string>;
using adapter_id = strong<struct adapter_id_tag, std::string>;

/// Version of a target's software. Versions have no order, and what two of them
/// write does not fit together.
using software_version = strong<struct software_version_tag, std::string>;

/// A request of a caller, unique over all hosts.
using request_id = strong<struct request_id_tag, std::string>;

/// Number of an attempt of a request at one target, from 1 within a request.
using attempt_id = strong<struct attempt_id_tag, std::uint32_t>;

/// Revision of the accepted configuration; strictly increasing.
using revision = strong<struct revision_tag, std::uint64_t>;

/// A token of a model's vocabulary.
using token_id = strong<struct token_id_tag, std::uint32_t>;

} // namespace primrosedeal
