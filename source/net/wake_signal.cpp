#include "net/wake_signal.h"

namespace knapweed::net {

void wake_signal::notify()
{
    {
        const std::lock_guard lock(mutex_);
        if (notified_)
            return;
        notified_ = true;
    }
    changed_.notify_one();
}

void wake_signal::wait_for(std::chrono::milliseconds limit)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, limit, [this] { return notified_; });
    notified_ = false;
}

} // namespace knapweed::net
