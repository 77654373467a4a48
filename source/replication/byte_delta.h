#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweed::replication {

/** A part of a delta: bytes that are inserted, followed by a range of the base. */
struct delta_part {
    std::string inserted;
    std::size_t copied_from = 0; ///< offset in the base
    std::size_t copied_bytes = 0;

    friend bool operator==(const delta_part&, const delta_part&) = default;
};

/** The parts that make up a text, given another text as their base. */
using byte_delta = std::vector<delta_part>;

/** Finds the ranges that two texts have in common. It takes time in proportion to the length of both and
   works best if they share long ranges, in whatever order. */
[[nodiscard]] byte_delta make_delta(std::string_view base, std::string_view target);

/** @returns the text that a delta describes, or nothing if a part exceeds the base or the text @p max_bytes.
 */
[[nodiscard]] std::optional<std::string> apply_delta(std::string_view base, const byte_delta& delta,
                                                     std::size_t max_bytes);

} // namespace knapweed::replication
