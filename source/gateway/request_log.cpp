#include "gateway/request_log.h"

namespace knapweed::gateway {

namespace {

void add_place(json_line& line, const steering::send_place& place)
{
    if (place.connection == 0)
        return;
    line.add("connection", place.connection).add("place", place.request);
    if (place.skipped_answers > 0)
        line.add("skipped_answers", place.skipped_answers);
}

} // namespace

void add_plan(json_line& line, const steering::request_plan& plan, core::duration elapsed)
{
    if (plan.matched != nullptr) {
        line.add("route", plan.matched->name)
            .add("service", plan.service.str())
            .add("planned_region", plan.region.str())
            .add_ms("time_limit_ms", plan.answer_by - plan.received);
    }
    if (plan.account != nullptr)
        line.add("account", plan.account->id.str()).add("urgency", plan.urgency());
    if (plan.object_hash != 0)
        line.add("object", plan.object_hash);
    if (plan.fingerprints) {
        line.add("fingerprint", core::to_hex(plan.fingerprints->content.value))
            .add("caller_fingerprint", core::to_hex(plan.fingerprints->content_and_caller.value));
    }
    if (plan.policy)
        line.add("configuration", plan.policy->version);
    line.add_ms("taken_ms", elapsed);
    std::string attempts_json;
    for (const auto& attempt : plan.attempts) {
        json_line attempt_json("attempt");
        attempt_json.add("server", attempt.server.str()).add("occupancy", attempt.occupancy);
        if (attempt.report_age)
            attempt_json.add_ms("report_age_ms", *attempt.report_age);
        attempt_json.add("familiar", attempt.familiar)
            .add("home", attempt.home)
            .add_ms("expected_wait_ms", attempt.expected_wait)
            .add_ms("expected_ms", attempt.expected_time)
            .add("outcome", core::name_of(attempt.outcome))
            .add_ms("taken_ms", attempt.taken);
        if (attempt.connecting != steering::connect_failure::none)
            attempt_json.add("connecting", core::name_of(attempt.connecting));
        add_place(attempt_json, attempt.place);
        attempts_json += (attempts_json.empty() ? "" : ",") + attempt_json.str();
    }
    line.add_raw("attempts", "[" + attempts_json + "]");
    if (plan.relays.empty())
        return;
    std::string relays_json;
    for (const auto& relay : plan.relays) {
        json_line relay_json("relay");
        relay_json.add("instance", relay.instance.str())
            .add("outcome", core::name_of(relay.outcome))
            .add_ms("taken_ms", relay.taken);
        add_place(relay_json, relay.place);
        relays_json += (relays_json.empty() ? "" : ",") + relay_json.str();
    }
    line.add_raw("relays", "[" + relays_json + "]");
}

} // namespace knapweed::gateway
