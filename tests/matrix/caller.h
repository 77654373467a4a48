#pragma once

#include "matrix/cluster.h"

namespace knapweed::matrix {

/** What a caller sends, and how it behaves. */
struct operation_plan {
    attempt_tag tag; ///< operation, kind and run time
    core::rank rank = core::rank::standard;
    core::milliseconds timeout{1500};
    int first_node = 0; ///< node of the first look-up
    /** Index of the endpoint used first; 1 enters at an instance other than the ticket's owner. */
    int skip_endpoints = 0;
    int max_attempts = 4;
    bool disconnects_once = false; ///< closes its first exchange while the request runs, and retries
    std::uint64_t body_hash = 0;   ///< 0: derived from the operation number
};

/** A caller with one operation: looks up endpoints, sends the request, and retries as design 4.1 allows. */
class caller {
public:
    enum class state { looking_up, waiting, answered, refused, unknown, gave_up };

    caller(simulated_cluster& cluster, operation_plan plan);

    void start();
    [[nodiscard]] state status() const { return state_; }
    [[nodiscard]] bool ended() const { return state_ != state::looking_up && state_ != state::waiting; }
    [[nodiscard]] const attempt_tag& tag() const { return plan_.tag; }
    /** @returns the request owner or witness named by the ticket; empty before a look-up succeeded. */
    [[nodiscard]] std::string binding_owner() const;
    [[nodiscard]] std::string binding_witness() const;

private:
    void look_up();
    void send();
    void on_reply(int attempt, const exchange_reply& reply);
    void retry(bool with_new_ticket);
    void end(state final_state);
    [[nodiscard]] core::caller_id id() const;

    simulated_cluster& cluster_;
    operation_plan plan_;
    state state_ = state::looking_up;
    int lookup_count_ = 0;
    int unknown_replies_ = 0;
    std::size_t endpoint_index_ = 0;
    std::vector<int> endpoints_;
    std::uint64_t exchange_ = 0;
    int entry_node_ = 0;
};

} // namespace knapweed::matrix
