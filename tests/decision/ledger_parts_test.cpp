#include "decision/claim_binder.h"
#include "decision/request_ledger.h"
#include "decision/retry_budget.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace knapweed;
using namespace knapweed::decision;
using core::milliseconds;
using core::refusal_reason;

namespace {

/** A ledger of instance e0, and tickets that name this owner and no witness. */
struct owner {
    core::simulated_clock time;
    request_ledger ledger;
    ledger_effects effects;
    std::uint64_t exchanges = 0;

    explicit owner(ledger_options options = {}) : ledger(named(std::move(options)), time) {}

    static ledger_options named(ledger_options options)
    {
        options.instance = core::instance_id{"e0"};
        options.incarnation = {5};
        return options;
    }

    [[nodiscard]] std::string ticket_for(milliseconds lifetime) const
    {
        return encode_ticket({core::instance_id{"e0"}, {5}, {}, {}, 1, ledger.now() + lifetime});
    }

    admission::decision admit(const std::string& ticket, const std::string& key)
    {
        request_meta meta;
        meta.caller = core::caller_id{"c"};
        meta.ticket = ticket;
        meta.key = key;
        meta.timeout = milliseconds{1000};
        return ledger.admit(meta, {++exchanges}, effects);
    }

    record_id start(const std::string& ticket, const std::string& key)
    {
        return std::get<admission::start>(admit(ticket, key)).record;
    }

    refusal_reason refusal(const std::string& ticket, const std::string& key)
    {
        return std::get<admission::refuse>(admit(ticket, key)).reason;
    }

    void run(const std::string& ticket, const std::string& key, std::size_t answer_bytes)
    {
        const auto record = start(ticket, key);
        ledger.dispatched(record);
        ledger.finished(record, done_outcome{true, {200, "", std::string(answer_bytes, 'x')}}, effects);
    }
};

template <typename Wanted, typename Variant>
bool is(const Variant& value)
{
    return std::holds_alternative<Wanted>(value);
}

} // namespace

// Guards against a damaged ticket that parses as another one, and against a parser that accepts random bytes.
TEST_CASE("an encoded ticket parses to the same ticket, and damaged text is rejected")
{
    const ticket value{core::instance_id{"e1"},
                       {~0ULL},
                       core::instance_id{"w"},
                       {3},
                       9,
                       unix_time{milliseconds{1'800'000'000'000}}};
    const auto text = encode_ticket(value);
    REQUIRE(parse_ticket(text) == value);
    for (std::size_t i = 0; i < text.size(); ++i) {
        for (const char c : {'A', 'B', '_', '=', '\0', '\xff'}) {
            auto damaged = text;
            damaged[i] = c;
            REQUIRE((damaged == text || !parse_ticket(damaged)));
        }
        REQUIRE_FALSE(parse_ticket(text.substr(0, i)));
        REQUIRE_FALSE(parse_ticket(text + text.substr(0, i + 1)));
    }
    core::random_source random{1};
    for (int i = 0; i < 20000; ++i) {
        std::string junk(random.below(300), ' ');
        for (auto& c : junk)
            c = static_cast<char>(random.next());
        REQUIRE_FALSE(parse_ticket(junk));
    }
    auto too_long = value;
    too_long.owner = core::instance_id{std::string(65, 'e')};
    REQUIRE(encode_ticket(too_long).empty());
}

// Guards against records of idempotent requests, and against requests that run without an identity.
TEST_CASE("only non-idempotent requests with a valid ticket and a key are recorded")
{
    owner node;
    request_meta meta;
    meta.caller = core::caller_id{"c"};
    meta.idempotent = true;
    REQUIRE(is<admission::unrecorded>(node.ledger.admit(meta, {1}, node.effects)));
    REQUIRE(is<admission::needs_claim>(node.admit("", "k")));
    REQUIRE(node.refusal(node.ticket_for(milliseconds{10}), "") == refusal_reason::malformed_request);
    REQUIRE(node.refusal("junk", "k") == refusal_reason::damaged_ticket);
    REQUIRE(node.ledger.size() == 0);
}

