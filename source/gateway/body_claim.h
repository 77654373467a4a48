#pragma once

#include "core/core.h"

#include <list>
#include <optional>

namespace knapweed::gateway {

class body_budget;

/** The part of a budget that one body occupies. */
struct body_share {
    std::uint64_t bytes = 0;             ///< claimed
    std::uint64_t arrived = 0;           ///< of the body
    std::optional<std::uint64_t> length; ///< as stated by the caller
    core::duration time_limit{0};        ///< for reading the body
    core::time_point began;              ///< when reading began
    bool whole = false;                  ///< the body has been read
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
