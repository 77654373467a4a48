#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace knapweed::stand_ins {

/** Format of the body of an answer. */
enum class answer_format { bytes, json };

/** Makes an answer body that contains its key, size and checksum, so that the receiver can detect
    a truncated body and an answer to another request.

    `bytes`: the line `key=K bytes=N checksum=H`, then N filler bytes that depend on the key. `json`: the
    same as `{"line": ..., "filler": ...}`.
*/
[[nodiscard]] std::string make_answer_body(std::string_view key, std::size_t filler_bytes,
                                           answer_format format);

/** Result of checking a body: truncated also stands for a checksum that differs, crossed for another key. */
enum class body_verdict { intact, truncated, crossed };

/** Checks that a body was made by `make_answer_body` for the given key and is complete. */
[[nodiscard]] body_verdict check_answer_body(std::string_view body, std::string_view key,
                                             answer_format format);

} // namespace knapweed::stand_ins
