#pragma once

#include "core/ids.hpp"
#include "external/key_value.hpp"
#include "net/http_client.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The platform's lagging list of targets and entry hosts.
namespace primrosedeal::external
{

struct listed_target
{
    target_id id;
    service_id service;
    net::endpoint address;
    domain_id domain;
    bool leaving = false;
    incarnation started;
    /// Empty for plain services.
    model_id model;
    model_version version;
    std::vector<adapter_id> adapters;
    std::uint32_t slots = 0;
};

struct listed_host
{
    host_id id;
    net::endpoint address;
    domain_id domain;
};

struct host_list
{
    /// Grows with each change of the list.
    std::uint64_t version = 0;
    std::vector<listed_target> targets;
    std::vector<listed_host> entry_hosts;
};

/// Nothing if `text` is not a host list. An entry without a readable id,
/// address or failure domain is left out; the rest is used.
auto read_host_list(std::string_view text) -> std::optional<host_list>;

/// Where the list comes from; answers on the caller's loop.
class host_list_source
{
public:
    host_list_source() = default;
    host_list_source(host_list_source const&) = delete;
    auto operator=(host_list_source const&) -> host_list_source& = delete;
    virtual ~host_list_source() = default;

    virtual void read(answer_handler<host_list> done) = 0;
};

/// Over HTTP. A new `read` ends one that is still going on.
class http_host_list : public host_list_source
{
public:
    http_host_list(net::event_loop& loop, net::endpoint address,
                   duration timeout = 2s)
        : loop_(loop), address_(std::move(address)), timeout_(timeout)
    {
    }

    void read(answer_handler<host_list> done) override;

private:
    net::event_loop& loop_;
    net::endpoint address_;
    duration timeout_;
    std::unique_ptr<net::http_call> call_;
};

} // namespace primrosedeal::external
