#pragma once

#include "gateway/gateway.h"
#include "net/http_client.h"
#include "replication/row_archive.h"

namespace knapweed::gateway {

/** Passes the operators' table on between instances: answers calls of others for it, and takes it from others
   when it changes by more than fits into a datagram.

    Run `fetch_copies` as long as the process runs, and call `tick` about every 100 ms. Pass each change of
   the instance's copy to `record`. Used by the gateway's only thread.

    @see steering::copy_source_selector which decides from whom a copy is taken
*/
class table_sharing {
public:
    /** Applies a copy or a change that another instance sent. @param complete all other rows are gone.
        @returns false if it is not newer than the instance's copy, or of another era. */
    using change_handler = std::function<bool(const steering::table_change&, bool complete)>;

    /** @param instance must outlive this object. @param apply is called with what other instances sent. */
    table_sharing(gateway& instance, change_handler apply);

    /** Stores a change that was applied to the instance's copy. @param complete all other rows are gone. */
    void record(const steering::table_change& change, bool complete);
    /** @returns a transfer of a change that was recorded. */
    [[nodiscard]] replication::table_transfer transfer_of(const steering::table_change& change)
    {
        return archive_.transfer_of(change);
    }
    /** Allows copies to be given and taken: the instance has a list of the rows of the era. */
    void set_listed(bool listed) { listed_ = listed; }
    void tick() { signal_.cancel(); }

    net::asio::awaitable<void> fetch_copies();

private:
    enum class fetch_outcome {
        applied,
        outrun,   ///< the instance has got the change in another way meanwhile
        busy,     ///< the other instance sends as many copies as it may
        unusable, ///< the copy is damaged, or based on rows that this instance doesn't have
        failed    ///< there was no copy
    };

    net::asio::awaitable<void> answer(std::shared_ptr<caller_exchange> exchange);
    net::asio::awaitable<fetch_outcome> fetch(const steering::copy_source& source, std::uint64_t after);
    /** @returns whether a transfer could be unpacked and was applied. */
    bool receive(const replication::table_transfer& transfer);

    gateway& instance_;
    change_handler apply_;
    net::http_client http_;
    net::asio::steady_timer signal_; ///< cancelled when a copy may have to be taken
    core::random_source random_;
    replication::row_archive archive_{steering::replicated_table::operators};
    std::size_t copies_being_sent_ = 0;
    bool listed_ = false;
};

} // namespace knapweed::gateway
