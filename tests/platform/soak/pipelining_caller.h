#pragma once

#include "soak_caller.h"

#include <deque>

namespace knapweed::soak {

/** A caller that sends further idempotent requests on its connection before the earlier ones are answered,
   and uses the connection until an answer closes it. */
class pipelining_caller {
public:
    /** @param gateways, @p records and @p history must outlive this object. */
    pipelining_caller(net::asio::any_io_executor executor, std::string name,
                      const soak_caller::gateway_list& gateways, request_records& records,
                      event_history& history, std::uint64_t seed);

    /** Sends requests until `stop`. */
    net::asio::awaitable<void> run();
    void stop() noexcept { stopped_ = true; }

private:
    net::asio::awaitable<void> use_connection(const gateway_process& gateway);
    net::asio::awaitable<bool> send_next(net::tcp::socket& socket, const gateway_process& gateway);
    void end_oldest(caller_result result, unsigned status);

    net::asio::any_io_executor executor_;
    std::string name_;
    const soak_caller::gateway_list& gateways_;
    request_records& records_;
    event_history& history_;
    core::random_source random_;
    std::deque<std::string> unanswered_; ///< ids, oldest first
    std::uint64_t sent_ = 0;
    bool stopped_ = false;
};

} // namespace knapweed::soak
