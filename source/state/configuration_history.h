#pragma once

#include "config.pb.h"
#include "state/platform_client.h"

#include <functional>
#include <vector>

namespace knapweed::state {

/** Change record of one version. */
struct history_entry {
    std::uint64_t version = 0;
    wire::change_record change;
};

struct history_result {
    bool complete = false;              ///< every requested row was read or does not exist
    std::vector<history_entry> entries; ///< newest first
};

/** Reads the change records of the latest versions of the configuration, one row after the other.

    @param client must exist until @p done has been called.
    @param newest highest version to read.
    @param count maximum number of rows to read.
    @param done called once: inside the client's `tick` or `replied`, or before this function returns when
    there is nothing to read or the client's waiting list is full.
 */
void read_configuration_history(platform_client& client, std::uint64_t newest, std::size_t count,
                                std::function<void(const history_result&)> done);

} // namespace knapweed::state
