#pragma once

#include "admission/admitter.hpp"
#include "core/random.hpp"
#include "generation/session.hpp"
#include "metrics/metrics.hpp"
#include "serve/caller.hpp"
#include "serve/placement.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

/// `POST /v1/completions`: generations from admission to their last event.
namespace primrosedeal::serve
{

struct completion_limits
{
    std::size_t max_open = 0;
    /// Output waiting for one caller before its engine is paused.
    std::size_t caller_buffer_bytes = 0;
};

class completions
{
public:
    using report = std::function<void(target::event)>;

    completions(net::event_loop& loop, host_id self, domain_id own_domain,
                std::uint64_t seed, completion_limits limits, placement& places,
                admission::admitter& admitter,
                metrics::process_metrics& counters, report on_target_seen);
    completions(completions const&) = delete;
    auto operator=(completions const&) -> completions& = delete;
    ~completions();

    /// Throws request_error for a request that is refused before it starts.
    void handle(caller_request const& it);

    [[nodiscard]] auto open() const -> std::size_t
    {
        return exchanges_.size();
    }

private:
    class exchange;

    auto to_spec(caller_request const& from, struct parsed_completion const& it)
        -> generation::spec;
    void admit(caller_request const& from, struct parsed_completion const& it,
               generation::spec const& what, token_count estimated);
    auto make_services() -> generation::session_callbacks;
    auto choose(generation::spec const& what,
                generation::action::choose_target const& it)
        -> std::variant<generation::chosen_target,
                        generation::event::no_target>;
    void on_evidence(target_id const& target,
                     generation::attempt_loss const& loss);
    void over(std::uint64_t number);

    net::event_loop& loop_;
    host_id self_;
    domain_id own_domain_;
    random_source random_;
    completion_limits limits_;
    placement& places_;
    admission::admitter& admitter_;
    metrics::process_metrics& counters_;
    report on_target_seen_;
    generation::session_callbacks services_;
    std::uint64_t next_number_ = 0;
    std::map<std::uint64_t, std::unique_ptr<exchange>> exchanges_;
};

} // namespace primrosedeal::serve
