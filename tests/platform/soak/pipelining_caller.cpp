#include "pipelining_caller.h"

#include "net/time_limit.h"
#include "server_stand_in.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace knapweed::soak {

namespace asio = net::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t most_unanswered = 3;
constexpr core::milliseconds connect_limit{500};
constexpr core::milliseconds answer_limit{2500};
constexpr core::milliseconds time_left{1200}; ///< that a request states
constexpr core::milliseconds pause_after_failed_connect{30};
constexpr std::uint64_t longest_pause_ms = 20; ///< between an answer and the next request

} // namespace

pipelining_caller::pipelining_caller(asio::any_io_executor executor, std::string name,
                                     const soak_caller::gateway_list& gateways, request_records& records,
                                     event_history& history, std::uint64_t seed)
    : executor_(std::move(executor)), name_(std::move(name)), gateways_(gateways), records_(records),
      history_(history), random_(seed)
{}

asio::awaitable<void> pipelining_caller::run()
{
    asio::steady_timer pause(executor_);
    while (!stopped_) {
        co_await use_connection(*gateways_[random_.below(gateways_.size())]);
        pause.expires_after(pause_after_failed_connect);
        co_await pause.async_wait(net::as_result);
    }
}

asio::awaitable<void> pipelining_caller::use_connection(const gateway_process& gateway)
{
    net::tcp::socket socket(executor_);
    {
        const net::time_limit limit(executor_, connect_limit, [&socket] { socket.close(); });
        const auto [error] = co_await socket.async_connect(gateway.caller_address(), net::as_result);
        if (error)
            co_return;
    }
    boost::beast::flat_buffer buffer;
    asio::steady_timer pause(executor_);
    bool open = true;
    while (open && !stopped_) {
        while (open && unanswered_.size() < most_unanswered)
            open = co_await send_next(socket, gateway);
        if (unanswered_.empty())
            break;
        const net::time_limit limit(executor_, answer_limit, [&socket] { socket.close(); });
        http::response_parser<http::string_body> parser;
        const auto [error, bytes] = co_await http::async_read(socket, buffer, parser, net::as_result);
        if (error) {
            end_oldest(limit.expired() ? caller_result::timed_out : caller_result::closed, 0);
            open = false;
        }
        else {
            const auto id = unanswered_.front();
            records_[id].violation = check_answer(parser.get(), id);
            end_oldest(caller_result::answered, parser.get().result_int());
            open = open && parser.get().keep_alive();
        }
        pause.expires_after(core::milliseconds(random_.below(longest_pause_ms)));
        co_await pause.async_wait(net::as_result);
    }
    while (!unanswered_.empty())
        end_oldest(caller_result::closed, 0);
}

asio::awaitable<bool> pipelining_caller::send_next(net::tcp::socket& socket, const gateway_process& gateway)
{
    const auto id = name_ + "-" + std::to_string(++sent_);
    auto& record = records_[id];
    record.idempotent = true;
    record.route = "/read/";
    record.gateway = gateway.place().name;
    record.incarnation = gateway.incarnation();
    record.sent = history_.elapsed();
    const auto text = "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
                      "\r\nDeadline-Remaining: " + std::to_string(time_left.count()) + "\r\n\r\n";
    unanswered_.push_back(id);
    const auto [error, written] = co_await asio::async_write(socket, asio::buffer(text), net::as_result);
    co_return !error;
}

/** Records how the oldest unanswered request ended. */
void pipelining_caller::end_oldest(caller_result result, unsigned status)
{
    const auto id = unanswered_.front();
    auto& record = records_[id];
    record.ended = history_.elapsed();
    record.result = result;
    record.status = status;
    history_.add("ended", {{"request", id},
                           {"gateway", record.gateway},
                           {"route", record.route},
                           {"sent_ms", record.sent.count()},
                           {"result", static_cast<int>(result)},
                           {"status", status}});
    unanswered_.pop_front();
}

} // namespace knapweed::soak
