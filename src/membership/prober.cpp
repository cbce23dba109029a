#include "membership/prober.hpp"

// idle -> direct -> indirect -> idle. A host is declared dead only after
// rounds of both kinds failed for the whole suspicion, and in the last of
// them at least one other host reported the silence too. So a cut link
// between two hosts, or a host that hears nobody, declares nobody dead soon.
namespace primrosedeal::membership
{

namespace
{

auto end_round(probe_state& it, probe_settings const& settings, bool alone,
               time_point now) -> probe_step
{
    it.at = probe_state::stage::idle;
    if (it.vouched)
    {
        it.silent_since.reset();
        it.next_probe = now + settings.vouched_pause;
        return probe_step::nothing;
    }
    it.next_probe = now;
    if (it.unanswered == 0 && !alone)
    {
        auto const silent = now - it.last_heard;
        return silent >= settings.lone_suspicion ? probe_step::declare_dead
                                                 : probe_step::nothing;
    }
    if (!it.silent_since)
    {
        it.silent_since = now;
    }
    return now - *it.silent_since >= settings.suspicion
               ? probe_step::declare_dead
               : probe_step::suspect;
}

} // namespace

void heard(probe_state& it, time_point now)
{
    it.at = probe_state::stage::idle;
    it.last_heard = now;
    it.silent_since.reset();
}

auto advance(probe_state& it, probe_settings const& settings, bool alone,
             time_point now) -> probe_step
{
    switch (it.at)
    {
    case probe_state::stage::idle:
        if (now < it.next_probe || now - it.last_heard < settings.probe_after)
        {
            return probe_step::nothing;
        }
        it.at = probe_state::stage::direct;
        it.deadline = now + settings.direct_timeout;
        return probe_step::ping;
    case probe_state::stage::direct:
        if (now < it.deadline)
        {
            return probe_step::nothing;
        }
        it.at = probe_state::stage::indirect;
        it.deadline = now + settings.indirect_timeout;
        it.unanswered = 0;
        it.vouched = false;
        return probe_step::ask_helpers;
    case probe_state::stage::indirect:
        return now < it.deadline ? probe_step::nothing
                                 : end_round(it, settings, alone, now);
    }
    return probe_step::nothing;
}

} // namespace primrosedeal::membership
