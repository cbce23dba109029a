#include "standins/faulty_server.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

// Requests that a pause or slowness holds back stand in a list; the handler
// runs only when they are let go, so a slow service also acts late.
namespace primrosedeal::standins
{

namespace
{

constexpr auto slow_delay = 2s;
constexpr auto ok = 200;
constexpr auto bad_request = 400;
constexpr auto unavailable = 503;

} // namespace

auto json_response(int status, std::string body) -> net::http_response
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

class faulty_server::impl
{
public:
    impl(net::event_loop& loop, handler on_request)
        : loop_(loop), on_request_(std::move(on_request)),
          server_(loop, {},
                  [this](net::server_request const& it,
                         std::shared_ptr<net::responder> const& to)
                  { receive(it, to); })
    {
    }

    auto listen(net::endpoint const& at) -> std::uint16_t
    {
        at_ = at;
        at_.port = server_.listen(at);
        return at_.port;
    }

    void set_fault(fault_order it)
    {
        auto const before = std::exchange(fault_, it.what);
        end_.cancel();
        if (before == fault::die && fault_ != fault::die)
        {
            server_.listen(at_);
        }
        if (before != fault::die && fault_ == fault::die)
        {
            die();
        }
        if (fault_ == fault::none)
        {
            release();
        }
        if (it.lasting)
        {
            end_ = loop_.after(*it.lasting, [this] { set_fault({}); });
        }
    }

private:
    struct held_request
    {
        net::server_request request;
        std::shared_ptr<net::responder> to;
        net::timer delay;
    };

    void die()
    {
        server_.stop_listening();
        for (auto& [key, it] : std::exchange(held_, {}))
        {
            it.to->abort();
        }
        for (auto const& it : std::exchange(taken_, {}))
        {
            if (auto const to = it.lock())
            {
                to->abort();
            }
        }
    }

    void release()
    {
        for (auto& [key, it] : std::exchange(held_, {}))
        {
            answer(it.request, it.to);
        }
    }

    void receive(net::server_request const& it,
                 std::shared_ptr<net::responder> const& to)
    {
        if (it.path == "/fault" && it.method == net::http_method::post)
        {
            return take_fault(it, *to);
        }
        switch (fault_)
        {
        case fault::die:
            return to->abort();
        case fault::pause:
            return hold(it, to, std::nullopt);
        case fault::slow:
            return hold(it, to, slow_delay);
        case fault::error_503:
            return to->reply({unavailable, {}, ""});
        default:
            return answer(it, to);
        }
    }

    void take_fault(net::server_request const& it, net::responder& to)
    {
        auto const order = parse_fault_order(it.body);
        to.reply(json_response(order ? ok : bad_request, "{}"));
        if (order)
        {
            // After the answer has left, since `die` breaks connections.
            start_ = loop_.after(1ms, [this, order] { set_fault(*order); });
        }
    }

    void hold(net::server_request const& it,
              std::shared_ptr<net::responder> const& to,
              std::optional<duration> delay)
    {
        auto const key = next_held_++;
        auto& held = held_[key];
        held.request = it;
        held.to = to;
        if (delay)
        {
            held.delay = loop_.after(*delay, [this, key] { let_go(key); });
        }
    }

    void let_go(std::uint64_t key)
    {
        auto const it = std::move(held_.at(key));
        held_.erase(key);
        answer(it.request, it.to);
    }

    void answer(net::server_request const& it,
                std::shared_ptr<net::responder> const& to)
    {
        auto const response = on_request_(it, to);
        if (!response)
        {
            std::erase_if(taken_,
                          [](auto const& each) { return each.expired(); });
            taken_.push_back(to);
        }
        else if (fault_ == fault::lose_answer)
        {
            to->abort();
        }
        else
        {
            to->reply(*response);
        }
    }

    net::event_loop& loop_;
    handler on_request_;
    net::endpoint at_;
    fault fault_ = fault::none;
    std::map<std::uint64_t, held_request> held_;
    std::uint64_t next_held_ = 0;
    std::vector<std::weak_ptr<net::responder>> taken_;
    net::timer start_;
    net::timer end_;
    net::http_server server_;
};

faulty_server::faulty_server(net::event_loop& loop, handler on_request)
    : impl_(std::make_unique<impl>(loop, std::move(on_request)))
{
}

faulty_server::~faulty_server() = default;

auto faulty_server::listen(net::endpoint const& at) -> std::uint16_t
{
    return impl_->listen(at);
}

void faulty_server::set_fault(fault_order it)
{
    impl_->set_fault(it);
}

} // namespace primrosedeal::standins
