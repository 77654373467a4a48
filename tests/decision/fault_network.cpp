#include "decision/fault_network.h"

namespace knapweed::test {

delivery fault_network::remove(std::size_t index)
{
    auto removed = std::move(deliveries_[index]);
    deliveries_.erase(deliveries_.begin() + static_cast<std::ptrdiff_t>(index));
    return removed;
}

void fault_network::deliver(std::size_t index)
{
    if (!paused(deliveries_[index].target))
        remove(index).arrive();
}

void fault_network::drop(std::size_t index)
{
    if (deliveries_[index].kind == channel::local)
        return;
    const auto removed = remove(index);
    if (removed.lost)
        removed.lost();
}

void fault_network::duplicate(std::size_t index)
{
    if (deliveries_[index].kind == channel::message)
        deliveries_.push_back(deliveries_[index]);
}

void fault_network::delay(std::size_t index)
{
    deliveries_.push_back(remove(index));
}

void fault_network::deliver_all()
{
    for (std::size_t i = 0; i < deliveries_.size();) {
        const bool is_held = paused(deliveries_[i].target);
        deliver(i);
        i = is_held ? i + 1 : 0;
    }
}

} // namespace knapweed::test
