#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <vector>

namespace knapweed::test {

/** How a delivery is transported, which decides which faults are possible. */
enum class channel {
    message,    ///< may be lost or duplicated
    connection, ///< may break, which the sender may notice
    local       ///< within an instance: no faults
};

/** Something that is on its way to an instance. */
struct delivery {
    std::size_t target = 0; ///< index of the receiving instance
    channel kind = channel::local;
    std::function<void()> arrive;
    std::function<void()> lost; ///< called when the delivery is dropped; may be empty
};

/** Simulated network: holds pending deliveries, which a test delivers, drops, duplicates or delays in any
    order. */
class fault_network {
public:
    void post(delivery posted) { deliveries_.push_back(std::move(posted)); }
    [[nodiscard]] std::size_t pending() const { return deliveries_.size(); }

    /** Delivers one pending delivery. Does nothing while the target is paused. */
    void deliver(std::size_t index);
    /** Removes a delivery and calls its `lost`. Does nothing to a local one. */
    void drop(std::size_t index);
    /** Appends a copy of a message. Does nothing to other deliveries. */
    void duplicate(std::size_t index);
    /** Moves a delivery to the end. */
    void delay(std::size_t index);
    /** Delivers until only deliveries to paused targets are left. */
    void deliver_all();

    void pause(std::size_t target) { paused_.insert(target); }
    void resume(std::size_t target) { paused_.erase(target); }
    [[nodiscard]] bool paused(std::size_t target) const { return paused_.contains(target); }

private:
    delivery remove(std::size_t index);

    std::vector<delivery> deliveries_;
    std::set<std::size_t> paused_;
};

} // namespace knapweed::test
