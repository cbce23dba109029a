#pragma once

#include "http1/server.hpp"

#include <functional>
#include <memory>
#include <string_view>
#include <utility>

namespace primrosedeal::http1
{

/// Holds its connection only while the answer is owed.
template <class Connection>
class open_exchange : public exchange
{
public:
    explicit open_exchange(std::weak_ptr<Connection> it) : to_(std::move(it)) {}

    void reply(response_head const& head, std::string_view body,
               bool close) override
    {
        if (auto const it = std::exchange(to_, {}).lock())
        {
            it->reply(head, body, close);
        }
    }

    void start(response_head const& head) override
    {
        if (auto const it = to_.lock())
        {
            it->start(head);
        }
    }

    void send(std::string_view bytes) override
    {
        if (auto const it = to_.lock())
        {
            it->send(bytes);
        }
    }

    void finish() override
    {
        if (auto const it = std::exchange(to_, {}).lock())
        {
            it->finish();
        }
    }

    void abort() override
    {
        if (auto const it = std::exchange(to_, {}).lock())
        {
            it->abort();
        }
    }

    void on_gone(std::function<void(client_loss)> work) override
    {
        if (auto const it = to_.lock())
        {
            it->on_gone(std::move(work));
        }
    }

    void on_flow(std::function<void(bool)> const& work) override
    {
        if (auto const it = to_.lock())
        {
            it->on_flow(work);
        }
    }

private:
    std::weak_ptr<Connection> to_;
};

} // namespace primrosedeal::http1
