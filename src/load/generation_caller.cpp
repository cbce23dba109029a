#include "load/generation_caller.hpp"

#include "load/api.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

// Latency counts from the intended time of sending, so that a driver that
// falls behind shows up in the figures. A gap counts from the last token the
// caller got, over all its connections.
namespace primrosedeal::load
{

namespace
{

using nlohmann::json;

constexpr auto ok = 200;
constexpr auto least_retryable = 500;
constexpr auto too_many_requests = 429;

auto to_json(standins::token_list const& tokens) -> json
{
    auto list = json::array();
    for (auto const& it : tokens)
    {
        list.push_back(it.value());
    }
    return list;
}

auto request_body(standins::generation_request const& it,
                  standins::token_list const& resume, duration deadline)
    -> std::string
{
    auto body = json{
        {"model", it.model.value()},
        {"version", it.version.value()},
        {"adapter", it.adapter.value()},
        {"prompt", to_json(it.prompt)},
        {"max_tokens", it.max_tokens},
        {"seed", it.seed},
        {"temperature", 0},
        {"stream", true},
        {"priority", "normal"},
        {"deadline_ms", deadline / std::chrono::milliseconds{1}},
    };
    if (!it.stop.empty())
    {
        body["stop"] = it.stop;
    }
    if (!resume.empty())
    {
        body["resume_tokens"] = to_json(resume);
    }
    return body.dump();
}

} // namespace

generation_caller::generation_caller(net::event_loop& loop,
                                     load_options const& options,
                                     planned_call const& call, time_point began,
                                     std::function<void()> on_done)
    : loop_(loop), options_(options),
      planned_(std::get<planned_generation>(call.what)), key_(call.key),
      began_(began), on_done_(std::move(on_done)),
      hosts_(options.hosts, mix64(options.seed ^ mix64(call.index))),
      check_(planned_.request)
{
    result_.index = call.index;
    result_.at = call.at;
    result_.is_long = planned_.is_long;
}

void generation_caller::start()
{
    connect();
}

void generation_caller::connect()
{
    parser_ = {};
    refusal_.clear();
    status_ = 0;
    auto events = net::http_events{};
    events.on_status = [this](int status)
    {
        status_ = status;
    };
    events.on_body = [this](std::string_view bytes)
    {
        take_body(bytes);
    };
    events.on_end = [this](int status)
    {
        on_closed(status);
    };
    events.on_error = [this](net::call_error)
    {
        come_back("connection broke");
    };
    auto const body =
        request_body(planned_.request, check_.tokens(), options_.deadline);
    call_ =
        net::start_call(loop_, hosts_.next(),
                        post("/v1/completions", key_, body), std::move(events));
    watch_silence();
}

void generation_caller::watch_silence()
{
    silence_ =
        loop_.after(options_.caller_patience, [this] { come_back("silence"); });
}

void generation_caller::take_body(std::string_view bytes)
{
    watch_silence();
    if (status_ != ok)
    {
        refusal_.append(bytes);
        return;
    }
    parser_.take(bytes, [this](server_event const& it) { take_event(it); });
}

void generation_caller::take_event(server_event const& it)
{
    if (over_)
    {
        return;
    }
    if (it.type == "end")
    {
        take_end(it);
        return;
    }
    auto const data = json::parse(it.data, nullptr, false);
    if (!data.is_object() || !data.contains("tokens"))
    {
        return;
    }
    auto tokens = standins::token_list{};
    for (auto const& each : data["tokens"])
    {
        tokens.emplace_back(each.get<std::uint32_t>());
    }
    check_.take(std::stoull(it.id), tokens, data.value("text", ""));
    note_progress();
}

void generation_caller::note_progress()
{
    auto const now = net::event_loop::now();
    if (last_token_)
    {
        result_.longest_gap = std::max(result_.longest_gap, now - *last_token_);
    }
    else
    {
        result_.first_token = now - (began_ + result_.at);
    }
    last_token_ = now;
}

void generation_caller::take_end(server_event const& it)
{
    auto const data = json::parse(it.data, nullptr, false);
    if (!data.is_object())
    {
        finish("bad end event");
        return;
    }
    auto const why = data.value("finish_reason", "");
    if (why == "incomplete")
    {
        finish("incomplete: " + data.value("reason", ""));
        return;
    }
    check_.end(data.value("token_count", std::uint64_t{0}),
               data.value("digest", ""), why);
    finish(check_.complete() ? "" : "wrong: " + check_.first_fault());
}

void generation_caller::on_closed(int status)
{
    if (over_)
    {
        return;
    }
    if (status == ok)
    {
        come_back("stream ended early");
        return;
    }
    on_refusal(status);
}

void generation_caller::on_refusal(int status)
{
    auto const why = refusal_reason(refusal_, status);
    if (status == too_many_requests || status >= least_retryable)
    {
        come_back(why);
        return;
    }
    finish(why);
}

void generation_caller::come_back(std::string const& why)
{
    if (over_)
    {
        return;
    }
    call_.reset();
    silence_.cancel();
    if (result_.reconnects >= options_.max_reconnects)
    {
        finish("gave up: " + why);
        return;
    }
    ++result_.reconnects;
    retry_ = loop_.after(retry_delay(options_, result_.reconnects),
                         [this] { connect(); });
}

void generation_caller::give_up()
{
    if (!over_)
    {
        finish("not over in time");
    }
}

void generation_caller::finish(std::string problem)
{
    over_ = true;
    call_.reset();
    silence_.cancel();
    retry_.cancel();
    result_.tokens = check_.tokens().size();
    result_.faults = check_.faults();
    result_.complete = check_.complete();
    result_.problem = std::move(problem);
    on_done_();
}

} // namespace primrosedeal::load
