#pragma once

#include "core/clock.h"
#include "core/random_source.h"
#include "core/rank.h"
#include "stand_ins/http/http_messages.h"

namespace knapweed::stand_ins {

/** One kind of request that the load tool sends. */
struct request_kind {
    std::string service;
    std::string path = "/";
    http::verb method = http::verb::get;
    core::rank rank = core::rank::standard;
    double share = 1; ///< relative to the shares of the other kinds
    bool idempotent = true;
    core::milliseconds timeout{5000};
    std::size_t body_bytes = 0;
    std::optional<std::uint64_t> answer_bytes; ///< sent to the server as query parameter
    std::optional<std::uint64_t> run_ms;       ///< sent to the server as query parameter

    /** @returns the path and query of the request as the server receives them. */
    [[nodiscard]] std::string target() const;
};

using request_mix = std::vector<request_kind>;

/** Parses a mix: `[{"service", "path", "method", "rank", "share", "idempotent", "timeout_ms", "body_bytes",
    "answer_bytes", "run_ms"}]`; all but `service` have defaults.

    @param error receives a message when the mix is invalid and nothing is returned.
*/
[[nodiscard]] std::optional<request_mix> parse_mix(const nlohmann::json& json, std::string& error);

/** Picks a kind of request at random, with a probability in proportion to its share. */
[[nodiscard]] const request_kind& pick_kind(const request_mix& mix, core::random_source& random);

} // namespace knapweed::stand_ins
