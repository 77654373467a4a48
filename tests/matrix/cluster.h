#pragma once

#include "decision/entry_node.h"
#include "matrix/fake_server.h"
#include "matrix/fake_store.h"

#include <array>
#include <memory>

namespace knapweed::matrix {

inline constexpr int node_count = 4;

/** Final reply to a request or look-up. The members that apply depend on `outcome`. */
struct exchange_reply {
    enum class kind { answered, refused, unknown, lost, lookup };
    kind outcome = kind::lost;
    core::refusal_reason refusal = core::refusal_reason::overloaded;
    core::unknown_reason unknown = core::unknown_reason::connection_lost;
    std::string ticket;
    decision::stored_answer answer;
    decision::lookup_answer lookup;
};

using reply_hook = std::function<void(const exchange_reply&)>;

/** Steps in the life of a request at which a fault may begin, in the order of their printed names. */
enum class request_step {
    lookup,
    admitted,
    intent_sent,
    intent_recorded,
    queued,
    dispatched,
    running,
    answered,
    delivered,
    retry
};

/** Settings of a simulated cluster. */
struct cluster_options {
    /** Topology; it determines which instance is request owner, pool owner and witness.
        0: pools in all data centres; 1: none in a1; 2: only in the other region. */
    int variant = 0;
    std::uint64_t seed = 1;
    bool count_runs_twice = false; ///< for the self-test; see fake_server::set_count_runs_twice
};

/** Four entry nodes (a1, a2 in region ra; b1, b2 in rb) with a fake platform and fake backend servers.
    The nodes are the real decision code; time and the network are simulated. */
class simulated_cluster {
public:
    explicit simulated_cluster(const cluster_options& options, bool verbose);

    event_queue events;
    promise_log promises;
    fake_store store;
    std::map<std::string, std::unique_ptr<fake_server>> servers; ///< by address
    std::function<void(request_step, const attempt_tag&, int node)> on_step;
    std::function<void(const wire::peer_message&, int from, int to)> on_message;

    /** Starts a new process of the node. */
    void start(int node);
    /** Ends the process at once: its open exchanges and its relayed ones lose their connections. */
    void kill(int node);
    /** Pauses the process: until `resume`, its input waits and its ticks are skipped. */
    void pause(int node);
    void resume(int node);
    /** Requests a graceful stop. */
    void stop(int node);
    [[nodiscard]] bool is_up(int node) const { return nodes_.at(index(node)).process != nullptr; }
    [[nodiscard]] bool is_paused(int node) const { return nodes_.at(index(node)).paused; }
    [[nodiscard]] decision::entry_node& node(int node) { return *nodes_.at(index(node)).process; }
    /** @returns the number of the node of this name, or -1. */
    [[nodiscard]] int find(const std::string& instance) const;
    /** @returns the node that owns a pool, or -1. */
    [[nodiscard]] int owner_of_pool(const std::string& data_centre) const;

    void set_link_cut(int a, int b, bool is_cut);
    /** Ends cut links, loss and duplication of messages, and missing probe answers. */
    void clear_network_faults();
    /** Loses the next @p count messages between peers. */
    void drop_messages(int count) { messages_to_drop_ = count; }
    /** Delivers each message between peers twice, the second time late. */
    void duplicate_messages(bool on) { duplicates_messages_ = on; }
    /** While false, nodes receive no results of their probes. */
    void set_probes_answered(bool on) { probes_answered_ = on; }

    /** Delivers a caller's request or look-up to a node.
        @returns the identifier of the exchange, for `close`; 0 when the node cannot be reached. */
    std::uint64_t request(int node, const decision::request_received& input, const attempt_tag& tag,
                          reply_hook reply);
    std::uint64_t look_up(int node, const core::caller_id& caller, const attempt_tag& tag, reply_hook reply);
    /** Closes the connection of an exchange from the sending side. */
    void close(int node, std::uint64_t exchange);