// Guards against a refused request that runs later because the full table kept no record of it.
TEST_CASE("a full table drops no unexpired record, and requests that it refused stay refused")
{
    ledger_options options;
    options.max_records = 1;
    owner node{options};
    const auto first = node.ticket_for(milliseconds{1000});
    const auto second = node.ticket_for(milliseconds{660000});
    const auto record = node.start(first, "k1");
    REQUIRE(node.refusal(second, "k2") == refusal_reason::record_table_full);
    node.ledger.finished(record, refused_outcome{refusal_reason::queue_full}, node.effects);
    node.time.advance(options.retention + milliseconds{1001});
    node.ledger.expire(node.effects);
    REQUIRE(node.ledger.size() == 0);
    REQUIRE(is<admission::unknown>(node.admit(first, "k1")));
    REQUIRE(node.refusal(second, "k2") == refusal_reason::record_table_full);
    node.time.advance(milliseconds{60000});
    REQUIRE(is<admission::unknown>(node.admit(second, "k2")));
    REQUIRE(is<admission::start>(node.admit(node.ticket_for(milliseconds{1000}), "k2")));
}

// Guards against records that tickets with a distant expiry keep without limit, and against a run of a
// refused request once its ticket's expiry is within the limit.
TEST_CASE("a ticket that expires too late stays refused when its expiry comes within the limit")
{
    owner node;
    const auto distant = node.ticket_for(milliseconds{660001});
    REQUIRE(node.refusal(distant, "k") == refusal_reason::damaged_ticket);
    node.time.advance(milliseconds{1000});
    REQUIRE(node.refusal(distant, "k") == refusal_reason::damaged_ticket);
}

// Guards against unbounded memory for answers, and against a second run after an answer was dropped.
TEST_CASE("the oldest answers are dropped when the limit of kept bytes is reached")
{
    ledger_options options;
    options.kept_answer_bytes = 100;
    owner node{options};
    const auto ticket = node.ticket_for(milliseconds{1000});
    node.run(ticket, "a", 60);
    node.run(ticket, "b", 60);
    node.run(ticket, "c", 101);
    REQUIRE(is<admission::unknown>(node.admit(ticket, "a")));
    REQUIRE(is<admission::replay>(node.admit(ticket, "b")));
    REQUIRE(is<admission::unknown>(node.admit(ticket, "c")));
}

// Guards against large answers that are sent to the witness in normal operation, or lost at a planned stop.
TEST_CASE("small answers are sent to the witness at once and large ones at a planned stop")
{
    owner node;
    const auto ticket = encode_ticket({core::instance_id{"e0"},
                                       {5},
                                       core::instance_id{"w"},
                                       {6},
                                       1,
                                       node.ledger.now() + milliseconds{1000}});
    for (const std::size_t size : {4096U, 4097U, 65537U}) {
        const auto key = std::to_string(size);
        const auto record = node.start(ticket, key);
        wire::instance_ref witness;
        witness.set_instance("w");
        witness.set_incarnation(6);
        wire::intent_ack ack;
        *ack.mutable_request() = to_wire(request_identity{core::caller_id{"c"}, ticket, key});
        node.ledger.witness_acknowledged(witness, ack, node.effects);
        node.ledger.dispatched(record);
        node.ledger.finished(record, done_outcome{true, {200, "", std::string(size, 'x')}}, node.effects);
    }
    const auto answers_sent = [&] {
        return std::count_if(node.effects.messages.begin(), node.effects.messages.end(),
                             [](const auto& sent) { return sent.message.request_outcome().has_answer(); });
    };
    REQUIRE(answers_sent() == 1);
    node.ledger.send_answers_to_witness(node.effects);
    REQUIRE(answers_sent() == 2);
}

// Guards against waiting retries that are never answered, and against a run for a caller that has
// disconnected.
TEST_CASE("waiting retries are answered on the outcome, at their deadline or on cancellation")
{
    owner node;
    const auto ticket = node.ticket_for(milliseconds{10000});
    const auto record = node.start(ticket, "a");
    REQUIRE(is<admission::wait_for_first_attempt>(node.admit(ticket, "a")));
    node.time.advance(milliseconds{1000});
    node.ledger.expire(node.effects);
    REQUIRE(std::get<answer_unknown>(node.effects.answers.at(0)).exchange.value == 2);
    REQUIRE(is<admission::wait_for_first_attempt>(node.admit(ticket, "a")));
    node.ledger.exchange_closed({1}, node.effects);
    REQUIRE(std::get<answer_refused>(node.effects.answers.at(1)).reason ==
            refusal_reason::cancelled_by_caller);
    REQUIRE_FALSE(node.ledger.may_dispatch(record));

    const auto running = node.start(ticket, "b");
    node.ledger.dispatched(running);
    node.ledger.exchange_closed({4}, node.effects);
    REQUIRE(is<admission::wait_for_first_attempt>(node.admit(ticket, "b")));
    node.ledger.finished(running, done_outcome{true, {201, "", "x"}}, node.effects);
    REQUIRE(std::get<answer_stored>(node.effects.answers.at(2)).answer.status == 201);

    const auto sent = node.start(ticket, "c");
    node.ledger.dispatched(sent);
    node.ledger.finished(sent, refused_outcome{}, node.effects);
    REQUIRE(is<admission::unknown>(node.admit(ticket, "c")));
    REQUIRE(node.ledger.unfinished() == 0);
}

