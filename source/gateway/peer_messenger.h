#pragma once

#include "gateway/peer_link.h"
#include "steering/steerer.h"

namespace knapweed::gateway {

/** Identity of the instance that sends messages. */
struct peer_identity {
    core::instance_id instance;
    core::region_id region;
    core::incarnation incarnation;
};

/** Sends this instance's status, load and changes of the store to the other instances, and applies the
    messages that arrive from them.

    Call `open` once, then `send_status` about every 500 ms, and run `send_load_periodically` as long as the
    process runs. Owned by the gateway and used by its only thread.
*/
class peer_messenger {
public:
    using status_source = std::function<steering::instance_status()>;
    using change_handler = std::function<void(const steering::table_change&)>;
    using transfer_handler = std::function<void(const replication::table_transfer&)>;
    /** Returns what describes a change in less bytes to those that have the version before, or nothing. */
    using transfer_source =
        std::function<std::optional<replication::table_transfer>(const steering::table_change&)>;

    /** @param steerer must outlive this object. @param status returns the next status message. */
    peer_messenger(const net::asio::any_io_executor& executor, peer_identity own, steering::steerer& steerer,
                   status_source status, net::error_hook on_error);

    /** Binds the socket to @p address and begins to receive. */
    [[nodiscard]] net::error_code open(const net::asio::ip::udp::endpoint& address);
    /** Sets a function that is called with each change of the store that the reader of the region broadcasts.
     */
    void on_table_change(change_handler callback) { on_table_change_ = std::move(callback); }
    /** Sets a function that is called with each transfer of a table. */
    void on_transfer(transfer_handler callback) { on_transfer_ = std::move(callback); }

    /** @returns the number of this instance's next message. */
    [[nodiscard]] std::uint64_t next_sequence() noexcept { return ++sequence_; }
    /** Sends the status to all instances that receive it from this one. */
    void send_status();
    /** Sends what is known of requests under which servers ended, if anything, to all instances that receive
     * the status. */
    void send_crash_reports();
    /** Sends what is known of limits that servers name, if anything, to the same instances. */
    void send_limit_reports();
    /** Sends which servers are known to leave, if any, to the same instances. */
    void send_leaving_reports();
    /** Sends the loads of accounts with quotas, if there are any. */
    void send_account_loads();
    /** Sends a change of the store to the instances of the region, and a status message with the version of
        the change to all instances. A change that does not fit into a datagram, nor does a transfer of it, is
       not sent: the other instances take it from those that have it. */
    void broadcast_change(const steering::table_change& change, const transfer_source& as_transfer);
    /** Sends the number of requests at each server, at the intervals that the steerer chooses. */
    net::asio::awaitable<void> send_load_periodically();

private:
    void receive(const peer_message& message);
    template <typename Report>
    void send_reports(const std::vector<Report>& reports, const std::vector<std::string>& addresses);
    void receive_status(const steering::instance_status& status);
    void receive_load(const steering::instance_load& load);
    void send_load(std::uint64_t round);

    net::asio::any_io_executor executor_;
    peer_identity own_;
    steering::steerer& steerer_;
    status_source status_;
    peer_link link_;
    change_handler on_table_change_;
    transfer_handler on_transfer_;
    std::uint64_t sequence_ = 0;
    std::vector<steering::instance_load::entry> last_sent_load_; ///< the load in the last message sent
};

} // namespace knapweed::gateway
