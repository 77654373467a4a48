#include "state/client_block_table.h"

#include <algorithm>
#include <charconv>

namespace knapweed::state {

namespace {

constexpr std::uint64_t address_space = std::uint64_t{1} << 32U;
constexpr std::size_t index_entries = std::size_t{1} << 16U;

std::uint64_t end_of(const client_block& block)
{
    return block.first_address + (address_space >> block.prefix_bits);
}

bool is_valid(const client_block& block)
{
    if (block.prefix_bits > 32)
        return false;
    const std::uint64_t size = address_space >> block.prefix_bits;
    return block.first_address % size == 0;
}

bool precedes(const client_block& left, const client_block& right)
{
    if (left.first_address != right.first_address)
        return left.first_address < right.first_address;
    return left.prefix_bits < right.prefix_bits;
}

} // namespace

std::optional<client_block_table> client_block_table::build(std::vector<client_block> blocks)
{
    if (!std::all_of(blocks.begin(), blocks.end(), is_valid))
        return std::nullopt;
    std::stable_sort(blocks.begin(), blocks.end(), precedes);

    client_block_table table;
    table.append_range(0, no_site);
    std::vector<client_block> enclosing; // blocks that contain the current address, innermost last
    const auto close_until = [&](std::uint64_t address) {
        while (!enclosing.empty() && end_of(enclosing.back()) <= address) {
            const auto end = end_of(enclosing.back());
            enclosing.pop_back();
            if (end < address_space)
                table.append_range(static_cast<std::uint32_t>(end),
                                   enclosing.empty() ? no_site : enclosing.back().site);
        }
    };
    for (const auto& block : blocks) {
        close_until(block.first_address);
        table.append_range(block.first_address, block.site);
        enclosing.push_back(block);
    }
    close_until(address_space);
    table.build_index();
    return table;
}

std::optional<site_index> client_block_table::find(std::uint32_t address) const noexcept
{
    const std::size_t upper = address >> 16U;
    const auto first = starts_.begin() + index_[upper];
    const auto last = upper + 1 < index_entries ? starts_.begin() + index_[upper + 1] + 1 : starts_.end();
    const auto after = std::upper_bound(first, last, address);
    const auto site = sites_[static_cast<std::size_t>(after - starts_.begin()) - 1];
    if (site == no_site)
        return std::nullopt;
    return site;
}

std::size_t client_block_table::memory_bytes() const noexcept
{
    return starts_.capacity() * sizeof(starts_[0]) + sites_.capacity() * sizeof(sites_[0]) +
           index_.capacity() * sizeof(index_[0]);
}

void client_block_table::append_range(std::uint32_t first_address, site_index site)
{
    if (!starts_.empty() && starts_.back() == first_address) {
        sites_.back() = site;
        return;
    }
    starts_.push_back(first_address);
    sites_.push_back(site);
}

void client_block_table::build_index()
{
    starts_.shrink_to_fit();
    sites_.shrink_to_fit();
    index_.resize(index_entries);
    std::uint32_t range = 0;
    for (std::size_t upper = 0; upper < index_entries; ++upper) {
        const auto first = static_cast<std::uint32_t>(upper << 16U);
        while (range + 1 < starts_.size() && starts_[range + 1] <= first)
            ++range;
        index_[upper] = range;
    }
}

std::optional<std::uint32_t> parse_address(std::string_view text)
{
    std::uint32_t address = 0;
    for (int part = 0; part < 4; ++part) {
        unsigned value = 0;
        const auto* end = text.data() + text.size();
        const auto [rest, error] = std::from_chars(text.data(), end, value);
        if (error != std::errc{} || value > 255 || rest - text.data() > 3)
            return std::nullopt;
        address = (address << 8U) | value;
        text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
        if (part == 3)
            break;
        if (text.empty() || text.front() != '.')
            return std::nullopt;
        text.remove_prefix(1);
    }
    if (!text.empty())
        return std::nullopt;
    return address;
}

} // namespace knapweed::state
