#include "gateway/relay_fixture.hpp"
#include "gateway/version_reader.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace primrosedeal::gateway
{

namespace
{

using external::answer_handler;

/// Reads of it are answered by the test; it has nothing else.
class read_store : public external::key_value_service
{
public:
    void range(external::call_purpose /*purpose*/,
               external::range_request const& request,
               answer_handler<external::range_result> done) override
    {
        keys.push_back(request.key);
        linearizable &= !request.may_be_old;
        answers.push_back(std::move(done));
    }

    void commit(external::call_purpose /*purpose*/,
                external::transaction const& /*request*/,
                answer_handler<external::transaction_result> /*done*/) override
    {
    }

    void grant_lease(external::lease_id /*id*/, std::chrono::seconds /*ttl*/,
                     answer_handler<external::lease_grant> /*done*/) override
    {
    }

    void keep_alive(external::lease_id /*id*/,
                    answer_handler<external::lease_grant> /*done*/) override
    {
    }

    void revoke_lease(external::lease_id /*id*/,
                      answer_handler<external::lease_grant> /*done*/) override
    {
    }

    auto watch_range(external::call_purpose /*purpose*/,
                     external::range_request const& /*request*/,
                     external::store_revision /*from*/,
                     external::watch_handlers /*handlers*/)
        -> std::unique_ptr<external::watch> override
    {
        return nullptr;
    }

    std::vector<std::string> keys;
    std::vector<answer_handler<external::range_result>> answers;
    bool linearizable = true;
};

struct one_reader : one_host
{
    void read()
    {
        reader.read(
            service,
            [this](stream_origin::versions_by_service const& it)
            { results.push_back(it); },
            net::event_loop::now());
    }

    auto found(std::string const& bytes) const -> external::range_result
    {
        auto const at = external::store_revision{1};
        return {at,
                {{wire.versions_key(service), bytes, at, at,
                  external::lease_id{0}}}};
    }

    stream_origin::versions_by_service versions{
        {service, {software_version{"v1"}}}};
    std::string record = stream_origin::encode(versions.at(service));
    read_store store;
    version_reader reader{host, store};
    std::vector<stream_origin::versions_by_service> results;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(a_reader_of_recorded_versions, one_reader)

BOOST_AUTO_TEST_CASE(reads_the_latest_records_of_all_services)
{
    read();
    auto it = found(record);
    auto const other = service_id{"other"};
    it.values.push_back(it.values.front());
    it.values.back().key = wire.versions_key(other);
    versions[other] = versions.at(service);
    store.answers.at(0)(it);
    BOOST_TEST(store.keys.at(0) == wire.versions_prefix());
    BOOST_TEST(wire.versions_key(service).starts_with(store.keys.at(0)));
    BOOST_TEST(store.linearizable);
    BOOST_TEST((results.at(0) == versions));
}

BOOST_AUTO_TEST_CASE(has_none_without_a_readable_record)
{
    for (auto const& it :
         {external::answer<external::range_result>{external::range_result{}},
          {found("no record")},
          {external::call_failure{}}})
    {
        auto const n = results.size();
        read();
        run_until([&] { return store.answers.size() > n; });
        store.answers.back()(it);
        BOOST_TEST(results.back()[service].empty());
    }
    BOOST_TEST(results.size() == 3U);
}

// The store was restored after the host had read its confirmation.
BOOST_AUTO_TEST_CASE(has_none_in_an_era_that_is_not_confirmed)
{
    auto const of_era = [&](std::int64_t era)
    {
        auto const n = results.size();
        read();
        run_until([&] { return store.answers.size() > n; });
        auto it = found(record);
        it.at = external::store_revision{1, external::store_era{era}};
        store.answers.back()(it);
        return results.back();
    };
    host.record_confirmation.apply(external::store_era{2});
    BOOST_TEST((of_era(2) == versions));
    BOOST_TEST(of_era(3).empty());
}

BOOST_AUTO_TEST_CASE(takes_no_answer_for_that_of_a_later_read)
{
    read();
    run_until([&] { return !results.empty(); });
    BOOST_TEST(results.at(0).empty());
    read();
    store.answers.at(0)(found(record));
    BOOST_TEST(results.size() == 1U);
    store.answers.at(1)(found(record));
    BOOST_TEST((results.at(1) == versions));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
