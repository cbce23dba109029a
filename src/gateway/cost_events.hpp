#pragma once

#include "gateway/host_state.hpp"

/// Updates what the host knows of the costs of its services.
namespace primrosedeal::gateway
{

/// A request with a prompt has arrived for `service`.
void on_prompt(host_state& host, routes::service const& service,
               dispatch::work_size const& size, time_point now);

/// The digest of `from` that was applied last changed prefill loads.
void on_prefill_changes(host_state& host, host_id const& from, time_point now);

/// Prefill tokens outstanding at `id`.
auto pending_at(host_state const& host, target_id const& id)
    -> expected_cost::pending_tokens;

} // namespace primrosedeal::gateway
