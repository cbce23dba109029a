#include "configuration/edit.hpp"
#include "configuration/follower.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

// Two figures: what one failure domain asks of the key-value service as its
// hosts grow, in virtual time over the deciding code; and what a document of
// many organisations costs in bytes and time, in real time.
namespace primrosedeal::configuration
{
namespace
{

constexpr auto change_interval = duration{100s};
constexpr auto tick = duration{100ms};
constexpr auto starting_time = duration{10s};
constexpr auto run_time = duration{1h};

struct call_count
{
    std::uint64_t reads = 0;
    std::uint64_t parts = 0;
    std::uint64_t watches = 0;

    [[nodiscard]] auto all() const -> std::uint64_t
    {
        return reads + parts + watches;
    }
};

auto small_document(revision number) -> document
{
    auto it = document{};
    it.number = number;
    it.defaults.retry.burst = number.value();
    return it;
}

/// One failure domain; each host hears of a random peer once a second.
class domain_run
{
public:
    domain_run(unsigned hosts, unsigned watch_holders)
    {
        auto settings = follower_settings{};
        settings.watch_holders = watch_holders;
        for (auto n = 0U; n < hosts; ++n)
        {
            ids_.emplace_back("host-" + std::to_string(n));
            hosts_.emplace_back(ids_.back(), settings, time_point{}, n);
        }
        watching_.resize(hosts);
    }

    void run()
    {
        accept();
        for (; now_ < time_point{run_time}; now_ += tick)
        {
            if (now_ == time_point{starting_time})
            {
                starting = count;
                count = {};
            }
            if (now_.time_since_epoch() % change_interval == 0us)
            {
                accept();
            }
            for (auto n = 0U; n < hosts_.size(); ++n)
            {
                step(n);
            }
        }
    }

    call_count count;
    call_count starting;

private:
    void accept()
    {
        encoded_ =
            encode(small_document(revision{encoded_.number.value() + 1}));
        modified_ = external::store_revision{modified_.value() + 5};
        for (auto n = 0U; n < hosts_.size(); ++n)
        {
            if (watching_[n])
            {
                perform(n, hosts_[n].on_watch_value(encoded_.head, modified_,
                                                    now_));
            }
        }
    }

    void step(unsigned n)
    {
        perform(n, hosts_[n].on_tick(now_, ids_));
        if (random_.below(10) != 0 || hosts_.size() == 1)
        {
            return;
        }
        auto const m = random_.below(hosts_.size());
        perform(n,
                hosts_[n].on_peer_revision(ids_[m], hosts_[m].number(), now_));
    }

    void perform(unsigned n, follower_steps const& steps)
    {
        for (auto const& it : steps)
        {
            if (auto const* read = std::get_if<read_head_step>(&it))
            {
                answer_read(n, *read);
            }
            else if (std::holds_alternative<read_parts_step>(it))
            {
                ++count.parts;
                perform(n, hosts_[n].on_parts(encoded_.parts, now_));
            }
            else if (std::holds_alternative<open_watch_step>(it))
            {
                ++count.watches;
                watching_[n] = true;
            }
            else if (auto const* ask = std::get_if<ask_peer_step>(&it))
            {
                answer_peer(n, *ask);
            }
        }
    }

    void answer_read(unsigned n, read_head_step const& read)
    {
        ++count.reads;
        if (read.only_if_not == modified_)
        {
            hosts_[n].on_head_unchanged(now_);
            return;
        }
        // The value follows by a second call once it has changed.
        count.reads += read.only_if_not ? 1 : 0;
        perform(n, hosts_[n].on_head(encoded_.head, modified_, now_));
    }

    void answer_peer(unsigned n, ask_peer_step const& ask)
    {
        for (auto m = std::size_t{0}; m < ids_.size(); ++m)
        {
            auto const reply = ids_[m] == ask.peer
                                   ? hosts_[m].answer(ask.request)
                                   : std::nullopt;
            if (reply)
            {
                perform(n, hosts_[n].on_peer_answer(*reply, now_));
                return;
            }
        }
        hosts_[n].on_peer_failure(ask.peer, now_);
    }

