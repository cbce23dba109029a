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

struct libevent_threads
{
    libevent_threads()
    {
        net::initialise_process();
    }
};

/// One host: a task on a loop and thread of its own, as in a process.
class running_host
{
public:
    running_host(std::string const& name, std::vector<net::endpoint> seeds,
                 std::string const& with_secret = secret)
    {
        [[maybe_unused]] static auto const once = libevent_threads{};
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
        callbacks.on_item = [this](record const& it, host_id const&)
        {
            items_.push_back(it);
        };
        callbacks.on_new_incarnation = [this](incarnation it)
        {
            renewed_ = it;
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

    /// Runs `question` on the host's loop and waits for its answer.
    template <class Question>
    auto ask(Question question)
    {
        using answer = decltype(question(*task_));
        auto promise = std::promise<answer>{};
        loop_->post([&] { promise.set_value(question(*task_)); });
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
        return ask([](membership_task& it) { return it.self().address; });
    }

    auto sees(std::string const& other) -> std::string
    {
        return ask(
            [&](membership_task& it)
            {
                for (auto const& known : it.members())
                {
                    if (known.id == host_id{other})
                    {
                        return std::string{to_string(known.state)};
                    }
                }
                return std::string{"unknown"};
            });
    }

    auto linked() -> std::size_t
    {
        return ask([](membership_task& it) { return it.linked(); });
    }

    auto item_count() -> std::size_t
    {
        return ask([this](membership_task&) { return items_.size(); });
    }

    auto renewed() -> incarnation
    {
        return ask([this](membership_task&) { return renewed_; });
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
    std::vector<record> items_;
    incarnation renewed_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::atomic<bool> paused_ = false;
    std::unique_ptr<net::event_loop> loop_;
    std::unique_ptr<membership_task> task_;
    std::thread thread_;
};

/// Waits until `holds`, generously: the verdict is whether, not when.
template <class Condition>
auto comes_true(Condition holds) -> bool
{
    constexpr auto tries = 3000;
    for (auto n = 0; n < tries; ++n)
    {
        if (holds())
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
        return comes_true(
            [this]
            { return a.linked() == 2 && b.linked() == 2 && c.linked() == 2; });
    }
};

auto a_mark() -> record
{
    auto it = record{};
    it.key = {topic::leaving_mark, "t1"};
    it.version = {0, 1};
    it.urgency = urgency::urgent;
    return it;
}

/// Whether the host at `to` closes a connection after these bytes.
auto closes_on(net::endpoint const& to, std::string const& bytes) -> bool
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

BOOST_AUTO_TEST_CASE(link_up_and_pass_records_on)
{
    BOOST_REQUIRE(all_linked());
    b.ask(
        [](membership_task& it)
        {
            it.publish(a_mark());
            return true;
        });
    BOOST_TEST(
        comes_true([this] { return a.item_count() + c.item_count() == 2; }));
}

BOOST_AUTO_TEST_CASE(find_a_host_that_stops_answering_and_take_it_back)
{
    BOOST_REQUIRE(all_linked());
    c.pause();
    BOOST_TEST(comes_true(
        [this] { return a.sees("c") == "dead" && b.sees("c") == "dead"; }));
    BOOST_TEST(a.sees("b") == "alive");
    c.resume();
    BOOST_TEST(comes_true(
        [this] { return a.sees("c") == "alive" && b.sees("c") == "alive"; }));
    BOOST_TEST((c.renewed() > incarnation{1}));
    BOOST_TEST((a.renewed() == incarnation{}));
    BOOST_TEST(all_linked());
}

BOOST_AUTO_TEST_CASE(fetch_a_body_from_a_peer)
{
    BOOST_REQUIRE(all_linked());
    auto const fetch = [this](std::string const& name)
    {
        auto got = std::promise<std::optional<std::string>>{};
        b.loop().post(
            [&]
            {
                b.task().fetch_body(host_id{"c"}, name,
                                    [&](std::optional<std::string> it)
                                    { got.set_value(std::move(it)); });
            });
        return got.get_future().get();
    };
    auto const body = fetch("revision");
    BOOST_REQUIRE(body.has_value());
    BOOST_TEST(body->size() == 300'000U);
    BOOST_TEST(!fetch("other"));
}

BOOST_AUTO_TEST_CASE(hear_of_a_host_that_leaves)
{
    BOOST_REQUIRE(all_linked());
    c.ask(
        [](membership_task& it)
        {
            it.leave();
            return true;
        });
    BOOST_TEST(comes_true(
        [this] { return a.sees("c") == "dead" && b.sees("c") == "dead"; }));
    BOOST_TEST((c.renewed() == incarnation{}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_stranger)

BOOST_AUTO_TEST_CASE(with_another_secret_is_not_let_in)
{
    auto a = running_host{"a", {}};
    auto b = running_host{"b", {a.address()}, "another secret"};
    auto c = running_host{"c", {a.address()}};
    BOOST_REQUIRE(comes_true([&] { return a.linked() == 1; }));
    std::this_thread::sleep_for(1500ms);
    BOOST_TEST(a.sees("b") == "unknown");
    BOOST_TEST(b.sees("a") == "unknown");
    BOOST_TEST(c.sees("b") == "unknown");
}

BOOST_AUTO_TEST_CASE(that_says_nothing_or_nonsense_is_put_off)
{
    auto a = running_host{"a", {}};
    auto const at = a.address();
    BOOST_TEST(closes_on(at, ""));
    BOOST_TEST(closes_on(at, "GET / HTTP/1.1\r\n\r\n"));
    BOOST_TEST(closes_on(at, std::string(100'000, '\xff')));
    BOOST_TEST(closes_on(at, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"));
    BOOST_TEST(a.linked() == 0U);
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
