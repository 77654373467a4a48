#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace knapweed::core {

/** @returns the xxHash64 of a text; the same on every instance. */
[[nodiscard]] std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);

/** @returns a hash of the parts that also depends on the boundaries between them. */
[[nodiscard]] std::uint64_t hash_parts(std::initializer_list<std::string_view> parts);

/** @returns the fingerprint by which a request that crashes servers is recognised. */
[[nodiscard]] fingerprint fingerprint_of(const service_id& service, std::string_view operation,
                                         std::uint64_t body_hash);

} // namespace knapweed::core
