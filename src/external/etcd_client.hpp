#pragma once

#include "external/key_value.hpp"
#include "external/service_health.hpp"
#include "net/http_client.hpp"

#include <memory>

/// The key-value service over the etcd v3 JSON gateway.
///
/// One object per process, on one loop: it keeps the process's call budget
/// and its verdict on the service's health. Every call is made once; trying
/// again is the caller's decision, which knows what a lost answer means.
namespace primrosedeal::external
{

struct etcd_settings
{
    net::endpoint address;
    duration call_timeout = 2s;
    call_budget_settings budget;
    health_settings health;
};

class etcd_client : public key_value_service
{
public:
    etcd_client(net::event_loop& loop, etcd_settings settings);
    ~etcd_client() override;

    void range(call_purpose purpose, range_request const& request,
               answer_handler<range_result> done) override;
    void commit(call_purpose purpose, transaction const& request,
                answer_handler<transaction_result> done) override;
    void grant_lease(lease_id id, std::chrono::seconds ttl,
                     answer_handler<lease_grant> done) override;
    void keep_alive(lease_id id, answer_handler<lease_grant> done) override;
    void revoke_lease(lease_id id, answer_handler<lease_grant> done) override;
    auto watch_range(call_purpose purpose, range_request const& request,
                     store_revision from, watch_handlers handlers)
        -> std::unique_ptr<watch> override;

    [[nodiscard]] auto budget() const -> call_budget const&;
    [[nodiscard]] auto health_now() const -> health;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace primrosedeal::external
