#pragma once

#include <cstddef>

namespace knapweed::fuzz {

/** Counts the bytes that the process allocates while the object exists. One object at a time. */
class allocation_meter {
public:
    allocation_meter();
    allocation_meter(const allocation_meter&) = delete;
    allocation_meter& operator=(const allocation_meter&) = delete;
    ~allocation_meter();

    /** @returns the bytes allocated since the construction, freed ones included. */
    [[nodiscard]] static std::size_t allocated_bytes();
    /** @returns the bytes of the largest block allocated since the construction. */
    [[nodiscard]] static std::size_t largest_block_bytes();
};

} // namespace knapweed::fuzz
