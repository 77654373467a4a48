#include "gateway/request_log.h"

namespace knapweed::gateway {

void add_plan(json_line& line, const steering::request_plan& plan, core::duration taken)
{
    if (plan.matched != nullptr) {
        line.add("route", plan.matched->name)
            .add("service", plan.service.str())
            .add("planned_region", plan.region.str())
            .add_ms("time_limit_ms", plan.answer_by - plan.received);
    }
    if (plan.object_hash != 0)
        line.add("object", plan.object_hash);
    if (plan.policy)
        line.add("configuration", plan.policy->version);
    line.add_ms("taken_ms", taken);
    std::string attempts;
    for (const auto& each : plan.attempts) {
        json_line attempt("attempt");
        attempt.add("server", each.server.str()).add("occupancy", each.occupancy);
        if (each.report_age)
            attempt.add_ms("report_age_ms", *each.report_age);
        attempt.add("familiar", each.familiar)
            .add("home", each.home)
            .add_ms("expected_wait_ms", each.expected_wait)
            .add_ms("expected_ms", each.expected_time)
            .add("outcome", core::name_of(each.outcome))
            .add_ms("taken_ms", each.taken);
        attempts += (attempts.empty() ? "" : ",") + attempt.str();
    }
    line.add_raw("attempts", "[" + attempts + "]");
}

} // namespace knapweed::gateway
