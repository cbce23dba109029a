#include "serve/configuration_watch.hpp"
#include "serve/serving_fixture.hpp"

#include "configuration/stored_form.hpp"

#include <boost/test/unit_test.hpp>

namespace primrosedeal::serve
{

namespace
{

/// A key-value service that is out.
class store_that_is_out final : public external::key_value_service
{
public:
    void range(external::call_purpose, external::range_request const&,
               external::answer_handler<external::range_result> done) override
    {
        done(external::call_failure{});
    }

    void
    commit(external::call_purpose, external::transaction const&,
           external::answer_handler<external::transaction_result> done) override
    {
        done(external::call_failure{});
    }

    void
    grant_lease(external::lease_id, std::chrono::seconds,
                external::answer_handler<external::lease_grant> done) override
    {
        done(external::call_failure{});
    }

    void
    keep_alive(external::lease_id,
               external::answer_handler<external::lease_grant> done) override
    {
        done(external::call_failure{});
    }

    void
    revoke_lease(external::lease_id,
                 external::answer_handler<external::lease_grant> done) override
    {
        done(external::call_failure{});
    }

    auto watch_range(external::call_purpose, external::range_request const&,
                     external::store_revision, external::watch_handlers)
        -> std::unique_ptr<external::watch> override
    {
        return nullptr;
    }
};

/// A host that starts during an outage, and a peer that has revision 1.
struct starting_host
{
    net::event_loop loop;
    store_that_is_out store;
    bool peer_known = false;
    std::vector<host_id> asked;
    bool adopted = false;
    configuration_watch watch{
        loop,
        store,
        host_id{"new"},
        1,
        {[this](configuration_changed const&) { adopted = true; },
         [](revision) {},
         [this](host_id const& peer, std::string const&, auto const& done)
         {
             asked.push_back(peer);
             done(peer_known ? std::optional{peers_answer()} : std::nullopt);
         },
         []
         {
             return std::vector<host_id>{};
         }}};

    static auto peers_answer() -> std::string
    {
        auto const document =
            configuration::read_yaml(fixture_configuration, "fixture");
        auto const encoded = configuration::encode(document);
        return configuration::write_peer_answer({encoded.head, encoded.parts});
    }

    void run_until(std::function<bool()> const& done)
    {
        auto poll = net::timer{};
        std::function<void()> look = [&]
        {
            if (done())
            {
                loop.stop();
                return;
            }
            poll = loop.after(5ms, look);
        };
        look();
        auto const guard = loop.after(20s, [this] { loop.stop(); });
        loop.run();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(a_host_that_starts_during_an_outage)

BOOST_FIXTURE_TEST_CASE(asks_again_when_its_peer_could_not_be_reached_at_first,
                        starting_host)
{
    watch.on_announcement(host_id{"peer"}, revision{1});
    BOOST_TEST(asked.size() == 1U);
    BOOST_TEST(!adopted);
    peer_known = true;
    run_until([&] { return adopted; });
    BOOST_TEST(adopted);
    BOOST_TEST(watch.follower().number() == revision{1});
}

BOOST_FIXTURE_TEST_CASE(does_not_ask_itself, starting_host)
{
    watch.on_announcement(host_id{"new"}, revision{1});
    BOOST_TEST(asked.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::serve
