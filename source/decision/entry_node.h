#pragma once

#include "decision/action.h"
#include "decision/event.h"
#include "decision/node_context.h"
#include "decision/pool_registry.h"
#include "decision/request_flow.h"
#include "decision/router.h"
#include "state/configuration_store.h"
#include "state/endpoint_directory.h"
#include "state/platform_client.h"

#include <functional>

namespace knapweed::decision {

/** Makes all decisions of one entry instance. It receives events and produces actions.

    The daemon, tests and benchmarks use the same class. It reads time only from the clock, opens no socket
    and starts no thread. Each `lookup_received` and `request_received` leads to exactly one final action for
    its exchange: an `answer_...`, or a dispatch that ends as answered or truncated.

    Not thread-safe. In the daemon, only the decision thread calls it.
*/
class entry_node {
public:
    /** Executes an operator's command. */
    using operator_hook = std::function<void(const operator_command_received&)>;

    /** @param time must outlive this object.
        @param seed seed of the random source; the same seed and events produce the same actions */
    entry_node(node_options options, const core::clock& time, std::uint64_t seed);

    /** Handles one event and appends the actions that follow from it. */
    void handle(const event& input, action_list& actions);

    /** Performs all periodic work that is due. Must be called at least every 10 ms. */
    void tick(action_list& actions);

    /** Sets the function that executes operators' commands. It runs inside `handle`, and must emit exactly
        one `answer_operator` for each command, at once or within a later `handle` or `tick`. */
    void on_operator_command(operator_hook hook) { operator_hook_ = std::move(hook); }

    /** Starts the graceful shutdown. May be called only from within `handle` or `tick`. */
    void begin_stop();

    [[nodiscard]] node_context& shared() { return shared_; }
    [[nodiscard]] const node_context& shared() const { return shared_; }
    [[nodiscard]] state::configuration_store& configuration() { return store_; }
    [[nodiscard]] const state::configuration_store& configuration() const { return store_; }
    [[nodiscard]] state::platform_client& platform() { return platform_; }
    [[nodiscard]] const state::platform_client& platform() const { return platform_; }
    [[nodiscard]] const router& routes() const { return routes_; }
    [[nodiscard]] const pool_registry& pools() const { return pools_; }
    [[nodiscard]] const request_flow& requests() const { return flow_; }
    [[nodiscard]] crash_guard& guard() { return guard_; }
    [[nodiscard]] const crash_guard& guard() const { return guard_; }
    /** @returns whether the graceful shutdown has started. */
    [[nodiscard]] bool leaving() const { return leaving_since_.has_value(); }

private:
    void on(const lookup_received& input);
    void on(const request_received& input);
    void on(const exchange_closed& input);
    void on(const dispatch_finished& input);
    void on(const peer_message_received& input);
    void on(const server_probed& input);
    void on(const platform_replied& input);
    void on(const operator_command_received& input);
    void on(const stop_requested& input);

    void detect_pause();
    void pool_request_received(const request_received& input);
    void heartbeat_received(const wire::peer_message& message);
    void configuration_message_received(const wire::peer_message& message);
    void apply_configuration();
    void send_heartbeats();
    [[nodiscard]] wire::peer_message heartbeat_for(const core::instance_id& peer) const;
    void poll_instance_list();
    void call_platform();
    void finish_stop();

    node_options options_;
    const core::clock& time_;
    node_context shared_;
    crash_guard guard_;
    state::platform_client platform_;
    state::configuration_store store_;
    state::endpoint_directory directory_;
    router routes_;
    request_flow flow_;
    pool_registry pools_;
    operator_hook operator_hook_;
    std::uint64_t applied_version_ = 0;
    core::time_point next_heartbeat_{};
    core::time_point next_list_{};
    std::optional<core::time_point> leaving_since_;
    bool stopped_ = false;
};

} // namespace knapweed::decision
