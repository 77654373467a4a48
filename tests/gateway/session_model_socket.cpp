#include "session_model_socket.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace knapweed::test {

namespace asio = boost::asio;

session_model_socket::session_model_socket(asio::ip::tcp::socket socket) : socket_(std::move(socket))
{
    socket_.non_blocking(true);
    socket_.set_option(asio::ip::tcp::no_delay(true));
}

bool session_model_socket::read(std::string& bytes)
{
    bool any = false;
    std::array<char, 65536> buffer{};
    while (is_open()) {
        boost::system::error_code error;
        const auto read = socket_.read_some(asio::buffer(buffer), error);
        bytes.append(buffer.data(), read);
        if (error == asio::error::would_block)
            return any;
        any = true;
        ended_ = error.failed();
    }
    return any;
}

bool session_model_socket::write(std::string& bytes, std::size_t limit)
{
    if (!socket_.is_open() || bytes.empty() || limit == 0)
        return false;
    boost::system::error_code error;
    const auto written = socket_.write_some(asio::buffer(bytes.data(), std::min(limit, bytes.size())), error);
    bytes.erase(0, written);
    if (error && error != asio::error::would_block)
        bytes.clear(); // the other side has closed
    return written > 0;
}

void session_model_socket::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void session_model_socket::reset()
{
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

bool session_model_socket::has_undelivered()
{
    int bytes = 0;
    return socket_.is_open() && ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

} // namespace knapweed::test
