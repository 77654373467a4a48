#include "fuzz/fuzz_target.h"
#include "gateway/answer_rules.h"
#include "gateway/message_heads.h"
#include "platform/dialect.h"

#include <cmath>

using namespace knapweed;

namespace {

constexpr std::chrono::hours longest_rest{1};

void parse_value(std::string_view value)
{
    const auto rest = gateway::parse_rest(value);
    fuzz::require(!rest || (rest->count() >= 0 && *rest <= longest_rest), "a rest is at most an hour");
    const auto seconds = gateway::parse_seconds(value);
    fuzz::require(seconds.count() >= 0 && seconds <= longest_rest, "a stated time is at most an hour");
    fuzz::require(rest || seconds == core::duration::zero(), "both read the same numbers");
    const auto idle_time = gateway::usable_idle_time(value);
    fuzz::require(idle_time.count() >= 0 && idle_time <= std::chrono::hours(1),
                  "a connection is kept for an hour at most");
    const auto time = gateway::parse_milliseconds(value);
    fuzz::require(!time || (time->count() >= 0 && *time <= std::chrono::hours(24)),
                  "a time is at most a day");
    const auto limit = platform::parse_request_limit(value);
    fuzz::require(!limit || (std::isfinite(*limit) && *limit >= 0), "a limit is finite");
    fuzz::require(platform::parse_leaving(value) == (value == "1"), "only 1 states that a server leaves");
    if (const auto load = platform::parse_load(value)) {
        const auto text = std::to_string(load->running) + "," + std::to_string(load->waiting) + "," +
                          std::to_string(load->slots);
        const auto again = platform::parse_load(text);
        fuzz::require(again && again->running == load->running && again->waiting == load->waiting &&
                          again->slots == load->slots,
                      "a load is read again from its numbers");
    }
}

} // namespace

// Guards against a field of a server's answer that is read as another value, or as a time that overflows.
void fuzz::run_input(std::string_view input)
{
    const auto line_end = input.find('\n');
    const auto value = input.substr(0, line_end);
    parse_value(value);
    if (line_end == std::string_view::npos)
        return;
    const auto options = input.substr(line_end + 1);
    const bool dropped = gateway::is_hop_by_hop(value, options);
    require(dropped || !gateway::is_hop_by_hop(value, {}), "options only add to the fields that are dropped");
}
