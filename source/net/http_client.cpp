#include "net/http_client.h"

#include "net/time_limit.h"

#include <array>

namespace knapweed::net {

namespace {

constexpr std::size_t connections_per_address = 64;

} // namespace

http_client::http_client(const asio::any_io_executor& executor, core::duration idle_limit,
                         counter_sink& reports, const core::clock& time,
                         std::optional<core::duration> connect_limit)
    : executor_(executor), connections_(executor, idle_limit, reports, time), connect_limit_(connect_limit)
{}

asio::awaitable<fetch_result> http_client::fetch(std::string address, outgoing_request request,
                                                 core::duration timeout, std::size_t body_limit)
{
    auto connection = connections_.acquire(address, connections_per_address);
    if (!connection)
        co_return fetch_result{};
    const time_limit limit(executor_, timeout, [&connection] { connection->close(); });
    auto result = co_await exchange(*connection, request, body_limit);
    result.reused_connection = connection->reused();
    result.timed_out = limit.expired();
    if (result.status == fetch_status::answered)
        connections_.release(std::move(connection));
    co_return result;
}

asio::awaitable<fetch_result> http_client::exchange(client_connection& connection,
                                                    const outgoing_request& request, std::size_t body_limit)
{
    fetch_result result;
    if (!connection.connected()) {
        std::optional<time_limit> limit;
        if (connect_limit_)
            limit.emplace(executor_, *connect_limit_, [&connection] { connection.close(); });
        const auto connect_error = co_await connection.connect();
        if (connect_error)
            co_return result;
    }
    const auto written = co_await connection.write(request);
    result.bytes_sent = written.bytes;
    if (written.bytes == 0)
        co_return result;
    result.status = fetch_status::lost;
    if (written.error)
        co_return result;
    const auto head_error = co_await connection.read_head();
    if (head_error)
        co_return result;
    result.http_status = connection.status();
    std::array<char, 4096> buffer{};
    while (!connection.complete()) {
        const auto read = co_await connection.read_some(buffer);
        if (read.error || result.body.size() + read.bytes > body_limit)
            co_return result;
        result.body.append(buffer.data(), read.bytes);
    }
    result.status = fetch_status::answered;
    co_return result;
}

} // namespace knapweed::net
