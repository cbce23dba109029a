#include "metrics/gateway_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace primrosedeal::metrics
{

namespace
{

auto counters(prometheus::Registry& in, char const* name, char const* help)
    -> prometheus::Family<prometheus::Counter>&
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(in);
}

auto histograms(prometheus::Registry& in, char const* name, char const* help)
    -> prometheus::Family<prometheus::Histogram>&
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(in);
}

/// In seconds, from a plain call's time to a stream's.
auto request_buckets() -> prometheus::Histogram::BucketBoundaries const&
{
    static auto const it = prometheus::Histogram::BucketBoundaries{
        0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
    return it;
}

} // namespace

gateway_metrics::gateway_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(counters(*registry_, "gateway_requests_total",
                         "Requests ended, by kind and outcome.")),
      request_time_(histograms(*registry_, "gateway_request_seconds",
                               "Time from a request's arrival to its end.")),
      refusals_(counters(*registry_, "gateway_refusals_total",
                         "Requests that this host ended itself.")),
      failures_(counters(*registry_, "gateway_attempt_failures_total",
                         "Attempts without a usable answer.")),
      clients_lost_(counters(*registry_, "gateway_clients_lost_total",
                             "Connections that ended before their answer.")),
      dropped_input_(
          counters(*registry_, "gateway_client_input_dropped_total",
                   "Ended connections on which a client still sent.")),
      rejected_(counters(*registry_, "gateway_requests_rejected_total",
                         "Requests that were malformed or too large.")),
      client_memory_(
          counters(*registry_, "gateway_client_memory_total",
                   "Clients paused, rejected, closed or dropped for memory.")),
      replaced_connections_(
          counters(*registry_, "gateway_client_connections_replaced_total",
                   "Stalled clients' connections closed for further ones.")),
      crashes_(counters(*registry_, "gateway_target_crashes_total",
                        "Targets that crashed as they began an answer.")),
      unresolved_runs_(
          counters(*registry_, "gateway_unresolved_runs_total",
                   "Runs that ended unanswered, their targets' fate unknown.")),
      pauses_(histograms(*registry_, "gateway_continuation_seconds",
                         "Pause of a stream that went on elsewhere.")),
      stream_waits_(counters(*registry_, "gateway_stream_waits_total",
                             "Delays of a begun stream's next attempt.")),
      own_link_changes_(counters(*registry_, "gateway_own_link_changes_total",
                                 "Changes of whether the host reaches any "
                                 "target.")),
      path_changes_(counters(*registry_, "gateway_path_changes_total",
                             "Changes of whether a direct path to the targets "
                             "of a service is lost.")),
      target_changes_(counters(*registry_, "gateway_target_changes_total",
                               "Changes of belief about targets.")),
      limit_changes_(counters(*registry_, "gateway_request_limit_changes_total",
                              "Changes of the request limits of targets.")),
      rejection_limit_changes_(
          counters(*registry_, "gateway_rejection_limit_changes_total",
                   "Changes of the rejection limits of targets.")),
      rollout_events_(counters(*registry_, "gateway_rollout_events_total",
                               "Orders, phases and statuses of rollouts.")),
      peer_bytes_(counters(*registry_, "gateway_peer_bytes_total",
                           "Bytes exchanged with other hosts.")),
      store_calls_(counters(*registry_, "gateway_store_calls_total",
                            "Calls to the store, refused ones too.")),
      unreadable_(
          counters(*registry_, "gateway_configuration_unreadable_total",
                   "Configurations that could not be read, or not wholly.")),
      first_event_(histograms(*registry_, "gateway_first_event_seconds",
                              "Time from arrival to the first event.")
                       .Add({}, request_buckets())),
      store_failures_(counters(*registry_, "gateway_store_failures_total",
                               "Calls to the store without an answer.")
                          .Add({})),
      version_(prometheus::BuildGauge()
                   .Name("gateway_configuration_version")
                   .Help("Version in force.")
                   .Register(*registry_)
                   .Add({})),
      newest_version_(prometheus::BuildGauge()
                          .Name("gateway_newest_configuration_version")
                          .Help("Newest version in force at any host.")
                          .Register(*registry_)
                          .Add({})),
      dropped_lines_(prometheus::BuildGauge()
                         .Name("gateway_log_lines_dropped")
                         .Help("Log lines over the bound.")
                         .Register(*registry_)
                         .Add({})),
      cost_ratios_(histograms(*registry_, "gateway_cost_ratio",
                              "Observed cost of requests to the expected.")),
      uneven_targets_(prometheus::BuildGauge()
                          .Name("gateway_uneven_targets")
                          .Help("Targets far from the usual speed.")
                          .Register(*registry_)
                          .Add({}))
{
}

