#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace knapweed::test {

/** The reaction of a fake upstream to one request. */
struct scripted_reply {
    std::string bytes;
    bool close = false;               ///< close the connection after the bytes
    bool hang = false;                ///< send the bytes and answer nothing more until the other side closes
    std::string endless = {};         ///< sent again and again after the bytes until the other side closes
    std::size_t bytes_per_second = 0; ///< rate at which the bytes are sent; 0 for no limit
    std::string before_next = {};     ///< sent on the connection before the reply to its next request
};

/** A server on loopback that answers each request with raw bytes that a function returns. */
class upstream_fake {
public:
    /** @param script receives the head and body of a request and returns the reply. */
    explicit upstream_fake(std::function<scripted_reply(const std::string&)> script);
    upstream_fake(const upstream_fake&) = delete;
    upstream_fake& operator=(const upstream_fake&) = delete;
    ~upstream_fake();

    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::vector<std::string> requests() const;
    /** Waits until @p number requests have arrived. @returns false after 20 s. */
    [[nodiscard]] bool wait_for_requests(std::size_t number) const;

    /** Waits until this server has closed @p number connections. @returns false after 20 s. */
    [[nodiscard]] bool wait_for_closed(std::size_t number) const;
    /** Waits until all accepted connections are closed. @returns false after 20 s. */
    [[nodiscard]] bool wait_for_all_closed() const { return wait_for_closed(accepted_); }

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket& socket);
    [[nodiscard]] boost::system::error_code send(boost::asio::ip::tcp::socket& socket,
                                                 const scripted_reply& reply) const;

    std::function<scripted_reply(const std::string&)> script_;
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopped_ = false;
    std::atomic<std::size_t> accepted_ = 0;
    std::atomic<std::size_t> closed_ = 0;
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_thread_;
};

/** @returns an answer with Content-Length. @param fields lines that end with CRLF. */
[[nodiscard]] std::string make_reply(const std::string& status, const std::string& fields,
                                     const std::string& body);

/** A blocking client connection for tests. */
class test_client {
public:
    explicit test_client(std::uint16_t port);

    /** Writes the bytes; ignores an error, because the server may refuse and close early. */
    void send(const std::string& bytes);
    /** @returns all data up to the end of an answer with Content-Length, or up to the end of the
        connection. */
    [[nodiscard]] std::string read_answer();
    /** @returns all data up to the end of the connection. */
    [[nodiscard]] std::string read_to_end();
    /** Reads until the end of the connection or at least @p limit bytes. @returns the number of bytes read.
     */
    [[nodiscard]] std::size_t count_bytes(std::size_t limit);
    /** Shuts down the sending side: the other side reads the end of the connection after all data. */
    void finish_sending();
    void close();

private:
    boost::asio::io_context io_;
    boost::asio::ip::tcp::socket socket_;
};

} // namespace knapweed::test
