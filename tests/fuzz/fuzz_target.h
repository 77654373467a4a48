#pragma once

#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace knapweed::fuzz {

/** Calls the code under test with one input. Each target defines it. It must behave the same whenever it is
    called with the same input, and ends the process when a property doesn't hold. */
void run_input(std::string_view input);

/** Ends the process, so that the fuzzer keeps the input, unless @p holds. @param property that was violated.
 */
inline void require(bool holds, const char* property)
{
    if (holds)
        return;
    std::fprintf(stderr, "violated: %s\n", property);
    std::abort();
}

} // namespace knapweed::fuzz
