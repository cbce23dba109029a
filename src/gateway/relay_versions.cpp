#include "core/overloaded.hpp"
#include "gateway/relay.hpp"
#include "log/log.hpp"

#include <utility>

// Keeps a stream at the software version that began it, over the attempts of
// one request and over the requests of its client.
namespace primrosedeal::gateway
{

namespace
{

constexpr auto unavailable = 503;
/// Time in which a host that has started learns of the streams of others.
constexpr auto retry_after_start = duration{500ms};

} // namespace

auto relay::begun() const -> bool
{
    return streaming() && state_.resumable &&
           (state_.answer_started || last_event_.has_value());
}

auto relay::end_without_version(time_point now) -> bool
{
    auto const& service = admitted_.service->id;
    auto const choice = stream_origin::choose_version(
        begun(), origin_, host_.targets.usable(service),
        host_.targets.has_one_version(service,
                                      now - stream_origin::origin_lifetime));
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
             {"origins_complete", host_.origins_complete ? "true" : "false"}});
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
        return true;
    };
    return std::visit(
        overloaded{[&](stream_origin::any_version)
                   {
                       version_.reset();
                       return false;
                   },
                   [&](stream_origin::only_version const& it)
                   {
                       version_ = it.version;
                       return false;
                   },
                   [&](stream_origin::version_gone const&)
                   { return end(refusal_reason::version_gone, {}); },
                   [&](stream_origin::version_unknown)
                   {
                       return end(refusal_reason::version_unknown,
                                  host_.origins_complete
                                      ? std::nullopt
                                      : std::optional{retry_after_start});
                   }},
        choice);
}

void relay::record_origin(time_point now)
{
    if (streaming() && state_.resumable)
    {
        host_.origins.record(stream_, current_->target.version, now);
    }
}

} // namespace primrosedeal::gateway
