#include "gateway/version_reader.hpp"

#include "log/log.hpp"

#include <utility>
#include <variant>

namespace primrosedeal::gateway
{

version_reader::version_reader(host_state& host,
                               external::key_value_service& store)
    : host_(host), store_(store)
{
}

void version_reader::read(service_id const& service,
                          stream_origin::record_handler done, time_point now)
{
    if (auto const at = reads_.add(service, std::move(done), now))
    {
        begin_at(*at, service, now);
    }
}

void version_reader::begin_at(time_point at, service_id const& service,
                              time_point now)
{
    if (at <= now)
    {
        begin(service, now);
        return;
    }
    due_[service] = host_.loop.after(at - now,
                                     [this, service]
                                     {
                                         // Holds the timer, which holds this
                                         // handler.
                                         auto const node =
                                             due_.extract(service);
                                         begin(service, net::event_loop::now());
                                     });
}

void version_reader::begin(service_id const& service, time_point now)
{
    reads_.begin(service, now);
    auto const number = next_number_++;
    auto& it = running_[service];
    it.number = number;
    it.timeout = host_.loop.after_input(
        stream_origin::record_read_timeout, [this, service]
        { end(service, {}, "no answer", net::event_loop::now()); });
    store_.range(external::call_purpose::version_read,
                 {host_.wire.versions_prefix(),
                  external::prefix_end(host_.wire.versions_prefix())},
                 [this, service, number, alive = std::weak_ptr{alive_}](
                     external::answer<external::range_result> const& answer)
                 {
                     if (alive.expired())
                     {
                         return;
                     }
                     auto const found = running_.find(service);
                     // An earlier read may be answered after its timeout.
                     if (found != running_.end() &&
                         found->second.number == number)
                     {
                         on_answer(service, answer, net::event_loop::now());
                     }
                 });
}

void version_reader::on_answer(
    service_id const& service,
    external::answer<external::range_result> const& it, time_point now)
{
    if (auto const* const why = std::get_if<external::call_failure>(&it))
    {
        end(service, {}, why->text, now);
        return;
    }
    auto const& [at, values] = std::get<external::range_result>(it);
    if (!host_.record_confirmation.complete_in(at.era()))
    {
        end(service, {}, "not confirmed in this era of the store", now);
        return;
    }
    auto records = stream_origin::versions_by_service{};
    for (auto const& value : values)
    {
        auto const entry = host_.wire.read_entry(value.key, value.value);
        if (auto const* const record = std::get_if<versions_entry>(&entry))
        {
            records[record->service] =
                stream_origin::decode_versions(value.value)
                    .value_or(stream_origin::version_set{});
        }
    }
    end(service, records, {}, now);
}

void version_reader::end(
    service_id const& service,
    std::optional<stream_origin::versions_by_service> const& records,
    std::string const& why, time_point now)
{
    // `service` may belong to the timer.
    auto const node = running_.extract(service);
    auto const ended = reads_.end(service, records.has_value(), now);
    if (!records)
    {
        log::write(log::level::warning, "record_not_read",
                   {{"service", service.value()},
                    {"why", why},
                    {"waiting", std::to_string(ended.waiting.size())}});
    }
    if (ended.next_at)
    {
        begin_at(*ended.next_at, service, now);
    }
    for (auto const& done : ended.waiting)
    {
        done(records.value_or(stream_origin::versions_by_service{}));
    }
}

} // namespace primrosedeal::gateway