    /** Reports exchanges that are open long after their deadline as violations. */
    void check_open_exchanges();
    /** Reports nodes whose configuration version is not the highest; no change may be in progress. */
    void check_versions();
    [[nodiscard]] const wire::configuration& configuration() const { return configuration_; }

    static const std::array<std::string, node_count>& names();

private:
    struct open_exchange {
        attempt_tag tag;
        reply_hook reply;
        bool closed = false;
        core::time_point deadline;
        std::uint64_t upstream_dispatch = 0;
    };
    /** A request that a node has sent to a peer or to a backend server. */
    struct outgoing_dispatch {
        std::uint64_t exchange = 0;
        int peer = -1; ///< node that the request is relayed to; -1 for a dispatch to a server
        std::uint64_t peer_exchange = 0;
        fake_server* server = nullptr;
        std::uint64_t run = 0; ///< identifier of the run on the server
    };
    struct node_state {
        std::unique_ptr<decision::entry_node> process;
        std::uint64_t process_number = 0; ///< changes with each start
        bool paused = false;
        std::vector<std::function<void()>> inbox; ///< input that arrived while paused
        std::map<std::uint64_t, open_exchange> open_exchanges;
        std::map<std::uint64_t, outgoing_dispatch> dispatches;
        std::uint64_t version = 0;
        std::map<std::string, std::deque<std::pair<core::time_point, state::weight_map>>> weights;
    };
    /** Node and process number: identifies one process of a node across restarts. */
    using process_key = std::pair<int, std::uint64_t>;

    static std::size_t index(int node) { return static_cast<std::size_t>(node); }
    node_state& state_of(int node) { return nodes_.at(index(node)); }
    void configure(int variant, std::uint64_t seed);
    void update_instance_list();
    /** Runs @p action at once, or on `resume` if the process is paused; drops it if the process has ended. */
    void in_process(process_key process, const std::function<void()>& action);
    void handle(int node, const decision::event& input);
    void tick(process_key process);
    /** Checks that the version never goes back and that shifts of traffic stay within their cap. */
    void check_node(int node);
    void perform(int node, const decision::action_list& actions);
    void perform(int node, const decision::answer_lookup& action);
    void perform(int node, const decision::answer_refused& action);
    void perform(int node, const decision::answer_unknown& action);
    void perform(int node, const decision::answer_stored& action);
    void perform(int node, const decision::relay_to_instance& action);
    void perform(int node, const decision::dispatch_to_server& action);
    void perform(int node, const decision::cancel_dispatch& action);
    void perform(int node, const decision::send_to_peer& action);
    void perform(int node, const decision::probe_server& action);
    void perform(int node, const decision::call_platform& action);
    void perform(int node, const decision::stop_now& action);
    void perform(int node, const decision::write_log& action);
    template <typename Other>
    void perform(int /*node*/, const Other& /*action*/)
    {}
    void reply(int node, std::uint64_t exchange, const exchange_reply& content);
    void finish_dispatch(process_key process, std::uint64_t dispatch,
                         const decision::dispatch_result& result);
    void connect_relay(process_key process, int to, const decision::relay_to_instance& action,
                       const attempt_tag& tag);
    /** Runs @p action after the latency of the link; while the link is cut, tries again at intervals. */
    void deliver(int from, int to, std::function<void()> action);
    void report_step(request_step step, const attempt_tag& tag, int node);
    void report_message_step(const wire::peer_message& message, int node);
    [[nodiscard]] bool is_link_cut(int a, int b) const
    {
        return cut_links_.contains({std::min(a, b), std::max(a, b)});
    }
    [[nodiscard]] static core::milliseconds latency(int a, int b);

    cluster_options options_;
    std::array<node_state, node_count> nodes_;
    std::set<std::pair<int, int>> cut_links_;
    std::map<std::string, attempt_tag> tags_by_key_; ///< by caller and idempotency key, as "CALLER/KEY"
    wire::configuration configuration_;
    std::uint64_t next_id_ = 1;
    int messages_to_drop_ = 0;
    bool duplicates_messages_ = false;
    bool probes_answered_ = true;
};

} // namespace knapweed::matrix
