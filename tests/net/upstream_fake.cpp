#include "net/upstream_fake.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <sys/socket.h>

namespace knapweed::test {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

const tcp::endpoint any_loopback_port(asio::ip::address_v4::loopback(), 0);

/** Reads one message with Content-Length. @returns the message, or the data read before the connection
    ended. */
std::string read_message(tcp::socket& socket)
{
    std::string text;
    std::size_t message_bytes = 0;
    for (;;) {
        if (const auto head_end = text.find("\r\n\r\n");
            message_bytes == 0 && head_end != std::string::npos) {
            const auto length = text.find("Content-Length: ");
            message_bytes = head_end + 4 + (length < head_end ? std::stoul(text.substr(length + 16)) : 0);
        }
        if (message_bytes != 0 && text.size() >= message_bytes)
            return text;
        std::array<char, 16384> buffer{};
        boost::system::error_code error;
        const auto bytes = socket.read_some(asio::buffer(buffer), error);
        text.append(buffer.data(), bytes);
        if (error)
            return text;
    }
}

} // namespace

upstream_fake::upstream_fake(std::function<scripted_reply(const std::string&)> script)
    : script_(std::move(script)), acceptor_(io_, any_loopback_port), acceptor_thread_([this] { accept(); })
{}

upstream_fake::~upstream_fake()
{
    stopped_ = true;
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR); // ends the blocking accept
    acceptor_thread_.join();
    for (const auto& socket : sockets_)
        ::shutdown(socket->native_handle(), SHUT_RDWR);
    for (auto& thread : threads_)
        thread.join();
}

std::string upstream_fake::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

std::vector<std::string> upstream_fake::requests() const
{
    const std::lock_guard lock(mutex_);
    return requests_;
}

bool upstream_fake::wait_for_requests(std::size_t number) const
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (requests().size() < number && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return requests().size() >= number;
}

bool upstream_fake::wait_for_closed(std::size_t number) const
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (closed_ < number && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return closed_ >= number;
}

void upstream_fake::accept()
{
    while (!stopped_) {
        boost::system::error_code error;
        auto socket = std::make_shared<tcp::socket>(io_);
        acceptor_.accept(*socket, error);
        if (error)
            return;
        ++accepted_;
        sockets_.push_back(socket);
        threads_.emplace_back([this, socket] { serve(*socket); });
    }
}

boost::system::error_code upstream_fake::send(tcp::socket& socket, const scripted_reply& reply) const
{
    boost::system::error_code error;
    const auto piece_bytes = reply.bytes_per_second == 0 ? reply.bytes.size() : reply.bytes_per_second / 50;
    std::string_view rest = reply.bytes;
    while (!rest.empty() && !error && !stopped_) {
        const auto piece = rest.substr(0, std::max<std::size_t>(piece_bytes, 1));
        asio::write(socket, asio::buffer(piece.data(), piece.size()), error);
        rest.remove_prefix(piece.size());
        if (reply.bytes_per_second != 0)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return error;
}

void upstream_fake::serve(tcp::socket& socket)
{
    boost::system::error_code error;
    std::string before_next;
    while (!error && !stopped_) {
        const auto request = read_message(socket);
        if (request.empty())
            break;
        {
            const std::lock_guard lock(mutex_);
            requests_.push_back(request);
        }
        auto reply = script_(request);
        reply.bytes.insert(0, before_next);
        before_next = reply.before_next;
        error = send(socket, reply);
        while (!reply.endless.empty() && !error && !stopped_)
            asio::write(socket, asio::buffer(reply.endless), error);
        if (reply.hang)
            continue;
        if (reply.close)
            break;
    }
    ::shutdown(socket.native_handle(), SHUT_RDWR);
    ++closed_;
}

std::string make_reply(const std::string& status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

test_client::test_client(std::uint16_t port) : socket_(io_)
{
    socket_.connect({asio::ip::address_v4::loopback(), port});
}

void test_client::send(const std::string& bytes)
{
    boost::system::error_code ignored; // the server may refuse and close early
    asio::write(socket_, asio::buffer(bytes), ignored);
}

std::string test_client::read_answer()
{
    return read_message(socket_);
}

std::string test_client::read_to_end()
{
    std::string text;
    boost::system::error_code error;
    asio::read(socket_, asio::dynamic_buffer(text), error);
    return text;
}

std::size_t test_client::count_bytes(std::size_t limit)
{
    std::vector<char> buffer(1U << 16U);
    std::size_t total = 0;
    boost::system::error_code error;
    while (!error && total < limit)
        total += socket_.read_some(asio::buffer(buffer), error);
    return total;
}

void test_client::finish_sending()
{
    boost::system::error_code ignored; // the server may have closed already
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void test_client::close()
{
    socket_.close();
}

} // namespace knapweed::test
