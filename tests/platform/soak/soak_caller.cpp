#include "soak_caller.h"

#include "net/time_limit.h"
#include "server_stand_in.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace knapweed::soak {

namespace asio = net::asio;
namespace http = boost::beast::http;

namespace {

constexpr core::milliseconds connect_limit{500};
constexpr core::milliseconds answer_limit{2500};
constexpr core::milliseconds time_left{1500}; ///< that a request states
constexpr core::milliseconds pause_after_failed_connect{30};
constexpr double share_of_non_idempotent = 0.4;
constexpr core::milliseconds early{15};
constexpr std::uint64_t largest_body = 20000;

} // namespace

std::string check_answer(const http::response<http::string_body>& answer, const std::string& id)
{
    if (answer["Request-Id"] != id)
        return "the answer has the id " + std::string(answer["Request-Id"]);
    const bool is_signed = answer.count("Server-Seal") > 0;
    const bool is_success = answer.result_int() < 300;
    if (!is_success)
        return is_signed ? "a failure has a server's signature" : "";
    if (!is_signed)
        return "a success has no signature";
    return answer.body() == expected_body(id) ? "" : "a success has another body";
}

soak_caller::soak_caller(asio::any_io_executor executor, std::string name, const gateway_list& gateways,
                         request_records& records, event_history& history, std::uint64_t seed,
                         caller_habits habits)
    : executor_(std::move(executor)), name_(std::move(name)), gateways_(gateways), records_(records),
      history_(history), random_(seed), habits_(habits)
{}

asio::awaitable<void> soak_caller::run()
{
    asio::steady_timer pause(executor_);
    while (!stopped_) {
        if (!socket_ && !co_await connect()) {
            successes_in_a_row_ = 0;
            failed_connects_.push_back(history_.elapsed());
            pause.expires_after(pause_after_failed_connect);
            co_await pause.async_wait(net::as_result);
            continue;
        }
        co_await exchange();
        pause.expires_after(
            core::milliseconds(random_.below(static_cast<std::uint64_t>(habits_.longest_pause.count()))));
        co_await pause.async_wait(net::as_result);
    }
}

asio::awaitable<bool> soak_caller::connect()
{
    gateway_ = gateways_[random_.below(gateways_.size())].get();
    incarnation_ = gateway_->incarnation();
    buffer_.clear();
    socket_ = std::make_unique<net::tcp::socket>(executor_);
    const net::time_limit limit(executor_, connect_limit, [this] { socket_->close(); });
    const auto [error] = co_await socket_->async_connect(gateway_->caller_address(), net::as_result);
    if (error)
        socket_.reset();
    co_return !error;
}

std::string soak_caller::make_request(const std::string& id, request_record& record)
{
    record.idempotent = random_.fraction() >= share_of_non_idempotent;
    record.route = !record.idempotent ? "/once/" : random_.below(2) == 0 ? "/read/" : "/moved/";
    record.gateway = gateway_->place().name;
    record.incarnation = incarnation_;
    std::string text = (record.idempotent ? "GET " : "POST ") + record.route +
                       "x HTTP/1.1\r\nHost: shop.example\r\n" + "Request-Id: " + id +
                       "\r\nDeadline-Remaining: " + std::to_string(time_left.count()) +
                       "\r\nCookie: Affinity-Key=" + std::to_string(random_.below(20)) + "\r\n";
    if (record.idempotent)
        return text + "\r\n";
    const std::string body(random_.below(largest_body), 'b');
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

asio::awaitable<void> soak_caller::exchange()
{
    const auto id = name_ + "-" + std::to_string(++sent_);
    auto& record = records_[id];
    const auto text = make_request(id, record);
    const bool leaves_early = random_.fraction() < habits_.share_that_leaves_early;
    record.sent = history_.elapsed();
    const net::time_limit limit(executor_, leaves_early ? early : answer_limit, [this] { socket_->close(); });
    const auto [write_error, written] =
        co_await asio::async_write(*socket_, asio::buffer(text), net::as_result);
    http::response_parser<http::string_body> parser;
    net::error_code error = write_error;
    if (!error) {
        const auto [read_error, bytes] = co_await http::async_read(*socket_, buffer_, parser, net::as_result);
        error = read_error;
    }
    record.ended = history_.elapsed();
    if (error) {
        record.result = write_error ? caller_result::not_sent : caller_result::closed;
        if (limit.expired())
            record.result = leaves_early ? caller_result::gave_up : caller_result::timed_out;
    }
    else {
        record.result = caller_result::answered;
        record.status = parser.get().result_int();
        record.reason = parser.get()["Knapweed-Reason"];
        record.violation = check_answer(parser.get(), id);
    }
    history_.add("ended", {{"request", id},
                           {"gateway", record.gateway},
                           {"route", record.route},
                           {"sent_ms", record.sent.count()},
                           {"result", static_cast<int>(record.result)},
                           {"status", record.status}});
    const bool success = record.result == caller_result::answered && record.status < 300;
    if (record.result != caller_result::gave_up)
        successes_in_a_row_ = success ? successes_in_a_row_ + 1 : 0;
    if (error || !parser.get().keep_alive())
        socket_.reset();
}

} // namespace knapweed::soak
