#include "gateway/connect_prober.hpp"

#include "net/connect.hpp"
#include "net/connect_error.hpp"

#include <event2/bufferevent.h>
#include <event2/event.h>

namespace primrosedeal::gateway
{

struct connect_prober::attempt
{
    connect_prober& owner;
    net::endpoint at;
    bufferevent* bev = nullptr;
    net::timer deadline;
    std::vector<std::function<void(bool)>> callbacks;

    attempt(connect_prober& prober, net::endpoint to)
        : owner(prober), at(std::move(to))
    {
    }

    attempt(attempt const&) = delete;
    auto operator=(attempt const&) -> attempt& = delete;

    ~attempt()
    {
        if (bev != nullptr)
        {
            bufferevent_free(bev);
        }
    }

    void start()
    {
        bev = bufferevent_socket_new(owner.loop_.base(), -1,
                                     BEV_OPT_CLOSE_ON_FREE |
                                         BEV_OPT_DEFER_CALLBACKS);
        auto const failed =
            bev == nullptr ||
            (bufferevent_setcb(bev, nullptr, nullptr, on_event, this),
             !net::connect(bev, at));
        deadline = owner.loop_.after(failed ? duration{0} : probe_timeout,
                                     [this] { owner.finish(at, false); });
    }

    static void on_event(bufferevent* /*bev*/, short what, void* arg)
    {
        auto& self = *static_cast<attempt*>(arg);
        auto const alive = (what & BEV_EVENT_CONNECTED) != 0;
        if (self.owner.on_answered &&
            (alive || net::refused_by_peer(EVUTIL_SOCKET_ERROR())))
        {
            self.owner.on_answered();
        }
        self.owner.finish(self.at, alive);
    }
};

connect_prober::connect_prober(net::event_loop& loop) : loop_(loop) {}

connect_prober::~connect_prober() = default;

void connect_prober::probe(net::endpoint const& at,
                           std::function<void(bool)> done)
{
    auto& it = attempts_[at];
    auto const fresh = it == nullptr;
    if (fresh)
    {
        it = std::make_unique<attempt>(*this, at);
    }
    it->callbacks.push_back(std::move(done));
    if (fresh)
    {
        it->start();
    }
}

void connect_prober::finish(net::endpoint const& at, bool alive)
{
    auto const node = attempts_.extract(at);
    if (node.empty())
    {
        return;
    }
    for (auto const& done : node.mapped()->callbacks)
    {
        done(alive);
    }
}

} // namespace primrosedeal::gateway
