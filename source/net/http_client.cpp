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
    : executor_(executor), time_(time), connections_(executor, idle_limit, reports, time),
      connect_limit_(connect_limit)
{}

/** Closes the connection of a call when a time limit expires. */
class http_client::call_timer {
public:
    call_timer(const asio::any_io_executor& executor, client_connection& connection, bool limits_whole_call)
        : executor_(executor), connection_(connection), limits_whole_call_(limits_whole_call)
    {}

    /** Starts the time limit of the call, which also applies to the body if it is that of the whole call. */
    void limit_call(core::duration limit) { restart(limit); }
    /** Starts the time limit for the next part of the body. */
    void limit_part(core::duration limit)
    {
        if (!limits_whole_call_)
            restart(limit);
    }
    [[nodiscard]] bool expired() const { return limit_->expired(); }

private:
    void restart(core::duration limit)
    {
        limit_.emplace(executor_, limit, [this] { connection_.close(); });
    }

    asio::any_io_executor executor_;
    client_connection& connection_;
    bool limits_whole_call_;
    std::optional<time_limit> limit_;
};

asio::awaitable<fetch_result> http_client::fetch(std::string address, outgoing_request request,
                                                 core::duration timeout, std::size_t body_limit)
{
    return call(std::move(address), std::move(request), {timeout, timeout, 0, body_limit}, true);
}

asio::awaitable<fetch_result> http_client::fetch(std::string address, outgoing_request request,
                                                 fetch_limits limits)
{
    return call(std::move(address), std::move(request), limits, false);
}

asio::awaitable<fetch_result> http_client::call(std::string address, outgoing_request request,
                                                fetch_limits limits, bool limit_whole_call)
{
    auto connection = connections_.acquire(address, connections_per_address);
    if (!connection)
        co_return fetch_result{};
    call_timer timer(executor_, *connection, limit_whole_call);
    timer.limit_call(limits.answer);
    auto result = co_await exchange(*connection, request, limits, timer);
    result.reused_connection = connection->reused();
    result.timed_out = result.timed_out || timer.expired();
    if (result.status == fetch_status::answered)
        connections_.release(std::move(connection));
    else if (result.timed_out && result.reused_connection)
        connections_.close_idle(address); // what silenced this connection may have silenced the others
    co_return result;
}

asio::awaitable<fetch_result> http_client::exchange(client_connection& connection,
                                                    const outgoing_request& request,
                                                    const fetch_limits& limits, call_timer& timer)
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
    const auto head_error = co_await connection.read_final_head();
    if (head_error)
        co_return result;
    result.http_status = connection.status();
    if (!observed_field_.empty())
        result.observed_field = connection.field(observed_field_);
    const auto body_began = time_.now();
    std::array<char, 4096> buffer{};
    while (!connection.complete()) {
        timer.limit_part(limits.silence);
        const auto read = co_await connection.read_some(buffer);
        if (read.error || result.body.size() + read.bytes > limits.max_body_bytes)
            co_return result;
        result.body.append(buffer.data(), read.bytes);
        const std::chrono::duration<double> taken = time_.now() - body_began - limits.silence;
        if (static_cast<double>(result.body.size()) <
            taken.count() * static_cast<double>(limits.min_body_bytes_per_second)) {
            result.timed_out = true;
            co_return result;
        }
    }
    result.status = fetch_status::answered;
    co_return result;
}

} // namespace knapweed::net
