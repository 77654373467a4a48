#pragma once

#include "decision/request.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace knapweed::decision {

/** Larger answers are not kept for retries. */
inline constexpr std::size_t max_kept_answer_bytes = std::size_t{64} << 10U;
/** Answers up to this size are sent to the witness at once, larger ones only at a planned stop. */
inline constexpr std::size_t max_witnessed_answer_bytes = std::size_t{4} << 10U;

/** Stores answers by request up to a total size in bytes. The oldest are dropped first. */
template <typename Key, typename Hash = std::hash<Key>>
class kept_answers {
public:
    explicit kept_answers(std::size_t byte_limit) : byte_limit_(byte_limit) {}

    /** Stores an answer unless the key has one already, or the answer is larger than `max_kept_answer_bytes`
        or than the limit for all answers. Drops the oldest answers when the total size would exceed the
        limit. */
    void keep(const Key& key, stored_answer answer)
    {
        const auto size = size_of(answer);
        if (size > max_kept_answer_bytes || size > byte_limit_ || answers_.contains(key))
            return;
        while (bytes_ + size > byte_limit_)
            erase(Key{order_.front()});
        bytes_ += size;
        order_.push_back(key);
        answers_.emplace(key, std::move(answer));
    }

    /** @returns the answer, or nullptr when there is none. */
    [[nodiscard]] const stored_answer* find(const Key& key) const
    {
        const auto found = answers_.find(key);
        return found == answers_.end() ? nullptr : &found->second;
    }

    void erase(const Key& key)
    {
        const auto found = answers_.find(key);
        if (found == answers_.end())
            return;
        bytes_ -= size_of(found->second);
        answers_.erase(found);
        // Answers are erased in roughly the order in which they were stored, so erased keys are mostly at the
        // front.
        while (!order_.empty() && !answers_.contains(order_.front()))
            order_.pop_front();
    }

    /** @returns the total size of all answers in bytes. */
    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

    /** @returns the size of an answer in bytes as it counts towards the limits. */
    [[nodiscard]] static std::size_t size_of(const stored_answer& answer)
    {
        return answer.body.size() + answer.content_type.size();
    }

private:
    std::size_t byte_limit_;
    std::size_t bytes_ = 0;
    std::unordered_map<Key, stored_answer, Hash> answers_;
    std::deque<Key> order_; ///< may hold keys that were erased
};

} // namespace knapweed::decision
