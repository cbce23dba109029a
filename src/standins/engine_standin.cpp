#include "standins/engine_standin.hpp"

#include "standins/engine_json.hpp"

#include <charconv>
#include <map>
#include <utility>

// The adapter between HTTP and engine_state. One timer wakes it for the next
// step. A pause holds requests back unread in a list and, when it ends, moves
// all due times by its length. `/load` is answered from a copy taken at most
// once in each `load_lag`.
namespace primrosedeal::standins
{

namespace
{

using net::http_method;
using net::responder;
using net::server_request;

constexpr auto ok = 200;
constexpr auto accepted = 202;
constexpr auto bad_request = 400;
constexpr auto not_found = 404;
constexpr auto conflict = 409;
constexpr auto unavailable = 503;
constexpr auto slow_factor = 10;

void reply_json(responder& to, int status, std::string body)
{
    to.reply({status, {{"Content-Type", "application/json"}}, std::move(body)});
}

auto since_of(std::string_view query) -> std::uint64_t
{
    constexpr std::string_view key = "since=";
    auto since = std::uint64_t{0};
    auto const at = query.find(key);
    if (at != std::string_view::npos)
    {
        auto const digits = query.substr(at + key.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), since);
    }
    return since;
}

} // namespace

class engine_standin::impl
{
public:
    impl(net::event_loop& loop, engine_settings settings)
        : loop_(loop), settings_(settings), state_(std::move(settings)),
          server_(loop, {},
                  [this](server_request const& it,
                         std::shared_ptr<responder> const& to)
                  { receive(it, to); })
    {
        reported_ = state_.load();
    }

    auto listen(net::endpoint const& at) -> std::uint16_t
    {
        at_ = at;
        at_.port = server_.listen(at);
        return at_.port;
    }

    void set_fault(fault_order it)
    {
        if (it.what == fault::none && fault_ == fault::none)
        {
            return;
        }
        clear_fault();
        fault_ = it.what;
        fault_since_ = net::event_loop::now();
        apply_fault();
        fault_end_.cancel();
        if (it.lasting)
        {
            fault_end_ = loop_.after(*it.lasting, [this] { set_fault({}); });
        }
    }

    [[nodiscard]] auto totals() const -> engine_totals
    {
        return state_.totals();
    }

private:
    struct open_stream
    {
        generate_call call;
        std::shared_ptr<responder> to;
        bool silent = false;
        bool corrupt_next = false;
    };

    struct held_request
    {
        server_request request;
        std::shared_ptr<responder> to;
    };

    void apply_fault()
    {
        switch (fault_)
        {
        case fault::die:
            die();
            break;
        case fault::pause:
            step_.cancel();
            break;
        case fault::silence_open:
        case fault::corrupt_offset:
            for (auto& [key, it] : streams_)
            {
                it.silent |= fault_ == fault::silence_open;
                it.corrupt_next |= fault_ == fault::corrupt_offset;
            }
            break;
        case fault::slow:
            state_.set_slowness(slow_factor);
            break;
        case fault::leaving:
            state_.set_leaving(true);
            break;
        default:
            break;
        }
    }

    void clear_fault()
    {
        switch (std::exchange(fault_, fault::none))
        {
        case fault::die:
            server_.listen(at_);
            break;
        case fault::pause:
            state_.postpone(net::event_loop::now() - fault_since_);
            release_held();
            schedule();
            break;
        case fault::slow:
            state_.set_slowness(1);
            break;
        case fault::leaving:
            state_.set_leaving(false);
            break;
        default:
            break;
        }
    }

    void die()
    {
        server_.stop_listening();
        state_.restart(net::event_loop::now());
        step_.cancel();
        for (auto& [key, it] : std::exchange(streams_, {}))
        {
            it.to->on_close(nullptr);
            it.to->abort();
        }
        for (auto const& it : std::exchange(silenced_, {}))
        {
            it->abort();
        }
        for (auto& it : std::exchange(held_, {}))
        {
            it.to->abort();
        }
    }

    void release_held()
    {
        for (auto& it : std::exchange(held_, {}))
        {
            handle(it.request, it.to);
        }
    }

    void receive(server_request const& it, std::shared_ptr<responder> const& to)
    {
        if (it.path == "/fault" && it.method == http_method::post)
        {
            return take_fault(it, *to);
        }
        if (fault_ == fault::die)
        {
            return to->abort();
        }
        if (fault_ == fault::pause)
        {
            held_.push_back({it, to});
            return;
        }
        handle(it, to);
    }

    void take_fault(server_request const& it, responder& to)
    {
        auto const order = parse_fault_order(it.body);
        if (!order)
        {
            return reply_json(to, bad_request, error_body("bad fault"));
        }
        reply_json(to, ok, "{}");
        // After the answer has left, since `die` breaks connections.
        fault_start_ = loop_.after(1ms, [this, order] { set_fault(*order); });
    }

    void handle(server_request const& it, std::shared_ptr<responder> const& to)
    {
        if (it.method == http_method::post && it.path == "/generate")
        {
            generate(it, to);
        }
        else if (it.method == http_method::post && it.path == "/orders")
        {
            order(it, *to);
        }
        else if (it.method == http_method::get)
        {
            read(it, *to);
        }
        else
        {
            reply_json(*to, not_found, error_body("not_found"));
        }
    }

