#pragma once

#include <cstdint>
#include <random>

namespace knapweed::core {

/** Pseudo-random number generator; the same seed gives the same sequence. */
class random_source {
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    [[nodiscard]] std::uint64_t next() { return engine_(); }

    /** @returns a number in [0, limit); @p limit must be positive. */
    [[nodiscard]] std::uint64_t below(std::uint64_t limit) { return engine_() % limit; }

    /** @returns a number in [0, 1). */
    [[nodiscard]] double fraction() { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53; }

private:
    std::mt19937_64 engine_;
};

} // namespace knapweed::core