    std::vector<host_id> ids_;
    std::vector<follower> hosts_;
    std::vector<bool> watching_;
    encoded_document encoded_;
    external::store_revision modified_;
    time_point now_{};
    random_source random_{3};
};

void measure_calls(char const* title, unsigned watch_holders)
{
    std::printf("%s\n", title);
    std::printf("hosts  calls at start  calls/s per domain  reads/s  "
                "watches opened\n");
    for (auto const hosts : {2U, 8U, 32U, 90U})
    {
        auto it = domain_run{hosts, watch_holders};
        it.run();
        auto const opened = it.starting.watches + it.count.watches;
        auto const seconds = to_seconds(run_time - starting_time);
        std::printf("%5u  %14llu  %18.4f  %7.4f  %14llu\n", hosts,
                    static_cast<unsigned long long>(it.starting.all()),
                    static_cast<double>(it.count.all()) / seconds,
                    static_cast<double>(it.count.reads) / seconds,
                    static_cast<unsigned long long>(opened));
    }
}

auto large_document(std::size_t organisations, std::size_t exceptions)
    -> document
{
    auto it = document{};
    it.number = revision{1};
    it.services.push_back(
        {service_id{"fitting"}, service_kind::engine, true, {}});
    for (auto i = std::size_t{0}; i < organisations; ++i)
    {
        auto const name = "organisation-" + std::to_string(i);
        it.organisations.push_back({organisation_id{name}, {hash_key(name)}});
    }
    for (auto i = std::size_t{0}; i < exceptions; ++i)
    {
        auto entry = exception_entry{};
        entry.scope.organisation =
            organisation_id{"organisation-" + std::to_string(i)};
        entry.field = "admission.organisation_concurrency";
        entry.value = std::uint64_t{96};
        entry.reason = "Runs the size-run summaries of all of its shops.";
        entry.author = "r.santos";
        it.exceptions.push_back(std::move(entry));
    }
    return it;
}

template <class Work>
auto milliseconds_of(Work work) -> double
{
    auto const start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - start)
        .count();
}

auto resident_kib() -> long
{
    auto file = std::ifstream{"/proc/self/statm"};
    auto size = 0L;
    auto resident = 0L;
    file >> size >> resident;
    return resident * 4;
}

void measure_document(std::size_t organisations)
{
    auto const it = large_document(organisations, 200);
    auto encoded = encoded_document{};
    auto const encode_ms = milliseconds_of([&] { encoded = encode(it); });
    auto all = std::size_t{0};
    auto largest = std::size_t{0};
    for (auto const& [name, content] : encoded.parts)
    {
        all += content.size();
        largest = std::max(largest, content.size());
    }
    auto const before = resident_kib();
    auto back = document{};
    auto const decode_ms =
        milliseconds_of([&] { back = decode(encoded.head, encoded.parts); });
    auto index = key_index{};
    auto const index_ms = milliseconds_of([&] { index = key_index{back}; });
    auto const after = resident_kib();
    auto policies = std::uint64_t{0};
    constexpr auto calls = 100'000;
    auto const policy_ms = milliseconds_of(
        [&]
        {
            for (auto i = 0; i < calls; ++i)
            {
                policies += effective(it, service_id{"fitting"},
                                      organisation_id{"organisation-7"},
                                      domain_id{"a"}, wall_time{})
                                .admission.organisation_concurrency;
            }
        });
    std::printf("%13zu  %6zu  %5zu  %8zu  %7zu  %9.1f  %9.1f  %8.1f  %10ld  "
                "%9.2f\n",
                organisations, encoded.head.size(), encoded.parts.size(), all,
                largest, encode_ms, decode_ms, index_ms, after - before,
                policy_ms * 1000 / calls);
    if (policies == 0)
    {
        std::abort();
    }
}

void measure_documents()
{
    std::printf("\norganisations  head B  parts  parts B  largest  encode ms  "
                "decode ms  index ms  memory KiB  policy us\n");
    for (auto const organisations : {10U, 1000U, 10'000U, 43'000U})
    {
        measure_document(organisations);
    }
}

} // namespace
} // namespace primrosedeal::configuration

auto main() -> int
{
    using namespace primrosedeal::configuration;
    constexpr auto everybody = 1000U;
    measure_calls("every host holds the watch", everybody);
    measure_calls("as shipped", follower_settings{}.watch_holders);
    measure_documents();
    return 0;
}
