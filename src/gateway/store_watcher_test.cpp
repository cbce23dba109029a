#include "gateway/store_watcher.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <vector>

namespace primrosedeal::gateway
{

namespace
{

/// An empty store whose watches are driven by the test. The loop stops when a
/// watch begins.
class empty_store : public external::key_value_service
{
public:
    explicit empty_store(net::event_loop& loop) : loop_(loop) {}

    /// Revision of the results of reads.
    external::store_revision read_at;

    void range(external::call_purpose /*purpose*/,
               external::range_request const& /*request*/,
               external::answer_handler<external::range_result> done) override
    {
        auto out = external::range_result{};
        out.at = read_at;
        loop_.post([out, done = std::move(done)] { done(out); });
    }

    void commit(external::call_purpose /*purpose*/,
                external::transaction const& /*request*/,
                external::answer_handler<external::transaction_result> /*done*/)
        override
    {
    }

    void grant_lease(
        external::lease_id /*id*/, std::chrono::seconds /*ttl*/,
        external::answer_handler<external::lease_grant> /*done*/) override
    {
    }

    void keep_alive(
        external::lease_id /*id*/,
        external::answer_handler<external::lease_grant> /*done*/) override
    {
    }

    void revoke_lease(
        external::lease_id /*id*/,
        external::answer_handler<external::lease_grant> /*done*/) override
    {
    }

    auto watch_range(external::call_purpose /*purpose*/,
                     external::range_request const& /*request*/,
                     external::store_revision from,
                     external::watch_handlers handlers)
        -> std::unique_ptr<external::watch> override
    {
        watched_from = from;
        watches.push_back(std::move(handlers));
        loop_.stop();
        return std::make_unique<external::watch>();
    }

