#pragma once

#include "session_model_socket.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace knapweed::test {

/** What a modelled server sends for one request. */
struct session_model_reply {
    enum class ending { keep, close, reset };

    std::string bytes;
    ending then = ending::keep; ///< after the bytes
    std::string before_next;    ///< sent in front of the answer to the next request of the connection
};

/** A modelled server. It reads requests at once, and sends only as many bytes of its answers as it is told
 * to.
 */
class session_model_server {
public:
    /** Returns the reply to a request. The second argument states whether earlier bytes on the connection
       belong to no request. */
    using script = std::function<session_model_reply(const std::string&, bool)>;

    session_model_server(boost::asio::io_context& io, script reply);

    [[nodiscard]] std::string address() const;
    /** Accepts, reads and sends what it may. @returns whether anything happened. */
    bool move();
    /** @returns the number of connections; those that have ended are included. */
    [[nodiscard]] std::size_t connections() const noexcept { return connections_.size(); }
    /** @returns whether a connection has bytes to send, or its end is due. */
    [[nodiscard]] bool is_answering(std::size_t connection) const;
    /** Allows that further bytes of the answer are sent on a connection. */
    void allow(std::size_t connection, std::size_t bytes) { connections_.at(connection)->allowed += bytes; }
    /** Allows that all answers are sent, present and future ones. */
    void allow_all() { everything_allowed_ = true; }
    /** Ends a connection; without a reset while parts of a whole answer are on their way, which it would
     * drop. */
    void end(std::size_t connection, session_model_reply::ending how);
    /** Sends bytes on a connection that belong to no request. */
    void send_stray(std::size_t connection, const std::string& bytes);

private:
    struct open_connection {
        explicit open_connection(boost::asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}

        session_model_socket socket;
        std::string received;
        std::string unsent;
        std::string before_next;
        session_model_reply::ending then = session_model_reply::ending::keep;
        std::size_t allowed = 0;
        bool strayed = false; ///< bytes that belong to no request were sent
    };

    bool move(open_connection& one);
    bool read_request(open_connection& one);

    script reply_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::unique_ptr<open_connection>> connections_;
    bool everything_allowed_ = false;
};

} // namespace knapweed::test
