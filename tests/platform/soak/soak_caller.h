#pragma once

#include "gateway_process.h"
#include "request_records.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace knapweed::soak {

/** How a caller differs from others. */
struct caller_habits {
    double share_that_leaves_early = 0.04;
    core::milliseconds longest_pause{40}; ///< between an answer and the next request
};

/** @returns what is wrong with the answer to a request, or an empty text. */
[[nodiscard]] std::string
check_answer(const boost::beast::http::response<boost::beast::http::string_body>& answer,
             const std::string& id);

/** A caller that sends one request after another, keeps its connection open as long as it can, and checks
   each answer. */
class soak_caller {
public:
    using gateway_list = std::vector<std::unique_ptr<gateway_process>>;

    /** @param gateways, @p records and @p history must outlive this object. */
    soak_caller(net::asio::any_io_executor executor, std::string name, const gateway_list& gateways,
                request_records& records, event_history& history, std::uint64_t seed,
                caller_habits habits = {});

    /** Sends requests until `stop`. */
    net::asio::awaitable<void> run();
    void stop() noexcept { stopped_ = true; }
    /** @returns the number of successes since the latest request that failed. */
    [[nodiscard]] unsigned successes_in_a_row() const noexcept { return successes_in_a_row_; }

    /** @returns the times at which no connection to a gateway could be opened. */
    [[nodiscard]] const std::vector<core::milliseconds>& failed_connects() const noexcept
    {
        return failed_connects_;
    }

private:
    net::asio::awaitable<bool> connect();
    net::asio::awaitable<void> exchange();
    [[nodiscard]] std::string make_request(const std::string& id, request_record& record);

    net::asio::any_io_executor executor_;
    std::string name_;
    const gateway_list& gateways_;
    request_records& records_;
    event_history& history_;
    core::random_source random_;
    caller_habits habits_;
    std::unique_ptr<net::tcp::socket> socket_;
    boost::beast::flat_buffer buffer_;
    const gateway_process* gateway_ = nullptr;
    int incarnation_ = 0;
    std::uint64_t sent_ = 0;
    unsigned successes_in_a_row_ = 0;
    std::vector<core::milliseconds> failed_connects_;
    bool stopped_ = false;
};

} // namespace knapweed::soak