    std::vector<external::watch_handlers> watches;
    external::store_revision watched_from;

private:
    net::event_loop& loop_;
};

auto event_at(std::int64_t revision) -> external::watch_event
{
    auto const at = external::store_revision{revision};
    auto out = external::watch_event{"k", {}, at};
    out.value = external::stored_value{"k", "v", at, at, external::lease_id{0}};
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_paused_watcher)

// The watch is destroyed from the event loop after the pause.
BOOST_AUTO_TEST_CASE(takes_nothing_more_from_its_earlier_watch)
{
    auto loop = net::event_loop{};
    auto store = empty_store{loop};
    auto random = random_source{1};
    auto taken = std::vector<external::store_revision>{};
    auto losses = 0;
    auto events = store_watcher_events{};
    events.on_snapshot = [](std::vector<external::stored_value> const&) {
    };
    events.on_entry = [&](external::watch_event const& it)
    {
        taken.push_back(it.at);
    };
    events.on_lost = [&](std::string const&)
    {
        ++losses;
    };
    events.on_regained = [](time_point) {
    };
    auto it = store_watcher{loop, store, random, std::move(events)};
    it.start();
    loop.run();
    BOOST_REQUIRE(store.watches.size() == 1U);
    it.pause();
    it.apply_event(event_at(2));
    store.watches.front().on_event(event_at(1));
    BOOST_TEST(taken.size() == 1U);
    it.resume();
    BOOST_REQUIRE(store.watches.size() == 2U);
    store.watches.front().on_end({external::call_fault::lost, "late"});
    BOOST_TEST(losses == 0);
    store.watches.back().on_event(event_at(3));
    BOOST_TEST(taken.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_watcher_that_was_given_the_entries_of_a_peer)

/// The snapshots that a starting watcher reports after a peer gave it entries
/// as of revision 8, when its own read, begun before, has revision `read_at`.
auto snapshots_after_read(std::int64_t read_at) -> int
{
    auto loop = net::event_loop{};
    auto store = empty_store{loop};
    store.read_at = external::store_revision{read_at};
    auto random = random_source{1};
    auto snapshots = 0;
    auto events = store_watcher_events{};
    events.on_snapshot = [&](std::vector<external::stored_value> const&)
    {
        ++snapshots;
    };
    events.on_entry = [](external::watch_event const&) {
    };
    events.on_lost = [](std::string const&) {
    };
    events.on_regained = [](time_point) {
    };
    auto it = store_watcher{loop, store, random, std::move(events)};
    it.start();
    it.advance_to(external::store_revision{8});
    loop.run();
    BOOST_TEST(it.in_contact());
    BOOST_TEST(it.delivered_revision().value() == store.watched_from.value());
    BOOST_TEST(store.watched_from.value() ==
               std::max<std::int64_t>(8, read_at));
    return snapshots;
}

// The watch would not deliver the changes between the two again.
BOOST_AUTO_TEST_CASE(does_not_replace_them_by_an_older_read)
{
    BOOST_TEST(snapshots_after_read(5) == 0);
}

// If the watch fails after that, the next one begins at the peer's revision and
// does not deliver the newer values again.
BOOST_AUTO_TEST_CASE(does_not_replace_them_by_older_events)
{
    auto loop = net::event_loop{};
    auto store = empty_store{loop};
    auto random = random_source{1};
    auto taken = std::vector<std::int64_t>{};
    auto events = store_watcher_events{};
    events.on_snapshot = [](std::vector<external::stored_value> const&) {
    };
    events.on_entry = [&](external::watch_event const& it)
    {
        taken.push_back(it.at.value());
    };
    events.on_lost = [](std::string const&) {
    };
    events.on_regained = [](time_point) {
    };
    auto it = store_watcher{loop, store, random, std::move(events)};
    it.start();
    loop.run();
    it.advance_to(external::store_revision{8});
    store.watches.back().on_event(event_at(5));
    it.apply_event(event_at(8));
    store.watches.back().on_event(event_at(9));
    it.apply_event(event_at(10));
    BOOST_TEST((taken == std::vector<std::int64_t>{9, 10}));
    BOOST_TEST(it.delivered_revision().value() == 10);
    // What has to come again is taken.
    it.rewind_to(external::store_revision{6});
    it.apply_event(event_at(7));
    BOOST_TEST(taken.back() == 7);
}

BOOST_AUTO_TEST_CASE(replaces_them_by_a_newer_read)
{
    BOOST_TEST(snapshots_after_read(8) == 1);
    BOOST_TEST(snapshots_after_read(9) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_watcher_of_a_restored_store)

namespace
{

struct watcher_with_entries
{
    watcher_with_entries()
    {
        auto events = store_watcher_events{};
        events.on_restored = [this]
        {
            ++restorations;
        };
        events.on_snapshot = [this](std::vector<external::stored_value> const&)
        {
            ++snapshots;
        };
        events.on_entry = [](external::watch_event const&) {
        };
        events.on_lost = [](std::string const&) {
        };
        events.on_regained = [](time_point) {
        };
        it = std::make_unique<store_watcher>(loop, store, random,
                                             std::move(events));
        store.read_at =
            external::store_revision{before, external::store_era{1}};
        it->start();
        loop.run();
    }

    /// The history after the watcher's revision is gone, and the next read has
    /// revision `at`.
    void lose_history(external::store_revision at)
    {
        store.read_at = at;
        auto const watches = store.watches;
        watches.back().on_end({external::call_fault::refused, "gone"});
        loop.run();
    }

    static constexpr auto before = std::int64_t{8};
    net::event_loop loop;
    empty_store store{loop};
    random_source random{1};
    int restorations = 0;
    int snapshots = 0;
    std::unique_ptr<store_watcher> it;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(goes_back_to_an_older_revision, watcher_with_entries)
{
    auto const back = external::store_revision{3, external::store_era{2}};
    lose_history(back);
    BOOST_TEST(restorations == 1);
    BOOST_TEST(snapshots == 2);
    BOOST_TEST(store.watched_from == back);
}

// A first read may be old, and be labelled with the era in which it is
// answered.
BOOST_FIXTURE_TEST_CASE(goes_back_though_its_first_read_named_the_new_era,
                        watcher_with_entries)
{
    auto const back = external::store_revision{3, external::store_era{1}};
    lose_history(back);
    BOOST_TEST(restorations == 1);
    BOOST_TEST(store.watched_from == back);
}

BOOST_FIXTURE_TEST_CASE(takes_compacted_history_for_no_restoration,
                        watcher_with_entries)
{
    auto const next = external::store_revision{9, external::store_era{1}};
    lose_history(next);
    BOOST_TEST(restorations == 0);
    BOOST_TEST(snapshots == 2);
    BOOST_TEST(store.watched_from == next);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_watcher_whose_watch_was_cut)

namespace
{

struct watcher_in_contact
{
    watcher_in_contact()
    {
        auto events = store_watcher_events{};
        events.on_snapshot = [](std::vector<external::stored_value> const&) {
        };
        events.on_entry = [this](external::watch_event const& e)
        {
            taken.push_back(e.at.value());
        };
        events.on_lost = [this](std::string const&)
        {
            ++losses;
        };
        events.on_regained = [this](time_point)
        {
            ++returns;
        };
        it = std::make_unique<store_watcher>(loop, store, random,
                                             std::move(events));
        it->start();
        loop.run();
        open();
    }

    void open()
    {
        auto const last = store.watches.back();
        last.on_open();
    }

    void end(external::call_fault how)
    {
        auto const last = store.watches.back();
        last.on_end({how, "ended"});
    }

    net::event_loop loop;
    empty_store store{loop};
    random_source random{1};
    std::vector<std::int64_t> taken;
    int losses = 0;
    int returns = 0;
    std::unique_ptr<store_watcher> it;
};

} // namespace

// Each cut counted as an outage of the store, after which removals of targets
// were taken for lapsed entries.
BOOST_FIXTURE_TEST_CASE(has_not_lost_the_store_that_answers_the_next_one,
                        watcher_in_contact)
{
    constexpr auto cuts = std::size_t{3};
    for (auto i = std::size_t{0}; i < cuts; ++i)
    {
        end(external::call_fault::interrupted);
        BOOST_TEST(it->in_contact());
        loop.run();
        BOOST_TEST(store.watches.size() == i + 2);
        open();
    }
    BOOST_TEST(losses == 0);
    BOOST_TEST(returns == 1);
    auto const last = store.watches.back();
    last.on_event(event_at(4));
    BOOST_TEST((taken == std::vector<std::int64_t>{4}));
}

BOOST_FIXTURE_TEST_CASE(has_lost_the_store_that_does_not_answer_the_next_one,
                        watcher_in_contact)
{
    end(external::call_fault::interrupted);
    loop.run();
    end(external::call_fault::lost);
    BOOST_TEST(losses == 1);
    BOOST_TEST(!it->in_contact());
    loop.run();
    open();
    BOOST_TEST(returns == 2);
}

BOOST_FIXTURE_TEST_CASE(opens_no_watch_while_it_is_paused, watcher_in_contact)
{
    end(external::call_fault::interrupted);
    it->pause();
    auto const stop = loop.after(500ms, [this] { loop.stop(); });
    loop.run();
    BOOST_TEST(store.watches.size() == 1U);
    it->resume();
    BOOST_TEST(store.watches.size() == 2U);
    BOOST_TEST(losses == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace primrosedeal::gateway
