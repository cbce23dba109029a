#include "gateway/connect_prober.hpp"

#include "http1/client.hpp"
#include "net/connect.hpp"
#include "net/connect_error.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <string>
#include <string_view>
#include <utility>

namespace primrosedeal::gateway
{

struct connect_prober::attempt
{
    connect_prober& owner;
    probed key;
    std::string answer;
    bufferevent* bev = nullptr;
    net::timer deadline;
    std::vector<std::function<void(bool)>> callbacks;

    attempt(connect_prober& prober, probed to)
        : owner(prober), key(std::move(to))
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
            (bufferevent_setcb(bev, on_read, nullptr, on_event, this),
             !net::connect(bev, key.at));
        auto const timeout =
            key.through_tunnel ? tunnel_probe_timeout : probe_timeout;
        deadline =
            owner.loop_.after_input(failed ? duration{0} : timeout,
                                    [this] { owner.finish(key, false); });
    }

    static void on_event(bufferevent* /*bev*/, short what, void* arg)
    {
        auto& self = *static_cast<attempt*>(arg);
        auto const alive = (what & BEV_EVENT_CONNECTED) != 0;
        if (self.key.through_tunnel)
        {
            alive ? self.ask_helper() : self.owner.finish(self.key, false);
            return;
        }
        if (alive || net::refused_by_peer(EVUTIL_SOCKET_ERROR()))
        {
            self.owner.report_answered();
        }
        self.owner.finish(self.key, alive);
    }

    void ask_helper()
    {
        bufferevent_enable(bev, EV_READ | EV_WRITE);
        auto const bytes = http1::write_connect(*key.through_tunnel, true);
        bufferevent_write(bev, bytes.data(), bytes.size());
    }

    static void on_read(bufferevent* bev, void* arg)
    {
        auto& self = *static_cast<attempt*>(arg);
        auto* const in = bufferevent_get_input(bev);
        auto bytes = std::string(evbuffer_get_length(in), '\0');
        evbuffer_remove(in, bytes.data(), bytes.size());
        self.answer += bytes;
        if (self.answer.find("\r\n\r\n") != std::string::npos)
        {
            self.owner.finish(self.key, is_alive(self.answer));
        }
        else if (self.answer.size() > http1::max_tunnel_head)
        {
            self.owner.finish(self.key, false);
        }
    }

    static auto is_alive(std::string_view helper_answer) -> bool
    {
        auto const it = http1::read_connect_answer(helper_answer);
        return !it || *it == http1::tunnel_refusal::no_capacity ||
               *it == http1::tunnel_refusal::not_listed;
    }
};

struct connect_prober::pending_query
{
    connect_prober& owner;
    probed key;
    std::unique_ptr<http1::client_call> call;
    net::timer deadline;
    bool connected = false;
    std::vector<query_handler> callbacks;

    pending_query(connect_prober& prober, probed to)
        : owner(prober), key(std::move(to))
    {
    }

    void start(http1::request const& message,
               http1::connection_path const& path)
    {
        auto events = http1::call_events{};
        events.on_connected = [this]
        {
            report_answered();
            connected = true;
            deadline = owner.loop_.after_input(
                query_timeout, [this] { finish(query_result::unanswered); });
        };
        events.on_refused = [this]
        {
            report_answered();
        };
        events.on_tunnel_refused = [this](http1::tunnel_refusal why)
        {
            // These say nothing of the target.
            connected = why == http1::tunnel_refusal::no_capacity ||
                        why == http1::tunnel_refusal::not_listed;
        };
        events.on_head = [this](http1::response_head const& it)
        {
            finish(query_result::answered, &it);
        };
        events.on_error = [this](http1::call_error)
        {
            auto const seen = key.through_tunnel ? query_result::unanswered
                                                 : query_result::answered;
            finish(connected ? seen : query_result::unreachable);
        };
        auto const timeout =
            key.through_tunnel ? tunnel_probe_timeout : probe_timeout;
        call = std::make_unique<http1::client_call>(
            owner.loop_, key.at, message, timeout, std::move(events), path);
    }

    void report_answered() const
    {
        if (!key.through_tunnel)
        {
            owner.report_answered();
        }
    }

    /// Ends this query.
    void finish(query_result it, http1::response_head const* answer = nullptr)
    {
        owner.finish_query(key, it, answer);
    }
};

connect_prober::connect_prober(net::event_loop& loop) : loop_(loop) {}

connect_prober::~connect_prober() = default;

void connect_prober::probe(net::endpoint const& at,
                           std::function<void(bool)> done,
                           http1::connection_path const& path)
{
    auto const key = to_probed(at, path);
    auto& it = attempts_[key];
    auto const fresh = it == nullptr;
    if (fresh)
    {
        it = std::make_unique<attempt>(*this, key);
    }
    it->callbacks.push_back(std::move(done));
    if (fresh)
    {
        it->start();
    }
}

void connect_prober::query(net::endpoint const& at,
                           http1::request const& message, query_handler done,
                           http1::connection_path const& path)
{
    auto const key = to_probed(at, path);
    auto& it = queries_[key];
    auto const fresh = it == nullptr;
    if (fresh)
    {
        it = std::make_unique<pending_query>(*this, key);
    }
    it->callbacks.push_back(std::move(done));
    if (fresh)
    {
        it->start(message, path);
    }
}

auto connect_prober::to_probed(net::endpoint const& at,
                               http1::connection_path const& path) -> probed
{
    auto const* const tunnel = std::get_if<http1::tunnel_route>(&path);
    return tunnel == nullptr ? probed{at, std::nullopt}
                             : probed{tunnel->helper, tunnel->target};
}

void connect_prober::report_answered() const
{
    if (on_answered)
    {
        on_answered();
    }
}

void connect_prober::finish_query(probed const& it, query_result result,
                                  http1::response_head const* answer)
{
    auto const node = queries_.extract(it);
    if (node.empty())
    {
        return;
    }
    for (auto const& done : node.mapped()->callbacks)
    {
        done(result, answer);
    }
}

void connect_prober::finish(probed const& it, bool alive)
{
    auto const node = attempts_.extract(it);
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
