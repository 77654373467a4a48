#include "stand_ins/platform/fault_plan.h"

namespace knapweed::stand_ins {

std::optional<fault_plan> parse_fault_plan(const nlohmann::json& json)
{
    if (!json.is_object())
        return std::nullopt;
    fault_plan plan;
    for (const auto& [name, value] : json.items()) {
        if (name == "delay_ms" && value.is_number_unsigned())
            plan.delay = core::milliseconds{value.get<std::uint32_t>()};
        else if (name == "outage" && value.is_boolean())
            plan.outage = value.get<bool>();
        else if (name == "lose_answers_every" && value.is_number_unsigned())
            plan.lose_answers_every = value.get<std::uint64_t>();
        else if (name == "stale_reads" && value.is_boolean())
            plan.stale_reads = value.get<bool>();
        else
            return std::nullopt;
    }
    return plan;
}

} // namespace knapweed::stand_ins
