#pragma once

#include "decision/decision.h"
#include "operators/operators.h"
#include "state/fake_platform.h"
#include "state/samples.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace knapweed::tests {

/** An entry node with its command service, and the answers and peer messages that it has sent. */
struct operated_node {
    operated_node(const decision::node_options& options, const core::clock& time)
        : node(options, time, 1), commands(node)
    {}

    decision::entry_node node;
    operators::command_service commands;
    decision::action_list actions;
    std::map<std::uint64_t, std::vector<decision::answer_operator>> answers; ///< by exchange
    std::vector<wire::peer_message> sent;
};

/** Instance e1 in data centre a1 and e2 in a2, both in region r1, with one service and a simulated clock. */
struct operated_nodes {
    explicit operated_nodes(bool is_configured = true)
    {
        auto configuration = sample_configuration(1);
        auto& server = *configuration.mutable_services(0)->add_backend_servers();
        server = configuration.services(0).backend_servers(0);
        server.set_name("s2");
        server.set_data_centre("a2");
        server.set_address("127.0.0.1:9002");
        if (is_configured)
            platform.put("configuration", "current", state::to_json(configuration));
        add("e1", "a1", "127.0.0.1:7001");
        add("e2", "a2", "127.0.0.1:7002");
        run(core::milliseconds{4000});
    }

    void add(const std::string& name, const std::string& data_centre, const std::string& address)
    {
        decision::node_options options;
        options.instance = core::instance_id{name};
        options.incarnation = {1000};
        options.data_centre = core::data_centre_id{data_centre};
        options.region = core::region_id{"r1"};
        options.address = address;
        options.seed_addresses = {"127.0.0.1:7001", "127.0.0.1:7002"};
        std::erase(options.seed_addresses, address);
        nodes[address] = std::make_unique<operated_node>(options, time);
    }

    operated_node& one() { return *nodes.at("127.0.0.1:7001"); }
    operated_node& two() { return *nodes.at("127.0.0.1:7002"); }

    void run(core::milliseconds duration)
    {
        constexpr core::milliseconds step{10};
        for (core::milliseconds passed{0}; passed < duration; passed += step) {
            time.advance(step);
            for (auto& [address, operated] : nodes) {
                operated->node.tick(operated->actions);
                carry_out(*operated);
            }
        }
    }

    /** Sends a command without waiting for the answer.
        @returns its exchange. */
    std::uint64_t send(operated_node& target, const std::string& command, const std::string& operation = {},
                       const std::string& operator_name = {})
    {
        const auto exchange = next_exchange++;
        target.node.handle(decision::operator_command_received{{exchange}, command, operation, operator_name},
                           target.actions);
        carry_out(target);
        return exchange;
    }

    /** @returns the answer to a command, with `accepted` as the network layer adds it. If there is not
        exactly one answer, returns their number instead. */
    static nlohmann::json answer(const operated_node& operated, std::uint64_t exchange)
    {
        const auto found = operated.answers.find(exchange);
        if (found == operated.answers.end() || found->second.size() != 1)
            return {{"answers", found == operated.answers.end() ? 0 : found->second.size()}};
        auto body = nlohmann::json::parse(found->second.front().json);
        body["accepted"] = found->second.front().accepted;
        return body;
    }

    /** Sends a command and runs the nodes for 8 s.
        @returns the answer. */
    nlohmann::json execute(operated_node& target, const std::string& command,
                           const std::string& operation = {})
    {
        const auto exchange = send(target, command, operation);
        run(core::milliseconds{8000});
        return answer(target, exchange);
    }
    /** Sends a command that is answered immediately.
        @returns the answer. */
    nlohmann::json ask(operated_node& target, const std::string& command)
    {
        return answer(target, send(target, command));
    }

    /** Carries out the actions of a node, and those that they cause, until none are left. */
    void carry_out(operated_node& operated)
    {
        for (const auto& action : std::exchange(operated.actions, {})) {
            if (const auto* call = std::get_if<decision::call_platform>(&action)) {
                if (const auto reply = platform.answer(call->call))
                    operated.node.handle(decision::platform_replied{*reply}, operated.actions);
            }
            else if (const auto* message = std::get_if<decision::send_to_peer>(&action)) {
                operated.sent.push_back(message->message);
                deliver(*message);
            }
            else if (const auto* probe = std::get_if<decision::probe_server>(&action)) {
                operated.node.handle(
                    decision::server_probed{
                        probe->service, probe->server, true, time.now(), {true, false, 0}},
                    operated.actions);
            }
            else if (const auto* given = std::get_if<decision::answer_operator>(&action)) {
                operated.answers[given->exchange.value].push_back(*given);
            }
        }
        if (!operated.actions.empty())
            carry_out(operated);
    }

    void deliver(const decision::send_to_peer& message)
    {
        const auto found = nodes.find(message.address);
        if (found != nodes.end())
            found->second->node.handle(decision::peer_message_received{message.message},
                                       found->second->actions);
    }

    core::simulated_clock time;
    fake_platform platform;
    std::map<std::string, std::unique_ptr<operated_node>> nodes; ///< by address
    std::uint64_t next_exchange = 1;
};

} // namespace knapweed::tests