    void read(server_request const& it, responder& to)
    {
        if (it.path == "/health")
        {
            reply_json(to, ok, "{}");
        }
        else if (it.path == "/load")
        {
            refresh_load();
            reply_json(to, ok,
                       load_body(reported_, state_.started(), settings_.slots));
        }
        else if (it.path == "/state")
        {
            reply_json(to, ok, state_body(state_));
        }
        else if (it.path == "/cache_events")
        {
            read_cache_events(it, to);
        }
        else
        {
            reply_json(to, not_found, error_body("not_found"));
        }
    }

    void refresh_load()
    {
        auto const now = net::event_loop::now();
        if (now - reported_at_ >= settings_.load_lag)
        {
            reported_ = state_.load();
            reported_at_ = now;
        }
    }

    void read_cache_events(server_request const& it, responder& to)
    {
        auto const since = since_of(it.query);
        auto const until = net::event_loop::now() - settings_.cache_event_lag;
        auto events = state_.cache().events(since, until);
        auto const one_in = settings_.cache_event_gap_one_in;
        std::erase_if(events, [&](cache_event const& event)
                      { return one_in != 0 && event.sequence % one_in == 0; });
        reply_json(to, ok, cache_events_body(events, since));
    }

    void order(server_request const& it, responder& to)
    {
        auto const parsed = parse_order(it.body);
        if (!parsed)
        {
            return reply_json(to, bad_request, error_body("bad order"));
        }
        switch (state_.order(*parsed, net::event_loop::now()))
        {
        case order_result::done:
            return reply_json(to, ok, "{\"done\":true}");
        case order_result::loading:
            return reply_json(to, accepted, "{\"done\":false}");
        case order_result::old_fencing_number:
            return reply_json(to, conflict,
                              "{\"error\":\"old_fencing_number\",\"highest\":" +
                                  std::to_string(state_.highest_fencing()) +
                                  "}");
        }
    }

    void generate(server_request const& it,
                  std::shared_ptr<responder> const& to)
    {
        auto call = parse_generate(it.body);
        if (!call)
        {
            return reply_json(*to, bad_request, error_body("bad request"));
        }
        if (fault_ == fault::error_503)
        {
            return reply_json(*to, unavailable, error_body("overloaded"));
        }
        auto const result = state_.submit(call->body, net::event_loop::now());
        if (auto const* const why = std::get_if<engine_refusal>(&result))
        {
            auto const status =
                *why == engine_refusal::unknown_model ? not_found : unavailable;
            return reply_json(*to, status, error_body(to_string(*why)));
        }
        start(std::get<stream_key>(result), std::move(*call), to);
    }

    void start(stream_key key, generate_call call,
               std::shared_ptr<responder> const& to)
    {
        to->start_stream(ok, {{"Content-Type", "text/event-stream"}});
        to->on_close(
            [this, key]
            {
                streams_.erase(key);
                state_.cancel(key, net::event_loop::now());
            });
        streams_.emplace(key, open_stream{std::move(call), to});
        schedule();
    }

    void schedule()
    {
        auto const due = state_.next_due();
        if (due && fault_ != fault::pause && !step_.pending())
        {
            auto const now = net::event_loop::now();
            step_ = loop_.after(std::max(*due - now, duration{0}),
                                [this] { step(); });
        }
    }

    void step()
    {
        for (auto const& it : state_.advance(net::event_loop::now()))
        {
            deliver(it);
        }
        schedule();
    }

    void deliver(engine_output const& output)
    {
        auto const found = streams_.find(output.stream);
        if (found == streams_.end())
        {
            return;
        }
        auto& it = found->second;
        if (!it.silent)
        {
            send(it, output);
        }
        // Sending may have shown that the caller is gone.
        if (output.finish)
        {
            end(output);
        }
    }

    void send(open_stream& it, engine_output const& output)
    {
        auto const wrong = std::exchange(it.corrupt_next, false) ? 1U : 0U;
        auto const to = it.to;
        if (!output.tokens.empty())
        {
            auto const text =
                chunk_event(it.call, output, output.offset + wrong);
            to->send(text);
            if (fault_ == fault::duplicate_chunk)
            {
                to->send(text);
            }
        }
    }

    void end(engine_output const& output)
    {
        auto const found = streams_.find(output.stream);
        if (found == streams_.end())
        {
            return;
        }
        auto const it = std::move(found->second);
        streams_.erase(found);
        it.to->on_close(nullptr);
        if (it.silent)
        {
            silenced_.push_back(it.to);
            return;
        }
        it.to->send(finish_event(it.call, output.offset + output.tokens.size(),
                                 *output.finish));
        it.to->finish();
    }

    net::event_loop& loop_;
    engine_settings settings_;
    engine_state state_;
    net::endpoint at_;
    std::map<stream_key, open_stream> streams_;
    std::vector<std::shared_ptr<responder>> silenced_;
    std::vector<held_request> held_;
    engine_load reported_;
    time_point reported_at_;
    fault fault_ = fault::none;
    time_point fault_since_;
    net::timer step_;
    net::timer fault_start_;
    net::timer fault_end_;
    net::http_server server_;
};

engine_standin::engine_standin(net::event_loop& loop, engine_settings settings)
    : impl_(std::make_unique<impl>(loop, std::move(settings)))
{
}

engine_standin::~engine_standin() = default;

auto engine_standin::listen(net::endpoint const& at) -> std::uint16_t
{
    return impl_->listen(at);
}

void engine_standin::set_fault(fault_order it)
{
    impl_->set_fault(it);
}

auto engine_standin::totals() const -> engine_totals
{
    return impl_->totals();
}

} // namespace primrosedeal::standins
