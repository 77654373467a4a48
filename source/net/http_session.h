#pragma once

#include "net/request_head.h"
#include "net/server_context.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

namespace knapweed::net {

/** One incoming connection of a caller, peer or operator. Reads requests and writes their answers, one at a
    time.
*/
class http_session final : public answer_sink, public std::enable_shared_from_this<http_session> {
public:
    http_session(tcp::socket socket, std::shared_ptr<server_context> context);
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;
    ~http_session() override;

    /** Serves requests until the connection ends. */
    asio::awaitable<void> run();

    /** Closes the connection if no request is being read or answered. */
    void close_if_idle();

    asio::awaitable<bool> begin(const streamed_head& head, std::string_view first_data,
                                bool is_last) override;
    asio::awaitable<bool> write(std::string_view data, bool is_last) override;
    void close_connection() override;

private:
    struct incoming_request;
    struct outgoing_stream;

    asio::awaitable<bool> serve_next();
    asio::awaitable<std::optional<whole_answer>> read_request(incoming_request& request);
    asio::awaitable<bool> answer_request(incoming_request& request);
    asio::awaitable<bool> answer_service(incoming_request& request);
    asio::awaitable<bool> answer_lookup(incoming_request& request);
    asio::awaitable<bool> answer_operator(incoming_request& request);
    asio::awaitable<bool> answer_via_decision(std::shared_ptr<exchange> pending, core::duration limit);
    asio::awaitable<bool> refuse(core::refusal_reason reason, const std::string& detail,
                                 core::rank rank = core::rank::standard);
    asio::awaitable<bool> write_whole(whole_answer answer);
    asio::awaitable<void> close_after_error();
    void watch_for_disconnect(std::weak_ptr<exchange> pending);

    std::shared_ptr<server_context> context_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    std::unique_ptr<outgoing_stream> answer_stream_;
    bool idle_ = true;
    bool keep_alive_ = true;
    bool over_limit_ = false; ///< accepted above the connection limit: its request is refused
    bool watching_for_disconnect_ = false;
    bool whole_request_read_ = false;
};

} // namespace knapweed::net
