#include "gateway/caller_listener.h"

#include "net/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace knapweed::gateway {

namespace asio = net::asio;

namespace {

/** Pause after a failed accept: without free file descriptors the next attempt would fail again at once. */
constexpr core::milliseconds accept_pause{20};
/** A connection that has been in use or opened more recently isn't closed for another one. */
constexpr core::duration min_standstill = core::milliseconds(500);

} // namespace

caller_listener::caller_listener(asio::any_io_executor executor, std::shared_ptr<session_context> context,
                                 std::size_t max_sessions)
    : executor_(std::move(executor)), context_(std::move(context)), max_sessions_(max_sessions),
      acceptor_(executor_)
{}

net::error_code caller_listener::listen(const net::tcp::endpoint& address)
{
    const auto error = net::open_listener(acceptor_, address);
    if (!error)
        asio::co_spawn(executor_, net::run_lasting([this] { return accept(); }, context_->on_error),
                       asio::detached);
    return error;
}

std::uint16_t caller_listener::port() const
{
    net::error_code error;
    return acceptor_.local_endpoint(error).port();
}

asio::awaitable<void> caller_listener::accept()
{
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(net::as_result);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            asio::steady_timer pause(executor_, accept_pause);
            co_await pause.async_wait(net::as_result);
            continue;
        }
        start_session(std::move(socket));
    }
}

void caller_listener::start_session(net::tcp::socket socket)
{
    if (context_->sessions >= max_sessions_ && !close_unused_session()) {
        context_->counters.add(net::counter::connections_refused);
        return; // closes the socket
    }
    context_->counters.add(net::counter::connections_accepted);
    const auto session = std::make_shared<caller_session>(std::move(socket), context_);
    sessions_.push_back(session);
    asio::co_spawn(executor_, session->run(), [session](const std::exception_ptr& error) {
        if (error)
            session->fail(error);
    });
}

bool caller_listener::close_unused_session()
{
    std::shared_ptr<caller_session> longest;
    auto longest_time = min_standstill;
    for (const auto& weak_session : sessions_) {
        const auto session = weak_session.lock();
        const auto time = session ? session->standstill() : std::nullopt;
        if (!time || *time < longest_time)
            continue;
        longest_time = *time;
        longest = session;
    }
    if (longest)
        longest->close();
    return longest != nullptr;
}

/** Accepts the connections that the system has established but that no accept has returned yet. Closing the
   listening socket would reset them, with the requests that their callers have already sent. */
void caller_listener::accept_established()
{
    net::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        net::tcp::socket socket(executor_);
        acceptor_.accept(socket, error);
        if (!error)
            start_session(std::move(socket));
    }
}

void caller_listener::tick()
{
    std::erase_if(sessions_, [](const auto& weak_session) {
        const auto session = weak_session.lock();
        if (session)
            session->check_timeouts();
        return session == nullptr;
    });
}

void caller_listener::stop_accepting()
{
    net::error_code ignored;
    acceptor_.cancel(ignored);
    accept_established();
    acceptor_.close(ignored);
    close_idle_sessions();
}

void caller_listener::close_idle_sessions()
{
    for (const auto& weak_session : sessions_) {
        if (const auto session = weak_session.lock())
            session->close_if_idle();
    }
}

} // namespace knapweed::gateway
