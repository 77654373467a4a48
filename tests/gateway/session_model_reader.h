#pragma once

#include "session_model.h"

#include <string_view>

namespace knapweed::test {

/** Splits the bytes that a caller reads into answers. */
class session_model_reader {
public:
    void append(std::string_view bytes) { unread_.append(bytes); }
    /** Takes the next complete answer off the bytes, and the interim answers before it. @param method of the
        request to which it belongs. @returns nothing when the bytes end before the answer does. */
    [[nodiscard]] std::optional<model_answer> next(const std::string& method);
    /** @returns whether bytes remain that are not a complete answer. */
    [[nodiscard]] bool inside_answer() const noexcept { return !unread_.empty(); }
    /** @returns whether the bytes are not HTTP. */
    [[nodiscard]] bool malformed() const noexcept { return malformed_; }

private:
    [[nodiscard]] std::optional<std::size_t> read_body(std::size_t begin, const std::string& head,
                                                       model_answer& answer);
    [[nodiscard]] std::optional<std::size_t> read_chunks(std::size_t begin, model_answer& answer);

    std::string unread_;
    bool malformed_ = false;
};

} // namespace knapweed::test
