#pragma once

#include "core/units.hpp"
#include "core/verdict.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

/// What the process counts, as prometheus-cpp families. Safe from any
/// thread. Every reason has its counter from the start, at 0.
namespace primrosedeal::metrics
{

/// How a request ended, for `requests_total`.
enum class outcome
{
    complete,
    incomplete,
    refused,
    caller_gone,
};

auto to_string(outcome it) -> std::string;

/// What a caller asked for.
enum class request_kind
{
    completion,
    order,
    lookup,
    ticket,
};

auto to_string(request_kind it) -> std::string;

class process_metrics
{
public:
    process_metrics();

    void request_ended(request_kind kind, outcome how);
    void refused(reason why);
    void retried(retry_reason why);
    void first_token(duration since_arrival);
    void token_gap(duration gap);
    void tokens_relayed(std::size_t n);
    void chunk_dropped(bool stale_attempt);
    void resumed(retry_reason cause, duration latency,
                 std::uint64_t recomputed);
    void open_requests(std::size_t n);
    void key_value_calls(std::string const& purpose, std::uint64_t total);
    void configuration_revision(std::uint64_t it);
    void targets(std::string const& state, std::size_t n);
    void members(std::string const& state, std::size_t n);

    /// Text form for `/metrics`.
    [[nodiscard]] auto text() const -> std::string;

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& retries_;
    prometheus::Family<prometheus::Counter>& dropped_;
    prometheus::Family<prometheus::Gauge>& key_value_calls_;
    prometheus::Family<prometheus::Gauge>& targets_;
    prometheus::Family<prometheus::Gauge>& members_;
    prometheus::Family<prometheus::Histogram>& resume_latency_;
    prometheus::Family<prometheus::Histogram>& recomputed_;
    prometheus::Counter& tokens_;
    prometheus::Gauge& open_requests_;
    prometheus::Gauge& revision_;
    prometheus::Histogram& first_token_;
    prometheus::Histogram& token_gap_;
};

} // namespace primrosedeal::metrics
