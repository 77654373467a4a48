#include "session_model_schedule.h"

#include <catch2/catch.hpp>

using namespace knapweed::test;

// Guards against answers that are lost, mixed up, cut or repeated, in any order of events on callers'
// connections.
TEST_CASE("callers' connections keep their promises in random orders of events")
{
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        session_model_schedule schedule(seed);
        for (const auto& violation : schedule.play())
            FAIL_CHECK("seed " << seed << ": " << violation);
    }
}
