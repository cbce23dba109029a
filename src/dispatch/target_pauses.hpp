#pragma once

#include "core/ids.hpp"
#include "core/random.hpp"
#include "core/units.hpp"
#include "directory/target_directory.hpp"

#include <map>
#include <optional>
#include <vector>

/// Tracks targets that want no requests from this host for a while.
///
/// Load pattern: a target that is overloaded turns requests away and says for
/// how long it wants none. Every host that goes on asking costs it work and
/// tells the callers nothing new. The targets that want none are left out of
/// placement; if all targets of a service do, its callers are told when the
/// first of them may be asked again.
namespace primrosedeal::dispatch
{

/// Callers that were refused together return spread over this time.
constexpr auto pause_return_spread = duration{200ms};

class target_pauses
{
public:
    /// The process of `id` that began at `process_start` wants no request
    /// before `until`. Returns whether that is later than it was known before.
    auto pause(target_id const& id, incarnation process_start, time_point until)
        -> bool;

    /// A new process under the id of a paused one takes requests.
    [[nodiscard]] auto permits(directory::listed_target const& it,
                               time_point now) const -> bool;

    /// When a request that no target takes now may come again; nothing if one
    /// of `targets` takes requests, or if there is none.
    [[nodiscard]] auto
    retry_after(std::vector<directory::listed_target> const& targets,
                random_source& random, time_point now) const
        -> std::optional<duration>;

    void remove_target(target_id const& id);

private:
    struct paused
    {
        incarnation process_start;
        time_point until{};
    };

    /// Time until the target takes requests; zero if it does.
    [[nodiscard]] auto remaining(directory::listed_target const& it,
                                 time_point now) const -> duration;

    std::map<target_id, paused> targets_;
};

} // namespace primrosedeal::dispatch
