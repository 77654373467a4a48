#include "replication/byte_delta.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace knapweed::replication {

namespace {

/** Ranges in common that are shorter than two blocks may be missed. */
constexpr std::size_t block_bytes = 32;

/** Polynomial hash of a block that moves through a text byte by byte. */
class rolling_hash {
public:
    explicit rolling_hash(std::string_view block)
    {
        for (const char c : block)
            value_ = value_ * multiplier + static_cast<unsigned char>(c);
    }

    void move(char leaving, char entering)
    {
        value_ = (value_ - static_cast<unsigned char>(leaving) * leading_power()) * multiplier +
                 static_cast<unsigned char>(entering);
    }
    [[nodiscard]] std::uint64_t value() const noexcept { return value_; }

private:
    static constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15ULL;

    static constexpr std::uint64_t leading_power()
    {
        std::uint64_t power = 1;
        for (std::size_t i = 1; i < block_bytes; ++i)
            power *= multiplier;
        return power;
    }

    std::uint64_t value_ = 0;
};

/** The blocks of a text by their hash. Of blocks that share an entry, the first one is kept. */
class block_index {
public:
    explicit block_index(std::string_view text)
        : text_(text), entries_(std::bit_ceil(2 * (text.size() / block_bytes) + 1), no_block)
    {
        for (std::size_t at = 0; at + block_bytes <= text.size(); at += block_bytes) {
            auto& entry = entry_of(rolling_hash(text.substr(at, block_bytes)).value());
            if (entry == no_block)
                entry = at;
        }
    }

    /** @returns the offset of a block with this content, or nothing. */
    [[nodiscard]] std::optional<std::size_t> find(std::uint64_t hash, std::string_view block)
    {
        const auto at = entry_of(hash);
        if (at == no_block || text_.substr(at, block_bytes) != block)
            return std::nullopt;
        return at;
    }

private:
    static constexpr std::size_t no_block = static_cast<std::size_t>(-1);

    std::size_t& entry_of(std::uint64_t hash)
    {
        constexpr unsigned high_bits = 32;
        return entries_[(hash ^ (hash >> high_bits)) & (entries_.size() - 1)];
    }

    std::string_view text_;
    std::vector<std::size_t> entries_;
};

} // namespace

byte_delta make_delta(std::string_view base, std::string_view target)
{
    byte_delta delta;
    std::size_t inserted_from = 0;
    std::size_t at = 0;
    block_index index(base);
    while (at + block_bytes <= target.size()) {
        rolling_hash hash(target.substr(at, block_bytes));
        auto found = index.find(hash.value(), target.substr(at, block_bytes));
        while (!found && at + block_bytes < target.size()) {
            hash.move(target[at], target[at + block_bytes]);
            ++at;
            found = index.find(hash.value(), target.substr(at, block_bytes));
        }
        if (!found)
            break;
        std::size_t from = *found;
        while (at > inserted_from && from > 0 && base[from - 1] == target[at - 1]) {
            --at;
            --from;
        }
        const auto rest = target.substr(at);
        const auto differs =
            std::mismatch(rest.begin(), rest.end(), base.begin() + static_cast<long>(from), base.end());
        const auto copied = static_cast<std::size_t>(differs.first - rest.begin());
        delta.push_back({std::string(target.substr(inserted_from, at - inserted_from)), from, copied});
        at += copied;
        inserted_from = at;
    }
    if (inserted_from < target.size())
        delta.push_back({std::string(target.substr(inserted_from)), 0, 0});
    return delta;
}

std::optional<std::string> apply_delta(std::string_view base, const byte_delta& delta, std::size_t max_bytes)
{
    std::string result;
    for (const auto& part : delta) {
        if (part.copied_from > base.size() || part.copied_bytes > base.size() - part.copied_from ||
            part.inserted.size() + part.copied_bytes > max_bytes - result.size())
            return std::nullopt;
        result += part.inserted;
        result += base.substr(part.copied_from, part.copied_bytes);
    }
    return result;
}

} // namespace knapweed::replication
