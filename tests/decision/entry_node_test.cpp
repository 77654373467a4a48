#include "decision/decision.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace knapweed;

// Guards against a node that accepts requests for services that are not in its configuration.
TEST_CASE("a request for an unconfigured service is refused with unknown_service")
{
    core::simulated_clock time;
    decision::node_options options;
    options.instance = core::instance_id{"e1"};
    decision::entry_node node{options, time, 1};
    decision::request_received request;
    request.exchange = {7};
    request.request.service = core::service_id{"orders"};
    request.request.caller = core::caller_id{"workshop"};
    request.request.idempotent = true;
    decision::action_list actions;
    node.handle(request, actions);
    const auto refused = std::find_if(actions.begin(), actions.end(), [](const auto& action) {
        return std::holds_alternative<decision::answer_refused>(action);
    });
    REQUIRE(refused != actions.end());
    REQUIRE(std::get<decision::answer_refused>(*refused).reason == core::refusal_reason::unknown_service);
}

namespace {

/** Sends a request that is not idempotent and returns its refusal. */
decision::answer_refused refusal_of(decision::entry_node& node, core::exchange_id exchange,
                                    const std::string& ticket, std::uint64_t body_hash)
{
    decision::request_received request;
    request.exchange = exchange;
    request.request.service = core::service_id{"orders"};
    request.request.caller = core::caller_id{"stores"};
    request.request.timeout = core::milliseconds{1000};
    request.request.ticket = ticket;
    request.request.key = "order-1";
    request.request.body_hash = body_hash;
    decision::action_list actions;
    node.handle(request, actions);
    for (const auto& action : actions) {
        if (const auto* refused = std::get_if<decision::answer_refused>(&action))
            return *refused;
    }
    FAIL("the request was not refused");
    return {};
}

} // namespace

// Guards against a fresh ticket for a key that is already bound to a ticket: the first request could run
// again under the fresh ticket.
TEST_CASE("a refusal carries a fresh ticket unless its reason is a reused key")
{
    core::simulated_clock time;
    decision::node_options options;
    options.instance = core::instance_id{"e1"};
    options.incarnation = {5};
    decision::entry_node node{options, time, 1};
    decision::ticket binding;
    binding.owner = options.instance;
    binding.owner_incarnation = options.incarnation;
    binding.expiry =
        std::chrono::time_point_cast<core::milliseconds>(time.wall_now()) + core::milliseconds{60000};
    const auto ticket = decision::encode_ticket(binding);

    const auto first = refusal_of(node, {1}, ticket, 10);
    REQUIRE(first.reason == core::refusal_reason::unknown_service);
    REQUIRE_FALSE(first.ticket.empty());
    const auto reused = refusal_of(node, {2}, ticket, 11);
    REQUIRE(reused.reason == core::refusal_reason::key_reused);
    REQUIRE(reused.ticket.empty());
}
