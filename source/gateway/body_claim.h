#pragma once

#include "core/core.h"

#include <list>
#include <optional>

namespace knapweed::gateway {

class body_budget;

/** The part of a budget that one request occupies: with its head, its body, and the part of its answer that
   the caller has not taken yet. */
struct body_share {
    std::uint64_t bytes = 0;             ///< claimed, with those beside the body
    std::uint64_t beside_body = 0;       ///< claimed for the head
    std::uint64_t arrived = 0;           ///< of the body
    std::optional<std::uint64_t> length; ///< as stated by the caller
    core::duration time_limit{0};        ///< for reading the body
    core::time_point began;              ///< when reading began
    core::time_point progressed;         ///< when something arrived last
    bool whole = false;                  ///< the request has been read
    bool revoked = false;
};

/** Claim of one body to memory, which is given back when the claim ends. */
class body_claim {
public:
    /** A claim that holds nothing. */
    body_claim() = default;
    body_claim(body_claim&& other) noexcept;
    body_claim& operator=(body_claim&& other) noexcept;
    body_claim(const body_claim&) = delete;
    body_claim& operator=(const body_claim&) = delete;
    ~body_claim();

    [[nodiscard]] bool holds() const noexcept { return budget_ != nullptr; }
    /** @returns whether reading the body must end because others need its memory. */
    [[nodiscard]] bool revoked() const;
    /** @returns the bytes claimed, 0 for a claim that holds nothing. */
    [[nodiscard]] std::uint64_t bytes() const;
    /** Claims more for a body that is being read. @param arrived bytes of the body so far. @param ahead bytes
       that the next read may add at most. @returns false when they don't fit, or the claim is revoked. */
    [[nodiscard]] bool grow(std::uint64_t arrived, std::uint64_t ahead, core::time_point now);
    /** Changes what is claimed beside the body, while a head is read or an answer is held.
        @returns false, and changes nothing, when it doesn't fit or the claim is revoked. */
    [[nodiscard]] bool cover(std::uint64_t bytes, core::time_point now);
    /** Claims the memory of the body that follows the head. @param length as stated; none of a body in
       chunks.
        @param time_limit for reading it. @returns false when it doesn't fit. */
    [[nodiscard]] bool begin_body(std::optional<std::uint64_t> length, core::duration time_limit,
                                  core::time_point now);
    /** Gives back the memory of the body, and keeps what is claimed beside it. */
    void drop_body();
    /** Records that the body has been read: it keeps its memory until the claim ends. */
    void body_is_whole();
    /** Gives the memory back. */
    void end();

private:
    friend class body_budget;

    body_claim(body_budget& budget, std::list<body_share>::iterator share);

    body_budget* budget_ = nullptr; ///< null when nothing is held
    std::list<body_share>::iterator share_;
};

} // namespace knapweed::gateway
