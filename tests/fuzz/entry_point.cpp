#include "fuzz/fuzz_target.h"
#include "fuzz/message_mutator.h"

#include <cstddef>
#include <cstdint>
#include <fstream>

namespace {

/** Runs changed copies of an input, the same ones whenever it is called. Each is written to a file first,
   which has the input that ended the process. */
void run_mutations(const std::string& input, unsigned long count, const char* file)
{
    constexpr std::uint64_t seed = 1;
    knapweed::test::message_mutator mutator(seed);
    for (unsigned long i = 0; i < count; ++i) {
        const auto mutated = mutator.mutate(input);
        std::ofstream(file, std::ios::binary) << mutated;
        knapweed::fuzz::run_input(mutated);
    }
}

} // namespace

// libFuzzer prescribes the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char*>(data), size);
    knapweed::fuzz::run_input(input);
    static const char* const mutations = std::getenv("KNAPWEED_FUZZ_MUTATIONS");
    static const char* const file = std::getenv("KNAPWEED_FUZZ_FILE");
    constexpr int decimal = 10;
    if (mutations != nullptr && file != nullptr)
        run_mutations(std::string(input), std::strtoul(mutations, nullptr, decimal), file);
    return 0;
}
