#include "core/core.h"

#include <catch2/catch.hpp>

using namespace knapweed::core;

// Guards against a reason that is added without a name, or that shares its name with another.
TEST_CASE("every reason has a unique name that parses to the same reason")
{
    for (std::size_t i = 0; i < number_of_values<refusal_reason>; ++i) {
        const auto reason = static_cast<refusal_reason>(i);
        REQUIRE(parse_name<refusal_reason>(name_of(reason)) == reason);
    }
    REQUIRE(name_of(refusal_reason::cancelled_by_caller) == "cancelled_by_caller");
    REQUIRE(name_of(unknown_reason::answer_not_kept) == "answer_not_kept");
    REQUIRE(name_of(retry_reason::preempted) == "preempted");
    REQUIRE_FALSE(parse_name<rank>("Urgent"));
}
