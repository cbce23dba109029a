#include "stream_origin/record_reads.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace primrosedeal::stream_origin
{

auto record_reads::next_time(service_reads const& it, time_point now)
    -> time_point
{
    return it.begun_at ? std::max(now, *it.begun_at + record_read_gap) : now;
}

auto record_reads::add(service_id const& service, record_handler done,
                       time_point now) -> std::optional<time_point>
{
    auto& it = reads_[service];
    it.of_next.push_back(std::move(done));
    auto const is_due = it.running || it.of_next.size() > 1;
    return is_due ? std::nullopt : std::optional{next_time(it, now)};
}

void record_reads::begin(service_id const& service, time_point now)
{
    auto& it = reads_[service];
    it.of_running = std::exchange(it.of_next, {});
    it.running = true;
    it.begun_at = now;
}

auto record_reads::end(service_id const& service, bool answered, time_point now)
    -> ended_read
{
    auto& it = reads_[service];
    auto out = ended_read{std::exchange(it.of_running, {}), {}};
    it.running = false;
    if (!answered)
    {
        std::move(it.of_next.begin(), it.of_next.end(),
                  std::back_inserter(out.waiting));
        it.of_next.clear();
    }
    if (!it.of_next.empty())
    {
        out.next_at = next_time(it, now);
    }
    return out;
}

} // namespace primrosedeal::stream_origin
