#pragma once

namespace knapweed::state {

/** Table with one row, the configuration of the current version. */
inline constexpr const char* configuration_table = "configuration";
inline constexpr const char* current_key = "current";
/** Table with one row for each version; the keys are the versions. */
inline constexpr const char* history_table = "configuration_history";
/** Table with one row for each lease; the keys are the names of the leases. */
inline constexpr const char* lease_table = "leases";
inline constexpr const char* snapshot_object = "snapshots/configuration";
/** Table with the version of the latest snapshot; only the holder of the lease may write it. */
inline constexpr const char* snapshot_table = "snapshots";

} // namespace knapweed::state
