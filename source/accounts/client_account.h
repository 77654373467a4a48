#pragma once

#include "core/core.h"

#include <optional>
#include <string>
#include <vector>

namespace knapweed::accounts {

/** Limit on the requests of one account, over all instances together. */
struct quota {
    double per_second = 0; ///< 0 for no limit
    double burst = 0;      ///< requests that may come at once beyond the rate

    [[nodiscard]] bool is_limited() const noexcept { return per_second > 0; }
};

/** A customer of the operators whose callers identify themselves by API keys. */
struct client_account {
    core::account_id id;
    std::vector<std::string> api_keys;
    std::optional<unsigned> urgency; ///< takes precedence over that of the route; 0 is the most urgent
    quota limit;
    std::vector<core::region_id> allowed_regions; ///< regions of the servers; empty allows all
};

} // namespace knapweed::accounts
