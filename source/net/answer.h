#pragma once

#include "decision/action.h"
#include "net/client_connection.h"

#include <optional>
#include <string>
#include <vector>

namespace knapweed::net {

/** A complete answer to a caller, peer or operator. */
struct whole_answer {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::vector<header_field> fields;
    std::string body;
};

/** The head of an answer that is streamed from upstream. */
struct streamed_head {
    unsigned status = 200;
    std::string content_type;
    std::optional<std::uint64_t> length; ///< bytes of the body; chunked encoding when absent
};

/** @returns the answer that refuses a request. @param detail explanation for the caller. @param ticket
    sent unless empty. @param retry_after sent unless 0. */
[[nodiscard]] whole_answer make_refusal(core::refusal_reason reason, const std::string& detail,
                                        const std::string& ticket = {}, core::milliseconds retry_after = {});
[[nodiscard]] whole_answer make_answer(const decision::answer_lookup& action);
[[nodiscard]] whole_answer make_answer(const decision::answer_refused& action);
[[nodiscard]] whole_answer make_answer(const decision::answer_unknown& action);
[[nodiscard]] whole_answer make_answer(const decision::answer_stored& action);
/** @returns an answer whose body is the command's result, a JSON object, with the member `accepted` added. */
[[nodiscard]] whole_answer make_answer(const decision::answer_operator& action);

} // namespace knapweed::net
