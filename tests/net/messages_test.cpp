#include "net/control_service.h"
#include "net/decision_loop.h"
#include "net/network_fixture.h"

using namespace knapweed;
using test::make_reply;
using test::network_fixture;
using test::scripted_reply;
using test::test_client;
using test::upstream_fake;

TEST_CASE("messages arrive at a peer unchanged and in order")
{
    network_fixture sender;
    network_fixture receiver(64, "e2");
    for (std::uint64_t i = 1; i <= 20; ++i) {
        decision::send_to_peer action{
            core::instance_id{"e2"}, "127.0.0.1:" + std::to_string(receiver.port), {}};
        action.message.mutable_from()->set_instance("e1");
        action.message.mutable_from()->set_incarnation(0xfedcba9876543210U);
        action.message.mutable_pull_configuration()->set_known_version(i);
        sender.send_action(std::move(action));
    }
    for (std::uint64_t i = 1; i <= 20; ++i) {
        const auto message = receiver.next_event<decision::peer_message_received>().message;
        CHECK(message.from().incarnation() == 0xfedcba9876543210U);
        CHECK(message.pull_configuration().known_version() == i);
    }
}

// Guards against a malformed message or malformed JSON in a batch that stops the receiver.
TEST_CASE("malformed peer messages are counted and the other messages of the batch are received")
{
    network_fixture node;
    test_client client(node.port);
    const auto post = [&](const std::string& body) {
        client.send("POST /rpc HTTP/1.1\r\nHost: e1\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
        return client.read_answer();
    };
    CHECK(post(R"({"jsonrpc":"2.0","method":"deliver","params":{"batch":[{"no":1},{"seal":{}},7]}})")
              .starts_with("HTTP/1.1 200"));
    CHECK(node.next_event<decision::peer_message_received>().message.has_seal());
    CHECK(node.reports.value(net::counter::peer_messages_malformed) == 2);
    CHECK(post("{").find("error") != std::string::npos);
    CHECK(post(std::string(2000, '[')).find("error") != std::string::npos);
    CHECK(post(R"({"jsonrpc":"2.0","method":"deliver","params":{"batch":1}})").find("HTTP/1.1 200") == 0);
    CHECK(node.events.size() == 0);
}

TEST_CASE("an operator's command is executed by the decision thread")
{
    network_fixture node;
    test_client client(node.port);
    const std::string body =
        R"({"jsonrpc":"2.0","id":3,"method":"execute","params":{"command":"where orders"}})";
    const std::string with_origin =
        R"({"jsonrpc":"2.0","id":4,"method":"execute","params":{"command":"drain data_centre a1","operation":"op-7","operator":"ann"}})";
    client.send("POST /operator HTTP/1.1\r\nHost: e1\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
    const auto received = node.next_event<decision::operator_command_received>();
    CHECK(received.command == "where orders");
    node.send_action(decision::answer_operator{received.exchange, true, R"({"at":"a1"})"});
    CHECK(client.read_answer().ends_with(R"({"id":3,"jsonrpc":"2.0","result":{"accepted":true,"at":"a1"}})"));
    CHECK(received.operation.empty());
    CHECK(received.operator_name.empty());
    client.send("POST /operator HTTP/1.1\r\nHost: e1\r\nContent-Length: " +
                std::to_string(with_origin.size()) + "\r\n\r\n" + with_origin);
    const auto change = node.next_event<decision::operator_command_received>();
    CHECK(change.operation == "op-7");
    CHECK(change.operator_name == "ann");
    node.send_action(decision::answer_operator{change.exchange, true, "{}"});
    CHECK(client.read_answer().ends_with(R"({"id":4,"jsonrpc":"2.0","result":{"accepted":true}})"));
}

// Guards against reporting a write as not sent although it may have taken effect.
TEST_CASE("a platform call whose answer is lost is timed_out and one that was not sent is unreachable")
{
    net::telemetry reports("e1", net::log_level::error, 64);
    net::decision_rings rings(64);
    upstream_fake platform([](const std::string& request) {
        if (request.starts_with("POST"))
            return scripted_reply{"", true, false};
        if (request.starts_with("GET /instances"))
            return scripted_reply{make_reply("200 OK", "", R"({"instances":[{"instance":"e1"}]})"), false,
                                  false};
        return scripted_reply{make_reply("200 OK", "", R"({"version":3,"value":"v"})"), false, false};
    });
    const auto status_of = [&](const std::string& address, state::platform_operation operation) {
        net::control_service control({address}, rings.from_control, rings.to_control, rings.decision_thread,
                                     reports);
        std::thread thread([&] { control.run(); });
        decision::action action = decision::call_platform{{{1}, core::milliseconds(20000), operation}};
        CHECK(rings.to_control.try_push(action));
        control.wake();
        decision::event event;
        while (!rings.from_control.try_pop(event))
            rings.decision_thread.wait_for(std::chrono::milliseconds(5));
        control.stop();
        thread.join();
        return std::get<decision::platform_replied>(event).reply;
    };
    const auto row = status_of(platform.address(), state::row_read{"configuration", "current"});
    CHECK(row.status == state::platform_status::ok);
    CHECK(row.version == 3);
    CHECK(row.body == "v");
    CHECK(status_of(platform.address(), state::row_transaction{}).status ==
          state::platform_status::timed_out);
    CHECK(status_of(platform.address(), state::instance_list_read{}).status ==
          state::platform_status::timed_out);
    CHECK(status_of("127.0.0.1:1", state::row_transaction{}).status == state::platform_status::unreachable);
}

// Guards against a platform call that gets no reply, or a lost answer to a caller, because a ring was full.
TEST_CASE(
    "while rings are full, answers wait, peer messages are dropped and platform calls fail as unreachable")
{
    net::telemetry reports("e1", net::log_level::error, 64);
    net::decision_rings rings(1);
    int unreachable = 0;
    net::decision_hooks hooks;
    hooks.handle = [&](const decision::event& event, decision::action_list& actions) {
        if (const auto* replied = std::get_if<decision::platform_replied>(&event)) {
            unreachable += replied->reply.status == state::platform_status::unreachable ? 1 : 0;
            return;
        }
        actions.emplace_back(decision::answer_unknown{{1}});
        actions.emplace_back(decision::answer_unknown{{2}});
        actions.emplace_back(decision::send_to_peer{});
        actions.emplace_back(decision::call_platform{});
        actions.emplace_back(decision::call_platform{});
    };
    hooks.tick = [](decision::action_list&) {};
    hooks.wake_network = [] {};
    hooks.wake_control = [] {};
    net::decision_loop loop(rings, hooks, reports);
    decision::event event = decision::lookup_received{};
    REQUIRE(rings.from_network.try_push(event));
    loop.run_once();
    CHECK(unreachable == 1);
    CHECK(reports.value(net::counter::peer_messages_dropped) == 1);
    REQUIRE(rings.from_network.try_push(event));
    loop.run_once();
    CHECK(rings.from_network.size() == 1); // no request is read while an answer waits
    decision::action action;
    for (std::uint64_t exchange : {1U, 2U}) {
        REQUIRE(rings.to_network.try_pop(action));
        CHECK(std::get<decision::answer_unknown>(action).exchange.value == exchange);
        if (exchange == 1) {
            REQUIRE(rings.from_network.try_pop(event));
            loop.run_once();
        }
    }
    CHECK_FALSE(rings.to_network.try_pop(action));
}
