#pragma once

#include "core/core.h"

#include <array>

namespace knapweed::steering {

/** What identifies a request when its caller sends it again: all but its id, which is new each time. The
   texts belong to the request. */
struct request_identity {
    std::string_view host;
    std::string_view method;
    std::string_view target; ///< path and query
    std::string_view body;
    std::string_view caller; ///< address of the caller, without its port
};

/** Two fingerprints of a request: of its content, and of its content and caller.

    A request that crashes servers may do so for every caller, or only with what one caller adds to it. Both
    fingerprints begin with the same hash of host, method and target, so that most requests can be told from
    others without reading their bodies.
*/
struct request_fingerprints {
    core::fingerprint content;
    core::fingerprint content_and_caller;

    [[nodiscard]] std::array<core::fingerprint, 2> all() const { return {content, content_and_caller}; }
};

/** @returns the hash of host, method and target with which the fingerprints of the request begin. */
[[nodiscard]] std::uint32_t target_hash(const request_identity& identity);
/** @returns the hash of host, method and target with which a fingerprint begins. */
[[nodiscard]] std::uint32_t target_hash(core::fingerprint fingerprint);

/** @returns the fingerprints, the same on every instance; takes time in proportion to the body. */
[[nodiscard]] request_fingerprints fingerprints_of(const request_identity& identity);

} // namespace knapweed::steering
