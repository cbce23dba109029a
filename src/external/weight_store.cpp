#include "external/weight_store.hpp"

#include <charconv>

// A 429 is an answer, not a failure: it says when to come back. One without
// a readable time counts as one second.
namespace primrosedeal::external
{
namespace
{

constexpr auto default_retry_after = duration{1s};
constexpr auto longest_retry_after = std::chrono::seconds{3600};

} // namespace

auto read_weights_answer(net::http_response const& it) -> answer<weights_answer>
{
    if (it.status == 200)
    {
        return weights_answer{true, {}};
    }
    if (it.status != 429)
    {
        return call_failure{call_fault::refused,
                            "status " + std::to_string(it.status)};
    }
    auto const header = net::find_header(it.headers, "Retry-After");
    auto seconds = std::int64_t{0};
    if (!header ||
        std::from_chars(header->data(), header->data() + header->size(),
                        seconds)
                .ec != std::errc{} ||
        seconds < 0)
    {
        return weights_answer{false, default_retry_after};
    }
    return weights_answer{
        false, std::min(std::chrono::seconds{seconds}, longest_retry_after)};
}

void http_weight_store::ask(model_id const& model, model_version const& version,
                            answer_handler<weights_answer> done)
{
    auto request = net::http_request{};
    request.path =
        "/weights?model=" + model.value() + "&version=" + version.value();
    auto const number = next_++;
    auto const finish = [this, number, done](answer<weights_answer> const& it)
    {
        auto const answered = done;
        auto const ended = std::move(calls_[number]);
        calls_.erase(number);
        answered(it);
    };
    auto const on_response = [finish](net::http_response const& it)
    {
        finish(read_weights_answer(it));
    };
    auto const on_error = [finish](net::call_error, bool may_have_sent)
    {
        finish(call_failure{may_have_sent ? call_fault::lost
                                          : call_fault::not_sent,
                            "no answer from the weight store"});
    };
    calls_[number] =
        net::fetch(loop_, address_, request, timeout_, on_response, on_error);
}

} // namespace primrosedeal::external
