#pragma once

#include "matrix/event_queue.h"
#include "state/platform.h"

namespace knapweed::matrix {

/** The platform: a table with row versions and conditional transactions, objects, and the list of instances.
 */
class fake_store {
public:
    /** `answer_lost` loses the answers of writes after they took effect; `stale_read` returns the value
        before the last write. */
    enum class fault { none, down, slow, answer_lost, stale_read };
    using reply_callback = std::function<void(const state::platform_reply&)>;

    explicit fake_store(event_queue& events) : events_(events) {}

    void set_fault(fault kind) { fault_ = kind; }
    /** Carries out a call; depending on the fault, @p reply may never be called. */
    void call(const state::platform_call& call, const reply_callback& reply);
    /** Writes a row directly, without a call. */
    void put(const std::string& table, const std::string& key, std::string value);
    /** Replaces the list of instances; the caller adds the lag of the real list. */
    void set_instances(std::vector<state::listed_instance> list) { instances_ = std::move(list); }

    std::function<void(const state::platform_operation&)> on_read;    ///< a row was read
    std::function<void(const state::platform_operation&)> on_written; ///< a transaction was committed

private:
    struct row {
        std::uint64_t version = 0;
        std::string value;
    };
    using row_key = std::pair<std::string, std::string>;
    state::platform_reply apply(const state::platform_call& call);
    void transact(const state::row_transaction& change, state::platform_reply& reply);

    event_queue& events_;
    fault fault_ = fault::none;
    std::map<row_key, row> rows_;
    std::map<row_key, row> previous_; ///< value before the last write, for stale reads
    std::map<std::string, std::string> objects_;
    std::vector<state::listed_instance> instances_;
    std::uint64_t next_version_ = 1;
};

} // namespace knapweed::matrix
