#include "core/overloaded.hpp"
#include "gateway/relay.hpp"
#include "log/log.hpp"

#include <algorithm>
#include <utility>

// Keeps a stream at the software version that began it, over the attempts of
// one request and over the requests of its client.
namespace primrosedeal::gateway
{

namespace
{

constexpr auto unavailable = 503;
/// Time in which a host learns what others know, or the client reaches another
/// host.
constexpr auto retry_after_start = duration{500ms};

} // namespace

auto relay::begun() const -> bool
{
    return streaming() && state_.resumable &&
           (state_.answer_started || last_event_.has_value());
}

auto relay::configuration_is_behind() const -> bool
{
    auto const others = host_.other_hosts.configured_hosts();
    return std::any_of(others.begin(), others.end(),
                       [this](auto const& it)
                       { return it.version > table_->version(); });
}

auto relay::find_origin(time_point now) -> bool
{
    auto const known = host_.origins.find(stream_);
    auto const recorded = stream_origin::stream_services(
        host_.served_versions.all_recorded(), *table_);
    auto const end = [&](refusal_reason reason, service_id const& service,
                         std::optional<duration> retry_after)
    {
        log::write(
            log::level::info, "stream_without_service",
            {{"request", metadata_.id.value()},
             {"resumes", metadata_.resumes.value_or(request_id{}).value()},
             {"reason", std::string{to_string(reason)}},
             {"service", service.value()},
             {"services_recorded", std::to_string(recorded.size())},
             {"origins_known", std::to_string(host_.origins.size())},
             {"origins_complete", host_.origins_complete ? "true" : "false"},
             {"configuration", std::to_string(table_->version().value())}});
        refuse({unavailable, reason, retry_after}, now);
        return false;
    };
    auto const gone = [&](service_id const& service)
    {
        return end(refusal_reason::service_gone, service,
                   configuration_is_behind() ? std::optional{retry_after_start}
                                             : std::nullopt);
    };
    return std::visit(
        overloaded{[&](stream_origin::only_service const& it)
                   {
                       auto const* const service = table_->find(it.service);
                       if (service == nullptr)
                       {
                           return gone(it.service);
                       }
                       admitted_.service = service;
                       origin_ =
                           known ? std::optional{known->version} : std::nullopt;
                       return true;
                   },
                   [&](stream_origin::service_gone const& it)
                   { return gone(it.service); },
                   [&](stream_origin::service_unknown)
                   {
                       return end(refusal_reason::service_unknown, {},
                                  host_.origins_complete
                                      ? std::nullopt
                                      : std::optional{retry_after_start});
                   }},
        stream_origin::choose_service(known, *admitted_.route, recorded));
}

auto relay::set_versions(time_point now) -> bool
{
    auto const& service = admitted_.service->id;
    if (!streaming() || !state_.resumable)
    {
        return true;
    }
    auto const& recorded = host_.served_versions.recorded(service);
    auto const choice = stream_origin::choose_version(
        {begun(), origin_}, {host_.targets.usable(service), recorded,
                             host_.targets.has_one_version(
                                 service, now - stream_origin::origin_lifetime),
                             host_.list_is_current, stored_versions_,
                             host_.record_confirmation.complete()});
    auto const end =
        [&](refusal_reason reason, std::optional<duration> retry_after)
    {
        log::write(
            log::level::info, "stream_without_version",
            {{"request", metadata_.id.value()},
             {"resumes", metadata_.resumes.value_or(request_id{}).value()},
             {"reason", std::string{to_string(reason)}},
             {"version", origin_.value_or(software_version{}).value()},
             {"origins_known", std::to_string(host_.origins.size())},
             {"origins_complete", host_.origins_complete ? "true" : "false"},
             {"versions_recorded", std::to_string(recorded.size())},
             {"versions_stored", stored_versions_
                                     ? std::to_string(stored_versions_->size())
                                     : "not_read"},
             {"record_confirmed",
              host_.record_confirmation.complete() ? "true" : "false"},
             {"list_is_current", host_.list_is_current ? "true" : "false"}});
        if (std::exchange(attempt_counted_, false))
        {
            host_.request_counts.refund_attempt(admitted_.service->id, now);
        }
        if (state_.answer_started || state_.may_have_run)
        {
            end_with_failure(reason, dispatch::final_status(state_, now), now);
        }
        else
        {
            refuse({unavailable, reason, retry_after}, now);
        }
        return false;
    };
    return std::visit(
        overloaded{[&](stream_origin::any_version)
                   {
                       versions_.clear();
                       return true;
                   },
                   [&](stream_origin::recorded_versions const& it)
                   {
                       versions_ = it.versions;
                       return true;
                   },
                   [&](stream_origin::only_version const& it)
                   {
                       origin_ = it.version;
                       versions_ = {it.version};
                       return true;
                   },
                   [&](stream_origin::version_gone const& it)
                   {
                       // Versions stay recorded for a while after their last
                       // target, so others may list targets of this one.
                       auto const unheard =
                           !host_.list_is_current ||
                           !host_.record_confirmation.complete() ||
                           !recorded.contains(it.version);
                       return end(refusal_reason::version_gone,
                                  unheard ? std::optional{retry_after_start}
                                          : std::nullopt);
                   },
                   [&](stream_origin::version_unknown)
                   {
                       auto const may_learn =
                           !host_.origins_complete || !host_.list_is_current ||
                           stored_versions_ || recorded.empty();
                       return end(refusal_reason::version_unknown,
                                  may_learn ? std::optional{retry_after_start}
                                            : std::nullopt);
                   },
                   [&](stream_origin::record_unconfirmed)
                   {
                       return end(refusal_reason::version_unknown,
                                  host_.record_confirmation.expected_wait(now) +
                                      retry_after_start);
                   },
                   [&](stream_origin::record_needed)
                   {
                       read_versions();
                       return false;
                   }},
        choice);
}

void relay::read_versions()
{
    host_.read_versions(admitted_.service->id,
                        [self = weak_from_this()](
                            stream_origin::versions_by_service const& stored)
                        {
                            auto const it = self.lock();
                            if (!it || !it->host_.relays.contains(it.get()))
                            {
                                return;
                            }
                            it->on_records_read(stored, net::event_loop::now());
                        });
}

void relay::on_records_read(stream_origin::versions_by_service const& stored,
                            time_point now)
{
    auto const known = stream_origin::stream_services(
        host_.served_versions.all_recorded(), *table_);
    // A service that this host has not heard of may have begun the stream.
    auto const same = stream_origin::stream_services(stored, *table_) == known;
    auto const& service = admitted_.service->id;
    stored_versions_ = same ? host_.served_versions.recorded(service)
                            : stream_origin::version_set{};
    // Others may have reported it in the meantime.
    if (find_origin(now))
    {
        start_next_attempt(now);
    }
}

auto relay::fixed_version() const -> std::optional<software_version>
{
    if (begun())
    {
        return origin_;
    }
    return sent_version_ && host_.origins.may_be_known_elsewhere(stream_)
               ? sent_version_
               : std::nullopt;
}

auto relay::place_attempt(time_point now)
    -> std::optional<directory::listed_target>
{
    auto it = placement(now);
    if (!begun() && sent_version_ && versions_.size() != 1)
    {
        auto same = it;
        same.versions = {*sent_version_};
        auto target = dispatch::place(view(), same, now, host_.random);
        if (target && !was_tried(target->id))
        {
            return target;
        }
    }
    auto target = dispatch::place(view(), it, now, host_.random);
    if (!target && !versions_otherwise_.empty())
    {
        it.versions = versions_otherwise_;
        target = dispatch::place(view(), it, now, host_.random);
    }
    auto const fixed = fixed_version();
    if (target && fixed && target->version != *fixed)
    {
        // The client begins anew at any version by a request of its own.
        log::write(log::level::info, "stream_kept_from_version",
                   {{"request", metadata_.id.value()},
                    {"version", fixed->value()},
                    {"other_version", target->version.value()},
                    {"attempts", std::to_string(attempts_)}});
        return std::nullopt;
    }
    return target;
}

auto relay::was_tried(target_id const& id) const -> bool
{
    return std::find(tried_targets_.begin(), tried_targets_.end(), id) !=
           tried_targets_.end();
}

void relay::record_origin(time_point now)
{
    if (streaming() && state_.resumable)
    {
        sent_version_ = current_->target.version;
        host_.origins.record(stream_, {admitted_.service->id, *sent_version_},
                             now);
    }
}

} // namespace primrosedeal::gateway
