#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace knapweed::net {

/** Wakes the single thread that waits on it. A notification that precedes the wait ends that wait at once. */
class wake_signal {
public:
    /** Wakes the waiting thread. May be called from any thread. */
    void notify();

    /** Returns after a notification or after @p limit. */
    void wait_for(std::chrono::milliseconds limit);

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool notified_ = false;
};

} // namespace knapweed::net
