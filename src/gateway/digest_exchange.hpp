#pragma once

#include "fleet/digest.hpp"
#include "gateway/link_monitor.hpp"
#include "net/event_loop.hpp"
#include "net/http_message.hpp"

#include <functional>
#include <string>

struct event;

/// Sends and receives digests and evidence of hosts as UDP datagrams. Losses
/// are harmless: digests carry absolute values, so the next one replaces a lost
/// one, and evidence is repeated.
namespace primrosedeal::gateway
{

class digest_exchange
{
public:
    digest_exchange(net::event_loop& loop,
                    std::function<void(fleet::digest const&)> on_digest,
                    std::function<void(quarantine::report const&)> on_evidence);
    digest_exchange(digest_exchange const&) = delete;
    auto operator=(digest_exchange const&) -> digest_exchange& = delete;
    ~digest_exchange();

    /// Throws std::runtime_error with the address if binding fails.
    void open(net::endpoint const& at);

    void send(std::string const& bytes, net::endpoint const& to);

    [[nodiscard]] auto traffic() const -> traffic_bytes const&
    {
        return traffic_;
    }

private:
    void receive();

    net::event_loop& loop_;
    std::function<void(fleet::digest const&)> on_digest_;
    std::function<void(quarantine::report const&)> on_evidence_;
    int fd_ = -1;
    event* readable_ = nullptr;
    traffic_bytes traffic_;
};

} // namespace primrosedeal::gateway
