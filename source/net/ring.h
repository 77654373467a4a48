#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <utility>

namespace knapweed::net {

/** Bounded queue from one producing thread to one consuming thread. Neither thread ever blocks. */
template <typename Item>
class ring {
public:
    explicit ring(std::size_t entries) : entries_(entries), queue_(entries) {}

    /** @returns false, leaving @p item unchanged, when the ring is full. Producing thread only. */
    [[nodiscard]] bool try_push(Item& item)
    {
        if (queue_.write_available() == 0)
            return false;
        return queue_.push(std::move(item));
    }

    /** @returns false when the ring is empty. Consuming thread only. */
    [[nodiscard]] bool try_pop(Item& item) { return queue_.pop(item); }

    /** @returns the number of queued items. Consuming thread only. */
    [[nodiscard]] std::size_t size() const { return queue_.read_available(); }

    /** @returns the capacity. */
    [[nodiscard]] std::size_t entries() const noexcept { return entries_; }

private:
    std::size_t entries_;
    boost::lockfree::spsc_queue<Item> queue_;
};

} // namespace knapweed::net
