#pragma once

#include "external/key_value.hpp"
#include "gateway/host_state.hpp"
#include "stream_origin/record_reads.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// Reads the records of versions from the store (`stream_origin/record_reads`).
namespace primrosedeal::gateway
{

class version_reader
{
public:
    version_reader(host_state& host, external::key_value_service& store);
    version_reader(version_reader const&) = delete;
    auto operator=(version_reader const&) -> version_reader& = delete;

    /// Runs `done` with the records of all services by a read that begins after
    /// this call, or with none if the store does not answer. Requests for one
    /// `service` share reads.
    void read(service_id const& service, stream_origin::record_handler done,
              time_point now);

private:
    struct running_read
    {
        std::uint64_t number = 0;
        net::timer timeout;
    };

    void begin_at(time_point at, service_id const& service, time_point now);
    void begin(service_id const& service, time_point now);
    void on_answer(service_id const& service,
                   external::answer<external::range_result> const& it,
                   time_point now);
    void end(service_id const& service,
             std::optional<stream_origin::versions_by_service> const& records,
             std::string const& why, time_point now);

    host_state& host_;
    external::key_value_service& store_;
    stream_origin::record_reads reads_;
    std::map<service_id, running_read> running_;
    /// Reads that are to begin later.
    std::map<service_id, net::timer> due_;
    std::uint64_t next_number_ = 0;
    /// Answers that come after the end of this object are dropped.
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace primrosedeal::gateway
