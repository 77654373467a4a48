#pragma once

#include "core/core.h"

#include <optional>
#include <string>
#include <string_view>

namespace knapweed::decision {

/** Wall time in milliseconds, as it is sent between instances. */
using unix_time = std::chrono::sys_time<core::milliseconds>;

/** Binds a request to one incarnation of one instance, the owner, which alone may run it.

    The witness is a second instance, which records the intent to run the request before it runs.
*/
struct ticket {
    core::instance_id owner;
    core::incarnation owner_incarnation;
    core::instance_id witness; ///< empty when the ticket names no witness
    core::incarnation witness_incarnation;
    std::uint64_t serial = 0; ///< distinguishes the tickets of one issuer
    unix_time expiry;

    [[nodiscard]] bool has_witness() const noexcept { return !witness.empty(); }

    bool operator==(const ticket&) const = default;
};

inline constexpr std::size_t max_instance_name_bytes = 64;
inline constexpr std::size_t max_ticket_text_bytes = 256;
/** Latest valid expiry of a ticket. Prevents overflow when durations are added to it. */
inline constexpr unix_time latest_ticket_expiry{core::milliseconds{std::int64_t{1} << 52}};

/** Encodes a ticket as URL-safe text (base64url) with a checksum. Each ticket has exactly one text.

    @returns the text, or an empty string when the ticket is invalid: an owner's name that is empty, a name
        longer than `max_instance_name_bytes`, an owner that is its own witness, or an expiry out of range
*/
[[nodiscard]] std::string encode_ticket(const ticket& value);

/** Parses a ticket from a caller or peer. Accepts only text that `encode_ticket` produces; doesn't throw on
    invalid input.
    @returns the ticket, or nothing when the request must be refused with `damaged_ticket` */
[[nodiscard]] std::optional<ticket> parse_ticket(std::string_view text);

} // namespace knapweed::decision
