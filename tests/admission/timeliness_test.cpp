#include "admission/admission.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace knapweed::admission;
using core::milliseconds;

// Guards against a probability that doesn't follow the time that is left.
TEST_CASE("a request is in time more probably the more time it has")
{
    const milliseconds run(300);
    CHECK(chance_in_time(run, milliseconds(0), milliseconds(300)) == Approx(0.5));
    CHECK(chance_in_time(run, milliseconds(0), milliseconds(600)) > 0.99);
    CHECK(chance_in_time(run, milliseconds(110), milliseconds(300)) < 0.1);
    CHECK(chance_in_time(run, milliseconds(110), milliseconds(500)) <
          chance_in_time(run, milliseconds(6), milliseconds(500)));
}
