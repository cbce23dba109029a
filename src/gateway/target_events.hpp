#pragma once

#include "directory/target_directory.hpp"
#include "gateway/host_state.hpp"

#include <span>

/// What changes of the directory mean to the rest of a host.
namespace primrosedeal::gateway
{

/// Logs `changes`, forgets targets that are gone, has streams replace copies
/// that were there, and settles runs that ended unanswered at them.
/// `store_in_contact` is for the log.
void on_targets_changed(host_state& host,
                        std::span<directory::change const> changes,
                        bool store_in_contact, time_point now);

/// `target` has stated in a response that it leaves.
void on_target_leaving(host_state& host, directory::listed_target const& target,
                       time_point now);

} // namespace primrosedeal::gateway
