#pragma once

#include "core/units.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <string_view>

/// What a gateway counts; docs/OPERATIONS.md explains each.
namespace primrosedeal::metrics
{

class gateway_metrics
{
public:
    gateway_metrics();

    void request_ended(std::string_view kind, std::string_view outcome,
                       duration took);
    void refused(std::string_view reason);
    void attempt_failed(std::string_view how);
    void client_lost(std::string_view how);
    /// A client sent on a connection that the host had ended for `why`.
    void client_input_dropped(std::string_view why);
    /// A request that never was whole: malformed or too large.
    void request_rejected(std::string_view status);
    /// The connection of a stalled client was closed for a further one.
    void connection_replaced();
    /// `what` was done with a client of `group` for want of memory.
    void client_memory(std::string_view group, std::string_view what);
    /// A target crashed as it began an answer; `cause` is what it is put down
    /// to.
    void target_crashed(std::string_view cause);
    /// A run ended unanswered and its target may still crash under it.
    void run_unresolved(std::string_view reason);
    void stream_continued(bool from_copy, duration pause);
    /// A begun stream delayed its next attempt.
    void stream_waited(std::string_view reason);
    /// The host was found to reach nobody, or somebody again.
    void own_link_changed(std::string_view to);
    /// `to`: lost or restored.
    void path_changed(std::string_view to);
    void first_event(duration since_arrival);
    void target_changed(std::string_view to);
    /// The request limit of a target changed; `source` observed it.
    void request_limit_changed(std::string_view source);
    /// The same of its rejection limit.
    void rejection_limit_changed(std::string_view source);
    /// `what`: an order arrived, a phase began, or a status was written.
    void rollout_event(std::string_view what);
    void store_call_failed();
    void configuration_version(std::uint64_t it);
    /// The newest version that this host or another one uses.
    void newest_configuration_version(std::uint64_t it);
    /// A version could not be read: `what` is all of it or single members.
    void configuration_unreadable(std::string_view what);
    /// `ratio`: observed to expected; `what` is first_event or output.
    void cost_observed(std::string_view what, double ratio);
    /// Targets that are clearly slower or faster than usual.
    void uneven_targets(std::size_t count);
    void log_lines_dropped(std::uint64_t total);
    /// Bytes exchanged with other hosts since the start.
    /// Calls to the store since the start.
    void store_calls(std::string_view purpose, std::uint64_t made);
    void peer_bytes(std::string_view traffic, std::string_view direction,
                    std::uint64_t total);

    /// Text form for the metrics address.
    [[nodiscard]] auto text() const -> std::string;

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Histogram>& request_time_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& failures_;
    prometheus::Family<prometheus::Counter>& clients_lost_;
    prometheus::Family<prometheus::Counter>& dropped_input_;
    prometheus::Family<prometheus::Counter>& rejected_;
    prometheus::Family<prometheus::Counter>& client_memory_;
    prometheus::Family<prometheus::Counter>& replaced_connections_;
    prometheus::Family<prometheus::Counter>& crashes_;
    prometheus::Family<prometheus::Counter>& unresolved_runs_;
    prometheus::Family<prometheus::Histogram>& pauses_;
    prometheus::Family<prometheus::Counter>& stream_waits_;
    prometheus::Family<prometheus::Counter>& own_link_changes_;
    prometheus::Family<prometheus::Counter>& path_changes_;
    prometheus::Family<prometheus::Counter>& target_changes_;
    prometheus::Family<prometheus::Counter>& limit_changes_;
    prometheus::Family<prometheus::Counter>& rejection_limit_changes_;
    prometheus::Family<prometheus::Counter>& rollout_events_;
    prometheus::Family<prometheus::Counter>& peer_bytes_;
    prometheus::Family<prometheus::Counter>& store_calls_;
    prometheus::Family<prometheus::Counter>& unreadable_;
    prometheus::Histogram& first_event_;
    prometheus::Counter& store_failures_;
    prometheus::Gauge& version_;
    prometheus::Gauge& newest_version_;
    prometheus::Gauge& dropped_lines_;
    prometheus::Family<prometheus::Histogram>& cost_ratios_;
    prometheus::Gauge& uneven_targets_;
};

} // namespace primrosedeal::metrics
