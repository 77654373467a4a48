#pragma once

#include "core/core.h"
#include "net/asio_types.h"

#include <functional>
#include <memory>

namespace knapweed::net {

/** Calls a function once when a time limit expires, unless this object is destroyed earlier. */
class time_limit {
public:
    time_limit(const asio::any_io_executor& executor, core::duration limit, std::function<void()> on_expiry);
    time_limit(const time_limit&) = delete;
    time_limit& operator=(const time_limit&) = delete;
    ~time_limit();

    [[nodiscard]] bool expired() const noexcept { return *expired_; }

private:
    asio::steady_timer timer_;
    std::shared_ptr<bool> armed_;
    std::shared_ptr<bool> expired_;
};

} // namespace knapweed::net
