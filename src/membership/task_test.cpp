#include "membership/proof.hpp"
#include "membership/task.hpp"

#include <boost/test/unit_test.hpp>

#include <event2/event.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

namespace primrosedeal::membership
{

namespace
{

auto const secret = std::string{"a secret of the fleet"};

struct process_initialiser
{
    process_initialiser()
    {
        net::initialise_process();
    }
};

/// A host with its own event loop and thread, as in a separate process.
class running_host
{
public:
    running_host(std::string const& name, std::vector<net::endpoint> seeds,
                 std::string const& with_secret = secret)
    {
        [[maybe_unused]] static auto const once = process_initialiser{};
        auto settings = task_settings{};
        settings.self = host_id{name};
        settings.domain = domain_id{"d"};
        settings.start = incarnation{1};
        settings.listen = {"127.0.0.1", 0};
        settings.secret = with_secret;
        settings.seed = std::hash<std::string>{}(name);
        settings.gossip.seeds = std::move(seeds);
        settings.gossip.probes = {100ms, 200ms, 500ms, 200ms,
                                  300ms, 30s,   200ms};
        settings.sessions.handshake_timeout = 500ms;
        auto callbacks = task_callbacks{};
        callbacks.on_record = [this](record const& it, host_id const&)
        {
            records_.push_back(it);
        };
        callbacks.on_new_incarnation = [this](incarnation it)
        {
            latest_incarnation_ = it;
        };
        callbacks.body_for =
            [](std::string_view body) -> std::optional<std::string>
        {
            if (body != "revision")
            {
                return std::nullopt;
            }
            return std::string(300'000, 'b');
        };
        loop_ = std::make_unique<net::event_loop>();
        task_ = std::make_unique<membership_task>(*loop_, settings, callbacks);
        thread_ = std::thread{[this]
                              {
                                  loop_->run();
                              }};
    }

    running_host(running_host const&) = delete;
    auto operator=(running_host const&) -> running_host& = delete;

    ~running_host()
    {
        resume();
        loop_->stop();
        thread_.join();
    }

    /// Runs `function` on the host's loop and returns its result.
    template <class Function>
    auto run_on_loop(Function function)
    {
        using result = decltype(function(*task_));
        auto promise = std::promise<result>{};
        loop_->post([&] { promise.set_value(function(*task_)); });
        return promise.get_future().get();
    }

    void pause()
    {
        paused_ = true;
        loop_->post(
            [this]
            {
                auto lock = std::unique_lock{mutex_};
                wake_.wait(lock, [this] { return !paused_; });
            });
    }

    void resume()
    {
        {
            auto const lock = std::lock_guard{mutex_};
            paused_ = false;
        }
        wake_.notify_all();
    }

    auto address() -> net::endpoint
    {
        return run_on_loop([](membership_task& it)
                           { return it.self().address; });
    }

    auto state_of(std::string const& other) -> std::string
    {
        return run_on_loop(
            [&](membership_task& it)
            {
                for (auto const& other_host : it.members())
                {
                    if (other_host.id == host_id{other})
                    {
                        return std::string{to_string(other_host.state)};
                    }
                }
                return std::string{"unknown"};
            });
    }

    auto link_count() -> std::size_t
    {
        return run_on_loop([](membership_task& it) { return it.link_count(); });
    }

    auto record_count() -> std::size_t
    {
        return run_on_loop([this](membership_task&)
                           { return records_.size(); });
    }

    auto latest_incarnation() -> incarnation
    {
        return run_on_loop([this](membership_task&)
                           { return latest_incarnation_; });
    }

    auto loop() -> net::event_loop&
    {
        return *loop_;
    }

    auto task() -> membership_task&
    {
        return *task_;
    }

private:
    std::vector<record> records_;
    incarnation latest_incarnation_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::atomic<bool> paused_ = false;
    std::unique_ptr<net::event_loop> loop_;
    std::unique_ptr<membership_task> task_;
    std::thread thread_;
};

/// Waits up to 30 s for `condition`. The bound is generous because the tests
/// check that the condition becomes true, not how soon.
template <class Condition>
auto eventually(Condition condition) -> bool
{
    constexpr auto tries = 3000;
    for (auto n = 0; n < tries; ++n)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

struct three_hosts
{
    running_host a{"a", {}};
    running_host b{"b", {a.address()}};
    running_host c{"c", {a.address()}};

    auto all_linked() -> bool
    {
        return eventually(
            [this] {
                return a.link_count() == 2 && b.link_count() == 2 &&
                       c.link_count() == 2;
            });
    }
};

auto leaving_record() -> record
{
    auto it = record{};
    it.key = {topic::target_leaving, "t1"};
    it.version = {0, 1};
    it.urgency = urgency::urgent;
    return it;
}

/// Returns whether the host at `to` closes a connection that sends `bytes`.
auto closes_after(net::endpoint const& to, std::string const& bytes) -> bool
{
    auto const fd = socket(AF_INET, SOCK_STREAM, 0);
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    auto* const raw = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(connect(fd, raw, sizeof(address)) == 0);
    auto const limit = timeval{20, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    auto sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    auto buf = std::array<char, 4096>{};
    auto n = recv(fd, buf.data(), buf.size(), 0);
    while (sent >= 0 && n > 0)
    {
        n = recv(fd, buf.data(), buf.size(), 0);
    }
    auto const closed = n == 0 || (n < 0 && errno == ECONNRESET);
    close(fd);
    return closed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_over_connections)

BOOST_FIXTURE_TEST_SUITE(three_hosts_from_one_seed, three_hosts)

BOOST_AUTO_TEST_CASE(link_up_and_forward_records)
{
    BOOST_REQUIRE(all_linked());
    b.run_on_loop(
        [](membership_task& it)
        {
            it.publish(leaving_record());
            return true;
        });
    BOOST_TEST(eventually(
        [this] { return a.record_count() + c.record_count() == 2; }));
}

BOOST_AUTO_TEST_CASE(detect_a_host_that_stops_responding_and_accept_it_again)
{
    BOOST_REQUIRE(all_linked());
    c.pause();
    BOOST_TEST(eventually(
        [this]
        { return a.state_of("c") == "dead" && b.state_of("c") == "dead"; }));
    BOOST_TEST(a.state_of("b") == "alive");
    c.resume();
    BOOST_TEST(eventually(
        [this]
        { return a.state_of("c") == "alive" && b.state_of("c") == "alive"; }));
    BOOST_TEST((c.latest_incarnation() > incarnation{1}));
    BOOST_TEST((a.latest_incarnation() == incarnation{}));
    BOOST_TEST(all_linked());
}

BOOST_AUTO_TEST_CASE(fetch_a_body_from_a_peer)
{
    BOOST_REQUIRE(all_linked());
    auto const fetch = [this](std::string const& name)
    {
        auto fetched = std::promise<std::optional<std::string>>{};
        b.loop().post(
            [&]
            {
                b.task().fetch_body(host_id{"c"}, name,
                                    [&](std::optional<std::string> it)
                                    { fetched.set_value(std::move(it)); });
            });
        return fetched.get_future().get();
    };
    auto const body = fetch("revision");
    BOOST_REQUIRE(body.has_value());
    BOOST_TEST(body->size() == 300'000U);
    BOOST_TEST(!fetch("other"));
}

BOOST_AUTO_TEST_CASE(learn_that_a_host_leaves)
{
    BOOST_REQUIRE(all_linked());
    c.run_on_loop(
        [](membership_task& it)
        {
            it.leave();
            return true;
        });
    BOOST_TEST(eventually(
        [this]
        { return a.state_of("c") == "dead" && b.state_of("c") == "dead"; }));
    BOOST_TEST((c.latest_incarnation() == incarnation{}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_unauthenticated_peer)

BOOST_AUTO_TEST_CASE(with_another_secret_is_rejected)
{
    auto a = running_host{"a", {}};
    auto b = running_host{"b", {a.address()}, "another secret"};
    auto c = running_host{"c", {a.address()}};
    BOOST_REQUIRE(eventually([&] { return a.link_count() == 1; }));
    std::this_thread::sleep_for(1500ms);
    BOOST_TEST(a.state_of("b") == "unknown");
    BOOST_TEST(b.state_of("a") == "unknown");
    BOOST_TEST(c.state_of("b") == "unknown");
}

BOOST_AUTO_TEST_CASE(that_sends_nothing_or_garbage_is_disconnected)
{
    auto a = running_host{"a", {}};
    auto const at = a.address();
    BOOST_TEST(closes_after(at, ""));
    BOOST_TEST(closes_after(at, "GET / HTTP/1.1\r\n\r\n"));
    BOOST_TEST(closes_after(at, std::string(100'000, '\xff')));
    BOOST_TEST(closes_after(at, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"));
    BOOST_TEST(a.link_count() == 0U);
}

BOOST_AUTO_TEST_CASE(cannot_make_a_proof_without_the_secret)
{
    auto const proof = make_proof(secret, "client", "a", "n");
    BOOST_TEST(same_proof(proof, make_proof(secret, "client", "a", "n")));
    BOOST_TEST(!same_proof(proof, make_proof("other", "client", "a", "n")));
    BOOST_TEST(!same_proof(proof, make_proof(secret, "server", "a", "n")));
    BOOST_TEST(!same_proof(proof, make_proof(secret, "client", "b", "n")));
    BOOST_TEST(!same_proof(proof, make_proof(secret, "client", "a", "m")));
    BOOST_TEST(!same_proof("", ""));
    BOOST_TEST(make_nonce() != make_nonce());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::membership
