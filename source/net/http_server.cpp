#include "net/http_server.h"

#include "net/http_session.h"
#include "net/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace knapweed::net {

namespace {

// Pause after a failed accept: without it, a lack of file descriptors would make accept fail in a tight loop.
constexpr core::milliseconds accept_pause{50};
// Connections above the limit that still get an answer with the refusal `overloaded`; further ones are closed
// at once.
constexpr std::size_t max_connections_being_refused = 64;
constexpr std::size_t min_sessions_for_cleanup = 64;

} // namespace

http_server::http_server(asio::any_io_executor executor, std::shared_ptr<server_context> context)
    : executor_(std::move(executor)), context_(std::move(context)), acceptor_(executor_)
{}

http_server::~http_server() = default;

error_code http_server::listen(const tcp::endpoint& address)
{
    const auto error = open_listener(acceptor_, address);
    if (!error)
        asio::co_spawn(executor_, accept(), asio::detached);
    return error;
}

std::uint16_t http_server::port() const
{
    error_code error;
    return acceptor_.local_endpoint(error).port();
}

asio::awaitable<void> http_server::accept()
{
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(as_result);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            asio::steady_timer pause(executor_, accept_pause);
            co_await pause.async_wait(as_result);
            continue;
        }
        const bool over_limit = context_->session_count >= context_->limits.connections;
        context_->reports.add(over_limit ? counter::connections_refused : counter::connections_accepted);
        if (context_->session_count >= context_->limits.connections + max_connections_being_refused)
            continue; // closes the socket
        const auto session = std::make_shared<http_session>(std::move(socket), context_);
        if (sessions_.size() > min_sessions_for_cleanup && sessions_.size() > 2 * context_->session_count)
            std::erase_if(sessions_, [](const auto& weak_session) { return weak_session.expired(); });
        sessions_.push_back(session);
        asio::co_spawn(executor_, session->run(), asio::detached);
    }
}

void http_server::close_idle()
{
    for (const auto& weak_session : sessions_) {
        if (const auto session = weak_session.lock())
            session->close_if_idle();
    }
}

void http_server::stop()
{
    error_code ignored;
    acceptor_.close(ignored);
    close_idle();
}

} // namespace knapweed::net
