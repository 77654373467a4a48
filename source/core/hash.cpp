#include "core/hash.h"

#include <xxhash.h>

namespace knapweed::core {

std::uint64_t hash_text(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t hash_parts(std::initializer_list<std::string_view> parts)
{
    std::uint64_t value = parts.size();
    for (const auto part : parts)
        value = hash_text(part, value);
    return value;
}

fingerprint fingerprint_of(const service_id& service, std::string_view operation, std::uint64_t body_hash)
{
    return {hash_text(operation, hash_text(service.str(), body_hash))};
}

} // namespace knapweed::core
