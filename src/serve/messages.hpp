#pragma once

#include "configuration/document.hpp"
#include "core/ids.hpp"
#include "net/http_message.hpp"
#include "order/order_messages.hpp"
#include "routing/candidate.hpp"
#include "routing/load_view.hpp"
#include "target/table.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Messages between the two tasks of an entry host: the data plane, which
/// serves callers, and the control plane, which talks to the platform and to
/// other hosts. Neither waits for the other.
namespace primrosedeal::serve
{

/// A target as the data plane needs it.
struct target_entry
{
    routing::candidate what;
    service_id service;
    incarnation start;
    net::endpoint at;
};

/// All targets that may take work, replaced as a whole at each change.
struct target_view
{
    std::vector<target_entry> targets;
};

/// The configuration in force with what is derived from it.
struct configuration_view
{
    configuration::document document;
    configuration::key_index keys;
};

/// An entry host that orders can be forwarded to.
struct peer_entry
{
    host_id host;
    net::endpoint callers_at;
};

// ---- to the data plane --------------------------------------------------

struct targets_changed
{
    std::shared_ptr<target_view const> view;
};

struct configuration_changed
{
    std::shared_ptr<configuration_view const> view;
};

struct load_reported
{
    target_id target;
    routing::load_report report;
};

/// The answer to `claim_wanted`, as the order coordinator expects it.
struct claim_answer
{
    order::event event;
};

struct usage_heard
{
    host_id host;
    std::string digest;
};

struct peers_changed
{
    std::vector<peer_entry> peers;
};

/// Readiness has dropped; finish what is in flight.
struct drain
{
};

using to_data =
    std::variant<targets_changed, configuration_changed, load_reported,
                 claim_answer, usage_heard, peers_changed, drain>;

// ---- to the control plane -----------------------------------------------

struct target_seen
{
    target::event event;
};

/// One of write_claim, read_claim, mark_abandoned.
struct claim_wanted
{
    order::action action;
};

/// What this host's organisations use, for gossip.
struct usage_digest
{
    std::string digest;
};

/// All requests are answered after `drain`.
struct drained
{
};

using to_control =
    std::variant<target_seen, claim_wanted, usage_digest, drained>;

} // namespace primrosedeal::serve
