#pragma once

#include <cstdint>
#include <vector>

/// A listening address whose queue of new connections is full: the kernel
/// drops the opening packets of further ones, as if their path had no end.
namespace primrosedeal::standins
{

class full_listener
{
public:
    /// Throws std::runtime_error if it cannot listen on the loopback address.
    full_listener();
    full_listener(full_listener const&) = delete;
    auto operator=(full_listener const&) -> full_listener& = delete;
    ~full_listener();

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return port_;
    }

    [[nodiscard]] auto full() const -> bool
    {
        return !fillers_.empty();
    }

    /// Takes the connections that fill the queue. Connections whose opening
    /// packets were dropped are made when these are sent again.
    void drain();

    /// Fills the queue again.
    void fill();

    /// Takes the connections that wait, with those that fill the queue if it is
    /// full; the caller closes them.
    auto accept_all() -> std::vector<int>;

private:
    int fd_ = -1;
    std::uint16_t port_ = 0;
    std::vector<int> fillers_;
};

} // namespace primrosedeal::standins
