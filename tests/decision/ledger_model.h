#pragma once

#include "decision/fault_network.h"
#include "decision/plain_ledger.h"
#include "decision/request_ledger.h"
#include "decision/seal_client.h"
#include "decision/witness_log.h"

#include <functional>
#include <memory>

namespace knapweed::test {

/** A rule that the model breaks on purpose, to show that its checks detect the violation. */
enum class broken_rule {
    none,
    dispatch_without_acknowledgement,
    seal_despite_intent,
    restart_keeps_incarnation,
    refusal_without_record
};

/** What a backend server does with a request. */
enum class server_behaviour {
    answers,
    breaks_after_run, ///< runs the request, but the connection breaks before the answer
    sheds             ///< refuses the request without running it
};

struct model_options {
    std::size_t operations = 1;
    bool reuse_key = false;    ///< operations 0 and 1 share caller, ticket and key but not the body
    bool small_tables = false; ///< tables have two records, so that they are full at times
    broken_rule broken = broken_rule::none;
    std::function<server_behaviour()> server;
    std::function<bool()> pool_refuses;
};

/** Model of three instances, which are owners and witnesses of requests, with servers, callers and a faulty
    network.

    The test runs it step by step. A `plain_ledger` records all runs and all answers to callers.
*/
class ledger_model {
public:
    static constexpr std::size_t nodes = 3;
    static constexpr core::milliseconds ticket_lifetime{5000};

    ledger_model(std::uint64_t seed, model_options options);

    /** Issues a ticket for the operation. It names no witness when @p witness equals @p owner. */
    void issue_ticket(std::size_t operation, std::size_t issuer, std::size_t owner, std::size_t witness);
    /** Sends one attempt of the operation to an instance. */
    void attempt(std::size_t operation, std::size_t entry);

    [[nodiscard]] fault_network& network() { return network_; }
    /** Restarts an instance with empty tables and breaks its connections. */
    void kill(std::size_t node);
    /** Advances all clocks and handles timeouts at all instances that are not paused. */
    void advance(core::milliseconds step);
    /** Ends each open relay to an owner as failed. */
    void give_up_relays();
    /** A caller closes the connection of one of its open exchanges. */
    void disconnect(std::size_t pick);
    /** Resumes all instances, retries each operation through each instance, and delivers everything. */
    void settle();

    [[nodiscard]] const plain_ledger& observed() const { return observed_; }

private:
    using exchange_id = core::exchange_id;
    struct instance {
        core::simulated_clock clock;
        core::instance_id name;
        core::incarnation incarnation;
        std::uint64_t start_count = 0;
        std::unique_ptr<decision::request_ledger> ledger;
        std::unique_ptr<decision::witness_log> witness;
        std::unique_ptr<decision::seal_client> seals;
    };
    /** The state of an operation at its caller. */
    struct caller_operation {
        std::size_t version = 0; ///< incremented when the caller gets a fresh ticket after a refusal
        std::string ticket;
    };
    /** A request at an instance whose answer is pending. */
    struct open_exchange {
        std::size_t node = 0;
        attempt_identity identity;
        exchange_id upstream; ///< the relaying exchange; 0 when a caller sent the request
        bool relaying = false;
        decision::record_id record; ///< when this is the first exchange of the record
    };

    void start(instance& n);
    /** Posts a function to an instance. It isn't called when the instance restarts first. */
    void post_local(std::size_t node, std::function<void()> action);
    void arrive(std::size_t entry, const attempt_identity& identity, exchange_id upstream);
    void decide(exchange_id exchange, const decision::admission::decision& verdict);
    void relay(exchange_id exchange, const decision::ticket& parsed_ticket);
    void relay_failed(exchange_id exchange);
    void close(exchange_id exchange);
    void seal(exchange_id exchange, const decision::ticket& parsed_ticket);
    void apply(std::size_t node, const decision::ledger_effects& effects);
    void receive(std::size_t node, const wire::peer_message& message);
    void dispatch(std::size_t node, decision::record_id record);
    void run(std::size_t node, std::uint64_t start_count, decision::record_id record,
             const attempt_identity& identity);
    void finish(std::size_t node, decision::record_id record, const decision::request_outcome& outcome);
    void respond(exchange_id exchange, const decision::exchange_answer& answer);
    void deliver_to_caller(const attempt_identity& identity, const decision::exchange_answer& answer);
    [[nodiscard]] decision::request_meta meta_of(const attempt_identity& identity) const;
    [[nodiscard]] std::size_t index_of(const core::instance_id& name) const;

    core::random_source random_;
    model_options options_;
    std::array<instance, nodes> nodes_;
    std::vector<caller_operation> operations_;
    fault_network network_;
    std::map<exchange_id, open_exchange> open_;
    std::map<std::pair<std::size_t, decision::record_id>, attempt_identity> started_;
    std::uint64_t next_ = 1;
    plain_ledger observed_;
};

} // namespace knapweed::test
