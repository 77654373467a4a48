#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace knapweed::state {

/** Index of a site (data centre) in the order of the configuration. */
using site_index = std::uint16_t;

/** A block of client addresses, given by a prefix, and the site nearest to it. */
struct client_block {
    std::uint32_t first_address = 0; ///< IPv4, host byte order; bits after the prefix are 0
    std::uint8_t prefix_bits = 32;   ///< 0 to 32
    site_index site = 0;
};

/** Finds the site for a client address by the longest matching prefix.

    When the table is built, the blocks are flattened into disjoint ranges. A look-up then consists of one
    access to an index by the upper 16 bits of the address and a short binary search. The table uses 6 bytes
    per range and 256 KiB for the index. It is immutable; build a new one to change it.
*/
class client_block_table {
public:
    /** Builds a table. A longer prefix takes precedence over a shorter one, and the last one of equal blocks
        over the others.
        @returns nothing when a block has more than 32 prefix bits or bits set after its prefix. */
    [[nodiscard]] static std::optional<client_block_table> build(std::vector<client_block> blocks);

    /** @returns the site for an address, or nothing when no block contains it. */
    [[nodiscard]] std::optional<site_index> find(std::uint32_t address) const noexcept;

    /** @returns the memory that the table uses, in bytes. */
    [[nodiscard]] std::size_t memory_bytes() const noexcept;

private:
    static constexpr site_index no_site = 0xffff;

    void append_range(std::uint32_t first_address, site_index site);
    void build_index();

    std::vector<std::uint32_t> starts_; ///< first address of each range, ascending, starting with 0
    std::vector<site_index> sites_;     ///< site of each range, or no_site
    std::vector<std::uint32_t> index_;  ///< for each /16 block, the index of the range with its first address
};

/** @returns the address in host byte order, or nothing when the text is not a dotted IPv4 address. */
[[nodiscard]] std::optional<std::uint32_t> parse_address(std::string_view text);

} // namespace knapweed::state
