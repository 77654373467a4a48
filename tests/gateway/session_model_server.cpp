#include "session_model_server.h"

#include <limits>

namespace knapweed::test {

using boost::asio::ip::tcp;
using ending = session_model_reply::ending;

session_model_server::session_model_server(boost::asio::io_context& io, script reply)
    : reply_(std::move(reply)), acceptor_(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
{
    acceptor_.non_blocking(true);
}

std::string session_model_server::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

bool session_model_server::move()
{
    bool any = false;
    for (boost::system::error_code error; !error;) {
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (!error)
            connections_.push_back(std::make_unique<open_connection>(std::move(socket)));
        any = any || !error;
    }
    for (const auto& one : connections_)
        any = move(*one) || any;
    return any;
}

bool session_model_server::move(open_connection& one)
{
    bool any = one.socket.read(one.received);
    if (!one.socket.is_open()) {
        one.unsent.clear();
        one.socket.close();
        return any;
    }
    if (one.unsent.empty() && one.then == ending::keep)
        any = read_request(one) || any;
    const auto limit = everything_allowed_ ? std::numeric_limits<std::size_t>::max() : one.allowed;
    const auto before = one.unsent.size();
    any = one.socket.write(one.unsent, limit) || any;
    one.allowed -= std::min(one.allowed, before - one.unsent.size());
    if (one.unsent.empty() && one.then != ending::keep) {
        one.then == ending::close ? one.socket.close() : one.socket.reset();
        any = true;
    }
    if (one.unsent.empty())
        one.allowed = 0;
    return any;
}

bool session_model_server::read_request(open_connection& one)
{
    const auto head_end = one.received.find("\r\n\r\n");
    if (head_end == std::string::npos)
        return false;
    const auto length = one.received.find("Content-Length: ");
    const auto body_bytes = length < head_end ? std::stoul(one.received.substr(length + 16)) : 0;
    const auto bytes = head_end + 4 + body_bytes;
    if (one.received.size() < bytes)
        return false;
    auto reply = reply_(one.received.substr(0, bytes), one.strayed);
    one.received.erase(0, bytes);
    one.unsent = one.before_next + reply.bytes;
    one.before_next = reply.before_next;
    one.then = reply.then;
    return true;
}

bool session_model_server::is_answering(std::size_t number) const
{
    const auto& one = *connections_.at(number);
    return one.socket.is_open() && (!one.unsent.empty() || one.then != ending::keep);
}

void session_model_server::end(std::size_t number, ending how)
{
    auto& one = *connections_.at(number);
    one.unsent.clear();
    const bool with_reset = how == ending::reset && !one.socket.has_undelivered();
    with_reset ? one.socket.reset() : one.socket.close();
}

void session_model_server::send_stray(std::size_t number, const std::string& bytes)
{
    auto& one = *connections_.at(number);
    auto copy = bytes;
    one.strayed = true;
    one.socket.write(copy, copy.size());
}

} // namespace knapweed::test
