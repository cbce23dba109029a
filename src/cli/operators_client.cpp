#include "cli/operators_client.hpp"

#include <absl/flags/flag.h>

#include <fstream>
#include <memory>
#include <stdexcept>

ABSL_FLAG(std::vector<std::string>, operators, {},
          "operators' ports of entry hosts, IPV4:PORT separated by commas");
ABSL_FLAG(std::string, secret_file, "",
          "file with the operators' secret in its first line");

namespace primrosedeal::cli
{

namespace
{

using nlohmann::json;

constexpr auto answer_timeout = duration{2s};

auto read_secret() -> std::string
{
    auto const file = absl::GetFlag(FLAGS_secret_file);
    auto in = std::ifstream{file};
    auto secret = std::string{};
    if (!std::getline(in, secret) || secret.empty())
    {
        throw std::invalid_argument{
            "--secret_file: a file with a secret was expected"};
    }
    return secret;
}

/// The calls of one round and what came back.
struct round
{
    std::vector<status_answer> answers;
    std::vector<std::unique_ptr<net::http_call>> calls;
    std::size_t open = 0;
    std::function<void(std::vector<status_answer>)> done;

    void close_one()
    {
        if (--open == 0)
        {
            done(std::move(answers));
        }
    }
};

void ask_one(net::event_loop& loop, std::shared_ptr<round> const& all,
             std::size_t i, net::endpoint const& at, std::string const& secret)
{
    auto request = net::http_request{};
    request.path = "/status";
    request.headers = {{"Authorization", "Bearer " + secret}};
    all->calls.push_back(net::fetch(
        loop, at, request, answer_timeout,
        [all, i](net::http_response const& it)
        {
            auto body = json::parse(it.body, nullptr, false);
            if (it.status == 200 && body.is_object())
            {
                all->answers[i].status = std::move(body);
            }
            all->close_one();
        },
        [all](net::call_error, bool) { all->close_one(); }));
}

} // namespace

void ask_all_hosts(net::event_loop& loop,
                   std::function<void(std::vector<status_answer>)> done)
{
    auto const words = absl::GetFlag(FLAGS_operators);
    if (words.empty())
    {
        done({});
        return;
    }
    auto const secret = read_secret();
    auto const all = std::make_shared<round>();
    all->done = std::move(done);
    all->open = words.size();
    auto addresses = std::vector<net::endpoint>{};
    for (auto const& text : words)
    {
        auto const at = net::parse_endpoint(text);
        if (!at)
        {
            throw std::invalid_argument{
                "--operators: IPV4:PORT was expected, not " + text};
        }
        addresses.push_back(*at);
        all->answers.push_back({text, std::nullopt});
    }
    for (auto i = std::size_t{0}; i < addresses.size(); ++i)
    {
        ask_one(loop, all, i, addresses[i], secret);
    }
}

auto to_host_status(status_answer const& it) -> declare::host_status
{
    auto status = declare::host_status{};
    status.host = host_id{it.address};
    if (!it.status)
    {
        return status;
    }
    auto const& from = *it.status;
    status.host = host_id{from.value("host", it.address)};
    status.domain = domain_id{from.value("failure_domain", "")};
    status.number = revision{from.value("revision", std::uint64_t{0})};
    status.reachable = true;
    return status;
}

} // namespace primrosedeal::cli
