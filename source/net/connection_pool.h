#pragma once

#include "core/core.h"
#include "net/client_connection.h"
#include "net/metrics.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace knapweed::net {

/** Client connections by address, kept open for reuse. Used by one thread only. */
class connection_pool {
public:
    /** @param idle_limit time after which an idle connection is closed, unless `release` sets another;
        keep it well below the idle limit of the other side, so that a reused connection is rarely one that
        the other side has just closed. @param time must outlive this object. */
    connection_pool(asio::any_io_executor executor, core::duration idle_limit, counter_sink& reports,
                    const core::clock& time);

    /** @param limit of open connections to the address. @param longest_idle a connection that was idle for
        longer is not reused for this request. @param id_hash of the request's id, if answers repeat the id: a
        connection carries an id once, since a late copy of the first answer could pass for the second one.
        @returns an idle connection that is still open, or else a new one on which to call `connect`; null
        when @p limit connections are in use or the address is malformed. */
    [[nodiscard]] std::unique_ptr<client_connection>
    acquire(const std::string& address, std::size_t limit,
            core::duration longest_idle = core::duration::max(),
            std::optional<std::uint64_t> id_hash = std::nullopt);

    /** Keeps the connection for reuse if its answer was read to the end; otherwise closes it.
        @param idle_limit of this connection, if its server stated one. */
    void release(std::unique_ptr<client_connection> connection,
                 std::optional<core::duration> idle_limit = std::nullopt);

    /** Closes the idle connections to an address, for instance because the path to it may have changed. */
    void close_idle(const std::string& address);

    /** Closes connections that exceeded their idle limit. Call it about once a second. */
    void close_idle();

private:
    struct address_entry {
        std::shared_ptr<std::size_t> open_count = std::make_shared<std::size_t>(0);
        std::deque<std::unique_ptr<client_connection>> idle; ///< oldest first
    };

    [[nodiscard]] std::unique_ptr<client_connection>
    take_idle(address_entry& entry, core::duration longest_idle, std::optional<std::uint64_t> id_hash);
    [[nodiscard]] std::unique_ptr<client_connection> open_new(const std::string& address,
                                                              address_entry& entry, std::size_t limit);

    asio::any_io_executor executor_;
    core::duration idle_limit_;
    counter_sink& reports_;
    const core::clock& time_;
    std::uint64_t opened_ = 0; ///< connections so far, which are numbered in this order
    std::unordered_map<std::string, address_entry> addresses_;
};

} // namespace knapweed::net
