#include "core/ensure.h"

#include <cstdlib>
#include <iostream>

namespace knapweed::core {

void abort_on_broken_invariant(const char* invariant)
{
    std::cerr << "broken invariant: " << invariant << std::endl;
    std::abort();
}

} // namespace knapweed::core
