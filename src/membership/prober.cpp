#include "membership/prober.hpp"

// Stages: idle -> direct -> indirect -> idle. A neighbour is declared dead only
// if direct and indirect probes failed for the whole suspicion timeout and at
// least one helper reported a failed probe in the last round. A partition
// between two hosts therefore declares neither of them dead, and a host that
// receives no messages at all declares others dead only after the longer
// unconfirmed timeout.
namespace primrosedeal::membership
{

namespace
{

auto end_round(probe_state& it, probe_settings const& settings, bool alone,
               time_point now) -> probe_step
{
    it.current_stage = probe_state::stage::idle;
    if (it.confirmed_alive)
    {
        it.suspected_since.reset();
        it.next_probe = now + settings.confirmed_alive_pause;
        return probe_step::nothing;
    }
    it.next_probe = now;
    if (it.unanswered_reports == 0 && !alone)
    {
        auto const silent = now - it.last_received;
        return silent >= settings.unconfirmed_suspicion_timeout
                   ? probe_step::declare_dead
                   : probe_step::nothing;
    }
    if (!it.suspected_since)
    {
        it.suspected_since = now;
    }
    return now - *it.suspected_since >= settings.suspicion_timeout
               ? probe_step::declare_dead
               : probe_step::suspect;
}

} // namespace

void reset_silence(probe_state& it, time_point now)
{
    it.current_stage = probe_state::stage::idle;
    it.last_received = now;
    it.suspected_since.reset();
}

auto advance(probe_state& it, probe_settings const& settings, bool alone,
             time_point now) -> probe_step
{
    switch (it.current_stage)
    {
    case probe_state::stage::idle:
        if (now < it.next_probe ||
            now - it.last_received < settings.probe_after)
        {
            return probe_step::nothing;
        }
        it.current_stage = probe_state::stage::direct;
        it.deadline = now + settings.direct_timeout;
        return probe_step::ping;
    case probe_state::stage::direct:
        if (now < it.deadline)
        {
            return probe_step::nothing;
        }
        it.current_stage = probe_state::stage::indirect;
        it.deadline = now + settings.indirect_timeout;
        it.unanswered_reports = 0;
        it.confirmed_alive = false;
        return probe_step::request_indirect_probes;
    case probe_state::stage::indirect:
        return now < it.deadline ? probe_step::nothing
                                 : end_round(it, settings, alone, now);
    }
    return probe_step::nothing;
}

} // namespace primrosedeal::membership
