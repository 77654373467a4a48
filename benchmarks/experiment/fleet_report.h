#pragma once

#include <map>
#include <string>

namespace knapweed::experiment {

/** Requests by result. */
struct request_tally {
    double requests = 0;
    double in_target = 0;
    double late = 0;
    double refused = 0; ///< by the instance, and the caller came back in vain
    double failed = 0;

    /** @returns the mean credit of a request: 1 in target, @p late_worth when late. */
    [[nodiscard]] double credit(double late_worth) const
    {
        return requests == 0 ? 0 : (in_target + late * late_worth) / requests;
    }
};

/** How the limits that servers named were kept and used, from three seconds after they were named. */
struct limit_use {
    double greatest_part = 0; ///< of what a limit allows in four seconds: half more, and five requests
    double used_share = 0;    ///< of all that the limits allow over their whole time
    double used_later = 0;    ///< requests per second at each of these servers from two seconds after the end
};

/** What callers got in one run, and what it cost. */
struct fleet_report {
    request_tally all;
    std::map<std::string, request_tally> by_region; ///< region of the caller
    std::map<int, request_tally> by_second;         ///< of the request's first arrival
    double arrivals = 0;                            ///< requests at servers
    double rejected = 0;                            ///< by servers
    double fetches = 0;                             ///< runs that had to fetch their object
    double in_other_region = 0; ///< requests at servers of another region than the caller's
    double messages = 0;        ///< sent between instances
    limit_use limits;
};

} // namespace knapweed::experiment