// Guards against two tickets for one key, and against a request that runs without a claim.
TEST_CASE("a claim uses the first ticket bound to the key")
{
    core::simulated_clock time;
    std::uint64_t calls = 0;
    claim_binder binder{{}, time, [&] { return core::call_id{++calls}; }};
    claim_effects effects;
    const auto own = encode_ticket({core::instance_id{"e0"}, {5}, {}, {}, 1, unix_time{milliseconds{1}}});
    const auto other = encode_ticket({core::instance_id{"e1"}, {6}, {}, {}, 1, unix_time{milliseconds{1}}});
    request_meta meta;
    meta.caller = core::caller_id{"c"};
    meta.key = "a/b";
    meta.timeout = milliseconds{2000};
    const auto reply = [&](state::platform_status status, const std::string& body = {}) {
        const bool own_call = binder.replied({{calls}, status, 1, body, {}}, effects);
        REQUIRE(own_call);
    };
    using state::platform_status;
    binder.start(meta, own, {1}, effects);
    const auto& insert = std::get<state::row_transaction>(effects.calls.at(0).operation);
    REQUIRE(insert.conditions.at(0).version == 0);
    REQUIRE(insert.conditions.at(0).key == "c~612f62");
    const auto row = *insert.writes.at(0).value;

    SECTION("inserted")
    {
        reply(platform_status::ok);
        REQUIRE(effects.bound.at(0).request.ticket == own);
    }
    SECTION("bound by another attempt")
    {
        reply(platform_status::conflict);
        reply(platform_status::ok, other + row.substr(row.find(' ')));
        REQUIRE(effects.bound.at(0).request.ticket == other);
    }
    SECTION("answer lost before the row was written")
    {
        reply(platform_status::timed_out);
        reply(platform_status::not_found);
        reply(platform_status::conflict);
        reply(platform_status::ok, row);
        REQUIRE(effects.bound.at(0).request.ticket == own);
    }
    SECTION("another body")
    {
        reply(platform_status::conflict);
        reply(platform_status::ok, other + " 0000000000000007");
        REQUIRE(std::get<answer_refused>(effects.answers.at(0)).reason == refusal_reason::key_reused);
    }
    SECTION("a row that can't be read")
    {
        reply(platform_status::conflict);
        reply(platform_status::ok, "junk");
        REQUIRE(is<answer_unknown>(effects.answers.at(0)));
    }
    SECTION("platform unreachable, or no reply")
    {
        if (GENERATE(true, false)) {
            reply(platform_status::unreachable);
        }
        else {
            time.advance(milliseconds{2000});
            binder.expire(effects);
        }
        REQUIRE(std::get<answer_refused>(effects.answers.at(0)).reason == refusal_reason::claim_unavailable);
    }
    REQUIRE(effects.bound.size() + effects.answers.size() == 1);
    REQUIRE(binder.pending() == 0);
}

// Guards against retries that increase an overload, and against an unbounded number of buckets.
TEST_CASE("retries are limited to a tenth of the requests after a burst")
{
    core::simulated_clock time;
    retry_budget_options options;
    options.buckets = 2;
    retry_budget budget{options, time};
    const core::caller_id caller{"a"};
    const core::service_id service{"s"};
    for (int i = 0; i < 10; ++i)
        REQUIRE(budget.take(caller, service));
    REQUIRE_FALSE(budget.take(caller, service));
    REQUIRE_FALSE(budget.take(core::caller_id{"b"}, service));
    for (int i = 0; i < 9; ++i)
        budget.request_received(caller, service);
    REQUIRE_FALSE(budget.take(caller, service));
    budget.request_received(caller, service);
    REQUIRE(budget.take(caller, service));
    for (int i = 0; i < 100; ++i)
        budget.request_received(caller, service);
    REQUIRE(budget.size() == 0);

    REQUIRE(budget.take(core::caller_id{"b"}, service));
    REQUIRE(budget.take(core::caller_id{"c"}, service));
    REQUIRE_FALSE(budget.take(core::caller_id{"d"}, service));
    time.advance(options.forget_after);
    REQUIRE(budget.take(core::caller_id{"d"}, service));
}