void gateway_metrics::request_ended(std::string_view kind,
                                    std::string_view outcome, duration took)
{
    requests_
        .Add({{"kind", std::string{kind}}, {"outcome", std::string{outcome}}})
        .Increment();
    request_time_.Add({{"kind", std::string{kind}}}, request_buckets())
        .Observe(to_seconds(took));
}

void gateway_metrics::refused(std::string_view reason)
{
    refusals_.Add({{"reason", std::string{reason}}}).Increment();
}

void gateway_metrics::attempt_failed(std::string_view how)
{
    failures_.Add({{"how", std::string{how}}}).Increment();
}

void gateway_metrics::client_lost(std::string_view how)
{
    clients_lost_.Add({{"how", std::string{how}}}).Increment();
}

void gateway_metrics::client_input_dropped(std::string_view why)
{
    dropped_input_.Add({{"why", std::string{why}}}).Increment();
}

void gateway_metrics::request_rejected(std::string_view status)
{
    rejected_.Add({{"status", std::string{status}}}).Increment();
}

void gateway_metrics::client_memory(std::string_view group,
                                    std::string_view what)
{
    client_memory_
        .Add({{"group", std::string{group}}, {"what", std::string{what}}})
        .Increment();
}

void gateway_metrics::connection_replaced()
{
    replaced_connections_.Add({}).Increment();
}

void gateway_metrics::target_crashed(std::string_view cause)
{
    crashes_.Add({{"cause", std::string{cause}}}).Increment();
}

void gateway_metrics::run_unresolved(std::string_view reason)
{
    unresolved_runs_.Add({{"reason", std::string{reason}}}).Increment();
}

void gateway_metrics::stream_continued(bool from_copy, duration pause)
{
    pauses_.Add({{"from", from_copy ? "copy" : "prompt"}}, request_buckets())
        .Observe(to_seconds(pause));
}

void gateway_metrics::stream_waited(std::string_view reason)
{
    stream_waits_.Add({{"reason", std::string{reason}}}).Increment();
}

void gateway_metrics::own_link_changed(std::string_view to)
{
    own_link_changes_.Add({{"to", std::string{to}}}).Increment();
}

void gateway_metrics::path_changed(std::string_view to)
{
    path_changes_.Add({{"to", std::string{to}}}).Increment();
}

void gateway_metrics::first_event(duration since_arrival)
{
    first_event_.Observe(to_seconds(since_arrival));
}

void gateway_metrics::target_changed(std::string_view to)
{
    target_changes_.Add({{"to", std::string{to}}}).Increment();
}

void gateway_metrics::request_limit_changed(std::string_view source)
{
    limit_changes_.Add({{"source", std::string{source}}}).Increment();
}

void gateway_metrics::rejection_limit_changed(std::string_view source)
{
    rejection_limit_changes_.Add({{"source", std::string{source}}}).Increment();
}

void gateway_metrics::rollout_event(std::string_view what)
{
    rollout_events_.Add({{"what", std::string{what}}}).Increment();
}

void gateway_metrics::store_call_failed()
{
    store_failures_.Increment();
}

void gateway_metrics::configuration_version(std::uint64_t it)
{
    version_.Set(static_cast<double>(it));
}

void gateway_metrics::newest_configuration_version(std::uint64_t it)
{
    newest_version_.Set(static_cast<double>(it));
}

void gateway_metrics::configuration_unreadable(std::string_view what)
{
    unreadable_.Add({{"what", std::string{what}}}).Increment();
}

void gateway_metrics::cost_observed(std::string_view what, double ratio)
{
    static auto const buckets = prometheus::Histogram::BucketBoundaries{
        0.125, 0.25, 0.5, 0.75, 1, 1.5, 2, 4, 8};
    cost_ratios_.Add({{"what", std::string{what}}}, buckets).Observe(ratio);
}

void gateway_metrics::uneven_targets(std::size_t count)
{
    uneven_targets_.Set(static_cast<double>(count));
}

void gateway_metrics::log_lines_dropped(std::uint64_t total)
{
    dropped_lines_.Set(static_cast<double>(total));
}

void gateway_metrics::store_calls(std::string_view purpose, std::uint64_t made)
{
    auto& it = store_calls_.Add({{"purpose", std::string{purpose}}});
    it.Increment(static_cast<double>(made) - it.Value());
}

void gateway_metrics::peer_bytes(std::string_view traffic,
                                 std::string_view direction,
                                 std::uint64_t total)
{
    auto& it = peer_bytes_.Add({{"class", std::string{traffic}},
                                {"direction", std::string{direction}}});
    it.Increment(static_cast<double>(total) - it.Value());
}

auto gateway_metrics::text() const -> std::string
{
    return prometheus::TextSerializer{}.Serialize(registry_->Collect());
}

} // namespace primrosedeal::metrics
