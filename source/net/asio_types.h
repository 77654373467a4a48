#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace knapweed::net {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

/** Completion token: the coroutine receives the error code as a value instead of an exception. */
inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

} // namespace knapweed::net
