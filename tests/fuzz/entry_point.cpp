#include "fuzz/fuzz_target.h"

#include <cstddef>
#include <cstdint>

// libFuzzer prescribes the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    knapweed::fuzz::run_input({reinterpret_cast<const char*>(data), size});
    return 0;
}
