#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace knapweed::test {

/** A connection on loopback whose calls never block, so that the model's only thread decides what happens
 * next.
 */
class session_model_socket {
public:
    /** @param socket that is connected. */
    explicit session_model_socket(boost::asio::ip::tcp::socket socket);

    /** Appends what can be read to @p bytes. @returns whether anything was read, the end included. */
    bool read(std::string& bytes);
    /** Sends as much of the first @p limit of @p bytes as the system takes, and removes it. @returns whether
        anything was sent. */
    bool write(std::string& bytes, std::size_t limit);
    void close();
    /** Closes with a reset. */
    void reset();
    /** @returns whether the other side's system has not yet confirmed all that was sent. A reset drops that.
     */
    [[nodiscard]] bool has_undelivered();
    /** @returns whether the connection can still be read. */
    [[nodiscard]] bool is_open() const noexcept { return socket_.is_open() && !ended_; }

private:
    boost::asio::ip::tcp::socket socket_;
    bool ended_ = false;
};

} // namespace knapweed::test
