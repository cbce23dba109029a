#include "metrics/metrics.hpp"

#include <prometheus/text_serializer.h>

#include <array>

// prometheus-cpp's own web server is not used: the operators' port is served
// by libevhtp on the control loop, from `text()`.
namespace primrosedeal::metrics
{

namespace
{

using prometheus::Histogram;

auto latency_buckets() -> Histogram::BucketBoundaries
{
    return {0.01, 0.03, 0.07, 0.15, 0.3, 0.6, 1.0, 1.4, 2.0, 3.0, 5.0, 10.0};
}

auto token_buckets() -> Histogram::BucketBoundaries
{
    return {16, 64, 256, 1024, 4096, 16384, 65536};
}

auto counter_family(prometheus::Registry& registry, char const* name,
                    char const* help)
    -> prometheus::Family<prometheus::Counter>&
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

auto gauge_family(prometheus::Registry& registry, char const* name,
                  char const* help) -> prometheus::Family<prometheus::Gauge>&
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

auto histogram_family(prometheus::Registry& registry, char const* name,
                      char const* help)
    -> prometheus::Family<prometheus::Histogram>&
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(
        registry);
}

auto text_of(std::string_view it) -> std::string
{
    return std::string{it};
}

} // namespace

auto to_string(outcome it) -> std::string
{
    switch (it)
    {
    case outcome::complete:
        return "complete";
    case outcome::incomplete:
        return "incomplete";
    case outcome::refused:
        return "refused";
    case outcome::caller_gone:
        return "caller_gone";
    }
    return "incomplete";
}

auto to_string(request_kind it) -> std::string
{
    switch (it)
    {
    case request_kind::completion:
        return "completion";
    case request_kind::order:
        return "order";
    case request_kind::lookup:
        return "lookup";
    case request_kind::ticket:
        return "ticket";
    }
    return "completion";
}

process_metrics::process_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(counter_family(*registry_, "primrosedeal_requests_total",
                               "Requests ended, by kind and outcome")),
      refusals_(counter_family(*registry_, "primrosedeal_refusals_total",
                               "Requests refused or given up, by reason")),
      retries_(counter_family(*registry_, "primrosedeal_retries_total",
                              "Further attempts, by reason")),
      dropped_(counter_family(*registry_, "primrosedeal_chunks_dropped_total",
                              "Chunks of engines that were not relayed")),
      key_value_calls_(
          gauge_family(*registry_, "primrosedeal_key_value_calls",
                       "Calls to the key-value service so far, by purpose")),
      targets_(gauge_family(*registry_, "primrosedeal_targets",
                            "Targets known, by state")),
      members_(gauge_family(*registry_, "primrosedeal_members",
                            "Entry hosts known, by state")),
      resume_latency_(histogram_family(
          *registry_, "primrosedeal_resume_latency_seconds",
          "From a loss to the next token for the caller, by cause")),
      recomputed_(
          histogram_family(*registry_, "primrosedeal_recomputed_tokens",
                           "Tokens prefilled again by a resume, by cause")),
      tokens_(counter_family(*registry_, "primrosedeal_tokens_relayed_total",
                             "Tokens handed to callers")
                  .Add({})),
      open_requests_(gauge_family(*registry_, "primrosedeal_open_requests",
                                  "Requests in progress")
                         .Add({})),
      revision_(gauge_family(*registry_, "primrosedeal_configuration_revision",
                             "Revision of the configuration in force")
                    .Add({})),
      first_token_(histogram_family(*registry_,
                                    "primrosedeal_first_token_seconds",
                                    "From arrival to the first token")
                       .Add({}, latency_buckets())),
      token_gap_(histogram_family(*registry_, "primrosedeal_token_gap_seconds",
                                  "Between two events of one answer")
                     .Add({}, latency_buckets()))
{
    for (auto i = 0; i <= static_cast<int>(reason::internal_error); ++i)
    {
        refusals_.Add({{"reason", text_of(to_string(static_cast<reason>(i)))}});
    }
    constexpr auto last = static_cast<int>(retry_reason::early_second_attempt);
    for (auto i = 0; i <= last; ++i)
    {
        auto const why = text_of(to_string(static_cast<retry_reason>(i)));
        retries_.Add({{"reason", why}});
        resume_latency_.Add({{"cause", why}}, latency_buckets());
        recomputed_.Add({{"cause", why}}, token_buckets());
    }
}

void process_metrics::request_ended(request_kind kind, outcome how)
{
    requests_.Add({{"kind", to_string(kind)}, {"outcome", to_string(how)}})
        .Increment();
}

void process_metrics::refused(reason why)
{
    refusals_.Add({{"reason", text_of(to_string(why))}}).Increment();
}

void process_metrics::retried(retry_reason why)
{
    retries_.Add({{"reason", text_of(to_string(why))}}).Increment();
}

void process_metrics::first_token(duration since_arrival)
{
    first_token_.Observe(to_seconds(since_arrival));
}

void process_metrics::token_gap(duration gap)
{
    token_gap_.Observe(to_seconds(gap));
}

void process_metrics::tokens_relayed(std::size_t n)
{
    tokens_.Increment(static_cast<double>(n));
}

void process_metrics::chunk_dropped(bool stale_attempt)
{
    dropped_.Add({{"why", stale_attempt ? "stale_attempt" : "duplicate"}})
        .Increment();
}

void process_metrics::resumed(retry_reason cause, duration latency,
                              std::uint64_t recomputed)
{
    auto const why = text_of(to_string(cause));
    resume_latency_.Add({{"cause", why}}, latency_buckets())
        .Observe(to_seconds(latency));
    recomputed_.Add({{"cause", why}}, token_buckets())
        .Observe(static_cast<double>(recomputed));
}

void process_metrics::open_requests(std::size_t n)
{
    open_requests_.Set(static_cast<double>(n));
}

void process_metrics::key_value_calls(std::string const& purpose,
                                      std::uint64_t total)
{
    key_value_calls_.Add({{"purpose", purpose}})
        .Set(static_cast<double>(total));
}

void process_metrics::configuration_revision(std::uint64_t it)
{
    revision_.Set(static_cast<double>(it));
}

void process_metrics::targets(std::string const& state, std::size_t n)
{
    targets_.Add({{"state", state}}).Set(static_cast<double>(n));
}

void process_metrics::members(std::string const& state, std::size_t n)
{
    members_.Add({{"state", state}}).Set(static_cast<double>(n));
}

auto process_metrics::text() const -> std::string
{
    return prometheus::TextSerializer{}.Serialize(registry_->Collect());
}

} // namespace primrosedeal::metrics
