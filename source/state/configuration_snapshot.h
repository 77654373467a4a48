#pragma once

#include "state/configuration_store.h"
#include "state/lease.h"

namespace knapweed::state {

/** @returns the text of a snapshot: one line with a checksum, then the configuration as JSON. */
[[nodiscard]] std::string encode_snapshot(const wire::configuration& configuration);

/** @returns the configuration of a snapshot, or nothing when the text is truncated or damaged. */
[[nodiscard]] std::optional<wire::configuration> decode_snapshot(std::string_view text);

/** Maintains a snapshot of the configuration in the object store, from which instances start when neither the
    table service nor a peer can be reached.

    The holder of the lease writes a snapshot of new versions. The object store has no conditional writes, so
    the holder first writes a row on condition that it still holds the lease. A holder that is paused between
    the two writes may still overwrite a newer snapshot with an older one. That is harmless: a snapshot is
    read only at start, and the version in force never decreases.

    Call `read` once at start and `tick` at least every 100 ms; `tick` also ticks the lease.
*/
class configuration_snapshot {
public:
    /** The arguments must outlive this object. This object must exist until the client's calls
        have completed. */
    configuration_snapshot(configuration_store& store, lease& snapshot_lease, platform_client& client,
                           const core::clock& time);

    /** Reads the snapshot and offers its configuration to the store. */
    void read();

    /** Writes a snapshot when this instance holds the lease and the version in force has none. */
    void tick();

    /** @returns the highest version of a snapshot that this instance has written or read; 0 for none. */
    [[nodiscard]] std::uint64_t stored_version() const { return stored_version_; }

    static constexpr core::milliseconds write_interval{
        60000}; ///< shortest interval between two snapshots of one holder

private:
    void write_object(const wire::configuration& configuration);

    configuration_store& store_;
    lease& lease_;
    platform_client& client_;
    const core::clock& time_;
    std::uint64_t stored_version_ = 0;
    core::time_point next_write_;
    bool write_in_progress_ = false;
};

} // namespace knapweed::state
