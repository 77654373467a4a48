#pragma once

#include "steering/distance_table.h"
#include "steering/request_plan.h"
#include "steering/run_time_estimate.h"
#include "steering/service_state.h"

namespace knapweed::steering {

/** Learns from the answers of servers what the next requests will take: run times by service and region, and
   the size of the answers of each route. */
class answer_estimates {
public:
    /** @returns the expected size of an answer in kilobytes, or nothing before the first one of the route. */
    [[nodiscard]] std::optional<double> kilobytes(const std::string& route) const;

    /** @returns the run times of the route's requests. Those of a service differ from them if other routes
       lead to it, too. */
    [[nodiscard]] const run_time_estimate& run_times(const route& of);

    /** Records how the latest attempt of a request ended. @param state of the request's service. */
    void record(const request_plan& plan, const backend_server& server, const attempt_result& result,
                const distance_table& distances, service_state& state);

private:
    std::unordered_map<std::string, double> kilobytes_;            ///< by route name
    std::unordered_map<std::string, run_time_estimate> run_times_; ///< by route name
};

} // namespace knapweed::steering
