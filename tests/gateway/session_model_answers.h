#pragma once

#include "core/random_source.h"
#include "session_model.h"
#include "session_model_server.h"

namespace knapweed::test {

/** An answer that a modelled server sends, and what the model has to know of it. */
struct drawn_answer {
    session_model_reply reply;
    model_attempt attempt;
    std::string description; ///< for the list of events
};

/** Draws the answers of modelled servers: whole ones in all forms, broken ones, refusals, bytes that aren't
    HTTP, and late copies. */
class session_model_answers {
public:
    explicit session_model_answers(core::random_source& random) : random_(random) {}

    /** @param large whether the answer is mostly large. */
    [[nodiscard]] drawn_answer draw(const model_request& request, std::size_t attempt, bool large);

private:
    [[nodiscard]] bool chance(std::uint64_t one_in) { return random_.below(one_in) == 0; }
    [[nodiscard]] std::size_t draw_size(bool large);
    [[nodiscard]] drawn_answer draw_refusal(const model_request& request);
    [[nodiscard]] drawn_answer draw_garbage();
    [[nodiscard]] drawn_answer draw_whole(const model_request& request, std::size_t attempt, bool large);
    void add_body(drawn_answer& answer, const std::string& head, bool is_head);
    void break_off(drawn_answer& answer, std::size_t interim_bytes);

    core::random_source& random_;
};

} // namespace knapweed::test
