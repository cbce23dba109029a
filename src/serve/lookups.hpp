#pragma once

#include "lookup/look_up.hpp"
#include "metrics/metrics.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "serve/caller.hpp"
#include "serve/placement.hpp"

#include <cstdint>
#include <map>
#include <memory>

/// `GET /v1/services/SERVICE/lookup/PATH`: repeatable calls, each tried at
/// distinct targets within its deadline and the retry budget.
namespace primrosedeal::serve
{

class lookups
{
public:
    lookups(net::event_loop& loop, placement& places,
            metrics::process_metrics& counters);
    lookups(lookups const&) = delete;
    auto operator=(lookups const&) -> lookups& = delete;
    ~lookups();

    /// `path` with its query. Throws request_error if too many are open.
    void handle(caller_request const& from, service_id const& service,
                std::string const& path);

    [[nodiscard]] auto open() const -> std::size_t
    {
        return open_.size();
    }

private:
    class exchange;

    void over(std::uint64_t number);

    net::event_loop& loop_;
    placement& places_;
    metrics::process_metrics& counters_;
    std::uint64_t next_number_ = 0;
    std::map<std::uint64_t, std::unique_ptr<exchange>> open_;
};

} // namespace primrosedeal::serve
