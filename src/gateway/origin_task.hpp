#pragma once

#include "external/key_value.hpp"
#include "gateway/host_state.hpp"
#include "gateway/peer_exchange.hpp"

#include <functional>
#include <optional>
#include <string>

/// Obtains and preserves the origins of streams (`stream_origin`) beyond what
/// digests carry: a host that has started fetches those that another one knows.
/// For the case that all hosts are lost, one host records the versions of each
/// service in the store, and while several versions, or services with streams,
/// are recorded each host writes its own origins there.
namespace primrosedeal::gateway
{

/// What the host knows of the store.
struct store_position
{
    /// The store's entries have been read.
    bool read = false;
    /// Of the entries.
    external::store_era era;
    /// How long the store has answered this host, if it watches the store.
    std::optional<duration> contact;
    /// When an entry was last written; zero if there is none.
    std::function<external::store_revision(std::string const& key)> written_at;
};

class origin_task
{
public:
    origin_task(host_state& host, peer_exchange& peers,
                external::key_value_service& store);
    origin_task(origin_task const&) = delete;
    auto operator=(origin_task const&) -> origin_task& = delete;

    /// Call several times a second.
    void tick(store_position const& store, time_point now);

    /// Applies encoded origins of another host or of an earlier process of this
    /// one. Returns whether they are all that a host may know.
    auto merge(std::string const& bytes, time_point now) -> bool;

    /// The record of a service's versions was written or removed.
    void adopt(versions_entry const& it);

    /// A host has confirmed the records of versions.
    void adopt(confirmation_entry const& it);

    /// The entries of the store were replaced.
    void observe(store_position const& store, time_point now);

    /// What this host has written may be lost; it is written again.
    void on_store_restored(time_point now);

private:
    void fetch(time_point now);
    void on_fetched(host_id const& from,
                    std::optional<std::string> const& bytes, time_point now);
    void on_complete(std::string const& from);
    /// Whether streams may have begun at several services or versions.
    [[nodiscard]] auto may_differ_in_origin() const -> bool;
    void write(time_point now);
    void write_versions(store_position const& store, time_point now);
    void confirm_records(store_position const& store, time_point now);
    void commit(external::transaction const& it, std::string const& what);

    host_state& host_;
    peer_exchange& peers_;
    external::key_value_service& store_;
    /// First call of `tick`.
    std::optional<time_point> started_at_;
    std::optional<time_point> wanted_since_;
    bool fetching_ = false;
    time_point next_write_at_{};
    time_point written_at_{};
};

} // namespace primrosedeal::gateway
