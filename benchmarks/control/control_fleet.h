#pragma once

#include "fleet/fleet_shape.h"

#include <map>
#include <memory>
#include <set>

namespace knapweed::bench {

/** Messages, calls and processor time of all nodes together since the last `reset_counts`. */
struct control_counts {
    std::uint64_t messages = 0;
    std::uint64_t batches = 0;
    std::uint64_t message_bytes = 0; ///< JSON of the messages
    std::uint64_t list_reads = 0;
    std::uint64_t list_bytes = 0;
    std::uint64_t row_reads = 0;
    std::uint64_t row_bytes = 0;
    std::uint64_t writes = 0;
    std::uint64_t probes = 0;
    std::uint64_t ticks = 0;
    std::uint64_t events = 0;
    double tick_seconds = 0;  ///< processor time in `tick`
    double event_seconds = 0; ///< processor time in `handle`
    double json_seconds = 0;  ///< processor time to write and read the messages' JSON
    std::map<std::string, std::uint64_t> messages_by_kind;
    std::vector<std::uint64_t> bytes_by_node; ///< sent to peers, with headers

    /** Estimated headers of an HTTP request and its response, and the JSON-RPC envelope, in bytes. */
    static constexpr std::uint64_t header_bytes = 300;
};

/** Entry nodes on a simulated clock, with messages in memory and a simulated platform.

    Time advances in steps; each node ticks once per step. A message to another region takes 55 ms, any other
   2 ms, and a call to the platform 20 ms, all rounded up to whole steps. Every seventh message is written and
    read as JSON, and counts as seven in the totals of bytes and of processor time.
*/
class control_fleet {
public:
    /** @param step time between two ticks of a node; the daemon uses 5 ms. */
    control_fleet(const fleet_shape& shape, core::milliseconds step);

    /** Advances the simulated time. */
    void run(core::milliseconds time);
    void reset_counts();
    [[nodiscard]] const control_counts& counts() const { return counts_; }

    /** Writes the configuration to the table of the simulated platform. */
    void commit(const wire::configuration& configuration);
    /** @returns the number of running nodes whose configuration has at least that version. */
    [[nodiscard]] std::size_t nodes_with_version(std::uint64_t version) const;

    /** Stops nodes abruptly; the platform still lists them. */
    void kill(const std::set<std::size_t>& nodes);
    [[nodiscard]] std::size_t running() const { return nodes_.size() - dead_.size(); }
    /** @returns the number of running nodes in @p data_centre that do not classify @p node as failed. */
    [[nodiscard]] std::size_t nodes_counting_alive(std::size_t node, std::size_t data_centre) const;
    /** @returns the number of instances that @p node classifies as alive, itself included. */
    [[nodiscard]] std::size_t alive_in_view_of(std::size_t node) const;

private:
    /** An event that will arrive at a node. */
    struct pending_event {
        std::size_t target = 0;
        decision::event input;
    };

    void step();
    void deliver();
    void execute(std::size_t from, const decision::action_list& actions);
    void send(std::size_t from, const decision::send_to_peer& sent);
    void answer_platform_call(std::size_t from, const state::platform_call& call);

    /** @returns the number of the step in which an event with that delay arrives. */
    [[nodiscard]] std::uint64_t arrival_step(core::milliseconds delay) const;

    fleet_shape shape_;
    core::milliseconds step_time_;
    core::simulated_clock time_;
    std::vector<std::unique_ptr<decision::entry_node>> nodes_;
    std::map<std::string, std::size_t> node_of_address_;
    std::set<std::size_t> dead_;
    std::map<std::uint64_t, std::vector<pending_event>> pending_events_; ///< by the step of arrival
    std::set<std::pair<std::size_t, std::size_t>> batches_; ///< sender and receiver, in this step
    std::vector<state::listed_instance> list_;
    std::uint64_t list_size_ = 0;
    std::string row_;
    std::uint64_t row_version_ = 1;
    std::uint64_t step_ = 0;
    control_counts counts_;
};

/** @returns processor time of this process in seconds. */
[[nodiscard]] double processor_seconds();

} // namespace knapweed::bench
