#pragma once

#include "core/units.hpp"
#include "directory/target_directory.hpp"
#include "external/key_value.hpp"

#include <cstddef>
#include <optional>

/// Decides whether the records of versions (`served_versions`) can lack a
/// version that streams have begun at.
///
/// Load pattern: all hosts are lost while the store comes back from a copy that
/// is some seconds old. Hosts that start find in it neither the targets nor the
/// versions that were written after the copy was made, and clients resume
/// streams that began at them.
///
/// A version is recorded before streams begin at it, so the records are
/// complete in the era of the store in which they were once complete. A host
/// that has been in contact with the store for `confirmation_delay` of an era,
/// in which live targets write their entries again, confirms that era in the
/// store. Every host relies on the records only in the era that is confirmed;
/// without a restoration a host that starts finds the confirmation there.
namespace primrosedeal::stream_origin
{

/// Time in which live targets write their entries again, and the entries reach
/// the hosts in contact.
constexpr auto confirmation_delay = directory::lapse_grace + duration{300ms};

/// Time that a host waits for each one ahead of it to confirm, and the longest.
constexpr auto confirmation_slot = duration{200ms};
constexpr auto max_confirmation_wait = duration{2s};

/// Time after which a write that has not come back as an entry is repeated.
constexpr auto confirmation_retry = duration{1s};

/// What a host sees of the store.
struct record_view
{
    /// Of the entries that the host holds; 0 if none was read, or if the store
    /// names none: such a store is not restored.
    external::store_era era;
    /// How long the store has answered this host; empty if it does not, or if
    /// this host does not ask it.
    std::optional<duration> contact;
    /// The records have every version that this host knows of.
    bool complete = false;
    /// Hosts in contact that would confirm before this one.
    std::size_t hosts_ahead = 0;
};

class record_confirmation
{
public:
    /// The store has this confirmation.
    void apply(external::store_era confirmed);

    /// Call several times a second, and when entries have been read.
    void observe(record_view const& it, time_point now);

    /// Whether the records that were read in `era` are complete.
    [[nodiscard]] auto complete_in(external::store_era era) const -> bool;

    /// The same for the entries that this host holds.
    [[nodiscard]] auto complete() const -> bool
    {
        return complete_in(view_.era);
    }

    /// The era that this host is to confirm, if any.
    [[nodiscard]] auto next_write(time_point now)
        -> std::optional<external::store_era>;

    /// Time after which a host can have confirmed the present era; zero if it
    /// is confirmed.
    [[nodiscard]] auto expected_wait(time_point now) const -> duration;

private:
    /// How long live targets had to write their entries, as this host knows.
    [[nodiscard]] auto settled_for(time_point now) const -> duration;

    record_view view_;
    std::optional<external::store_era> confirmed_;
    /// First call of `observe` in the present era.
    time_point era_since_{};
    /// When the store began to answer this host.
    std::optional<time_point> contact_since_;
    time_point next_write_at_{};
};

} // namespace primrosedeal::stream_origin
