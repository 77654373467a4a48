#include "net/connection_pool.h"

#include "net/address.h"

namespace knapweed::net {

connection_pool::connection_pool(asio::any_io_executor executor, core::duration idle_limit,
                                 counter_sink& reports, const core::clock& time)
    : executor_(std::move(executor)), idle_limit_(idle_limit), reports_(reports), time_(time)
{}

std::unique_ptr<client_connection> connection_pool::acquire(const std::string& address, std::size_t limit,
                                                            core::duration longest_idle,
                                                            std::optional<std::uint64_t> id_hash)
{
    auto& entry = addresses_[address];
    auto connection = take_idle(entry, longest_idle, id_hash);
    if (!connection)
        connection = open_new(address, entry, limit);
    if (connection && id_hash)
        connection->carried().add(*id_hash);
    return connection;
}

std::unique_ptr<client_connection> connection_pool::take_idle(address_entry& entry,
                                                              core::duration longest_idle,
                                                              std::optional<std::uint64_t> id_hash)
{
    const auto now = time_.now();
    auto& idle = entry.idle;
    for (auto position = idle.end(); position != idle.begin();) {
        --position;
        if ((*position)->idle_time(now) > longest_idle)
            break; // the remaining connections have been idle for longer
        if (id_hash && (*position)->carried().contains(*id_hash))
            continue;
        auto connection = std::move(*position);
        position = idle.erase(position);
        if (!connection->idle_too_long(now) && connection->open_and_silent())
            return connection;
        reports_.add(counter::upstream_connections_stale);
    }
    return nullptr;
}

std::unique_ptr<client_connection> connection_pool::open_new(const std::string& address, address_entry& entry,
                                                             std::size_t limit)
{
    const auto in_use = *entry.open_count - entry.idle.size();
    if (in_use >= limit) {
        reports_.add(counter::upstream_connections_limited);
        return nullptr;
    }
    const auto remote = parse_address(address);
    if (!remote)
        return nullptr;
    // Idle connections that the request can't use make room for a new one.
    while (*entry.open_count >= limit)
        entry.idle.pop_front();
    reports_.add(counter::upstream_connections_opened);
    ++*entry.open_count;
    return std::make_unique<client_connection>(executor_, ++opened_, address, *remote, entry.open_count);
}

void connection_pool::release(std::unique_ptr<client_connection> connection,
                              std::optional<core::duration> idle_limit)
{
    if (!connection || !connection->reusable())
        return;
    auto& entry = addresses_[connection->address()];
    connection->rest(time_.now(), idle_limit.value_or(idle_limit_));
    entry.idle.push_back(std::move(connection));
}

void connection_pool::close_idle(const std::string& address)
{
    if (const auto found = addresses_.find(address); found != addresses_.end())
        found->second.idle.clear();
}

void connection_pool::close_idle()
{
    const auto now = time_.now();
    for (auto position = addresses_.begin(); position != addresses_.end();) {
        auto& entry = position->second;
        std::erase_if(entry.idle, [now](const auto& connection) { return connection->idle_too_long(now); });
        position = *entry.open_count == 0 ? addresses_.erase(position) : std::next(position);
    }
}

} // namespace knapweed::net
