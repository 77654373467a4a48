#include "net/time_limit.h"

namespace knapweed::net {

time_limit::time_limit(const asio::any_io_executor& executor, core::duration limit,
                       std::function<void()> on_expiry)
    : timer_(executor, limit), armed_(std::make_shared<bool>(true)), expired_(std::make_shared<bool>(false))
{
    timer_.async_wait([armed = armed_, expired = expired_, call = std::move(on_expiry)](error_code error) {
        // The handler may already be queued when this object is destroyed, so it checks a flag as well.
        if (error || !*armed)
            return;
        *expired = true;
        call();
    });
}

time_limit::~time_limit()
{
    *armed_ = false;
}

} // namespace knapweed::net
