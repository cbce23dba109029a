#include "settings/host_settings.hpp"

#include "settings/checked_yaml.hpp"

#include <fstream>

namespace primrosedeal::settings
{

namespace
{

constexpr auto max_secret_bytes = std::size_t{256};

auto read_secret(checked_map& from, std::string const& key) -> std::string
{
    auto const file = from.text(key);
    auto in = std::ifstream{file, std::ios::binary};
    auto secret = std::string{};
    if (!in || !std::getline(in, secret) || secret.empty() ||
        secret.size() > max_secret_bytes)
    {
        from.fail(key, "a readable file with a secret of 1 to 256 bytes");
    }
    return secret;
}

void read_listen(checked_map from, host_settings& to)
{
    to.listen_callers = from.address("callers");
    to.listen_operators = from.address("operators");
    to.listen_peers = from.address("peers");
    from.expect_no_more();
}

void read_peers(checked_map from, host_settings& to)
{
    to.seeds = from.addresses("seeds");
    to.peer_secret = read_secret(from, "secret_file");
    from.expect_no_more();
}

void read_platform(checked_map from, host_settings& to)
{
    to.key_value = from.address("key_value");
    to.host_list = from.address("host_list");
    if (from.has("weight_store"))
    {
        to.weight_store = from.address("weight_store");
    }
    from.expect_no_more();
}

void read_limits(checked_map from, host_settings& to)
{
    constexpr auto most = std::uint64_t{256} << 20U;
    constexpr auto body = std::uint64_t{4} << 20U;
    constexpr auto header = std::uint64_t{16} << 10U;
    constexpr auto buffer = std::uint64_t{256} << 10U;
    to.max_body_bytes = from.bytes("body", most, body);
    to.max_header_bytes = from.bytes("header", most, header);
    to.caller_buffer_bytes = from.bytes("caller_buffer", most, buffer);
    to.max_open_requests = from.number("open_requests", 1, 1'000'000, 4096);
    to.receive_timeout = from.time("receive_timeout", 1s, 10min, 15s);
    to.send_timeout = from.time("send_timeout", 1s, 10min, 60s);
    from.expect_no_more();
}

void read_shutdown(checked_map from, host_settings& to)
{
    to.readiness_grace = from.time("readiness_grace", 0s, 10min, 5s);
    to.longest_drain = from.time("longest_drain", 0s, 24h, 30min);
    from.expect_no_more();
}

} // namespace

auto load_host_settings(std::string const& file) -> host_settings
{
    auto top = load_file(file);
    auto it = host_settings{};
    it.host = host_id{top.text("host")};
    it.domain = domain_id{top.text("failure_domain")};
    read_listen(top.map("listen"), it);
    read_peers(top.map("peers"), it);
    read_platform(top.map("platform"), it);
    read_limits(top.map("limits"), it);
    read_shutdown(top.map("shutdown"), it);
    auto operators = top.map("operators");
    it.operator_secret = read_secret(operators, "secret_file");
    operators.expect_no_more();
    top.expect_no_more();
    return it;
}

} // namespace primrosedeal::settings
