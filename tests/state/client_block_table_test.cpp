#include "core/core.h"
#include "state/client_block_table.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using state::client_block;
using state::client_block_table;

namespace {

/** Reference look-up: the longest prefix among all blocks, and the last one of equal blocks. */
std::optional<state::site_index> naive_find(const std::vector<client_block>& blocks, std::uint32_t address)
{
    std::optional<client_block> best;
    for (const auto& block : blocks) {
        const auto size = std::uint64_t{1} << (32U - block.prefix_bits);
        if (address < block.first_address || address - block.first_address >= size)
            continue;
        if (!best || block.prefix_bits >= best->prefix_bits)
            best = block;
    }
    if (!best)
        return std::nullopt;
    return best->site;
}

std::vector<client_block> random_blocks(core::random_source& random, std::size_t count)
{
    std::vector<client_block> blocks;
    for (std::size_t i = 0; i < count; ++i) {
        const auto bits = static_cast<std::uint8_t>(random.below(33));
        const auto mask = bits == 0 ? 0U : ~std::uint32_t{0} << (32U - bits);
        const auto spread = random.below(2) == 0
                                ? 0xffffffffU
                                : 0x00070fffU; // nested blocks in a small part of the address space
        blocks.push_back({static_cast<std::uint32_t>(random.next()) & spread & mask, bits,
                          static_cast<state::site_index>(random.below(320))});
    }
    return blocks;
}

} // namespace

// Guards against a client that is steered by a shorter prefix than the longest one, at any edge of a block.
TEST_CASE("a look-up finds the same longest prefix as a search of all blocks")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        core::random_source random{seed};
        const auto blocks = random_blocks(random, 1 + random.below(60));
        const auto table = client_block_table::build(blocks);
        REQUIRE(table);
        for (const auto& block : blocks) {
            const auto last = block.first_address +
                              static_cast<std::uint32_t>((std::uint64_t{1} << (32U - block.prefix_bits)) - 1);
            for (const auto address : {block.first_address, block.first_address - 1, last, last + 1}) {
                INFO("seed " << seed << " address " << address);
                REQUIRE(table->find(address) == naive_find(blocks, address));
            }
        }
    }
}

// Guards against a table that accepts a block with bits after its prefix and steers other clients by it.
TEST_CASE("a malformed block is rejected")
{
    REQUIRE_FALSE(client_block_table::build({{0x0a000001, 24, 3}}));
    REQUIRE_FALSE(client_block_table::build({{0, 33, 3}}));
}

// Guards against a table that uses more than 16 bytes per block at the target size of 780,000 blocks.
TEST_CASE("780,000 blocks use at most 16 bytes each")
{
    std::vector<client_block> blocks;
    for (std::uint32_t i = 0; i < 780000; ++i)
        blocks.push_back({i * 5000U / 256U * 256U, 24, static_cast<state::site_index>(i % 320)});
    const auto table = client_block_table::build(blocks);
    REQUIRE(table);
    REQUIRE(table->memory_bytes() <= 16 * blocks.size());
}

// Guards against malformed text that is accepted as an address.
TEST_CASE("only dotted IPv4 addresses are parsed")
{
    REQUIRE(state::parse_address("10.1.2.255") == 0x0a0102ffU);
    for (const auto* text :
         {"", "1.2.3", "1.2.3.4.5", "256.1.1.1", "1..2.3", "1.2.3.4 ", "-1.2.3.4", "0001.2.3.4"})
        REQUIRE_FALSE(state::parse_address(text));
}
