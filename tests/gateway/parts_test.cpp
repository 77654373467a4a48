#include "gateway/gateway.h"
#include "gateway/message_heads.h"
#include "gateway/status_codec.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <map>
#include <unistd.h>

using namespace knapweed;
using namespace knapweed::gateway;
using steering::attempt_outcome;

// Guards against reporting a certain outcome without a statement of the server.
TEST_CASE("only a signed answer to the request is valid, and only a not-run field means not run")
{
    const answer_facts valid{200, true, true, true, false, false};
    REQUIRE(classify_answer(valid) == attempt_outcome::answered);
    auto facts = valid;
    facts.status = 500;
    REQUIRE(classify_answer(facts) == attempt_outcome::server_failed);
    facts = valid;
    facts.has_signature = false;
    REQUIRE(classify_answer(facts) == attempt_outcome::answer_invalid);
    facts.status = 503;
    REQUIRE(classify_answer(facts) == attempt_outcome::answer_invalid);
    facts.marked_not_run = true;
    REQUIRE(classify_answer(facts) == attempt_outcome::not_run);
    facts.has_signature = true;
    REQUIRE(classify_answer(facts) != attempt_outcome::not_run);
    facts = {421, false, false, false, false, false};
    REQUIRE(classify_answer(facts) == attempt_outcome::wrong_server);
    facts = valid;
    facts.matches_request = false;
    REQUIRE(is_for_another_request(facts));
    facts = valid;
    facts.encoded = true;
    REQUIRE(classify_answer(facts) == attempt_outcome::answer_invalid);
}

// Guards against statuses that give a false guarantee, and against hop-by-hop fields that are not recognised.
TEST_CASE("refusals and unknown outcomes have different statuses, and hop-by-hop fields are recognised")
{
    for (std::size_t i = 0; i < core::number_of_values<core::refusal_reason>; ++i) {
        const auto reason = static_cast<core::refusal_reason>(i);
        const std::map<core::refusal_reason, unsigned> others{{core::refusal_reason::unknown_path, 404},
                                                              {core::refusal_reason::unknown_api_key, 401},
                                                              {core::refusal_reason::quota_exceeded, 429}};
        const auto other = others.find(reason);
        REQUIRE(status_of(reason) == (other == others.end() ? 503 : other->second));
    }
    REQUIRE(status_of(core::unknown_reason::server_timeout) == 504);
    REQUIRE(status_of(core::unknown_reason::connection_lost) == 502);
    REQUIRE(is_hop_by_hop("Transfer-Encoding", ""));
    REQUIRE(is_hop_by_hop("x-hop", "close, X-Hop"));
    REQUIRE_FALSE(is_hop_by_hop("X-Ho", "close, X-Hop"));
    REQUIRE(is_hop_by_hop("X-Hop", "My-X-Hop, X-Hop"));
    REQUIRE_FALSE(is_hop_by_hop("Cookie", "close"));
}

// Guards against an instance that starts with invalid settings, and against errors that are reported one by
// one.
TEST_CASE("all errors of a settings file are reported")
{
    const std::string valid =
        "[instance]\nname=i\ndata_centre=a\nregion=r\n[listen]\ncallers=127.0.0.1:1\n"
        "readiness=127.0.0.1:2\nlookups=127.0.0.1:3\npeers=127.0.0.1:4\nmetrics=127.0.0.1:5\n"
        "[platform]\nstore=127.0.0.1:6\n[timing]\ngrace_ms=7000\n[data_centres]\na=r\n";
    const auto read = parse_gateway_settings(valid);
    REQUIRE(read.errors.empty());
    REQUIRE(read.settings.grace_period == core::milliseconds(7000));
    REQUIRE(read.settings.data_centres.at(core::data_centre_id{"a"}).str() == "r");
    REQUIRE(parse_gateway_settings("").errors.size() >= 9);
    REQUIRE(parse_gateway_settings(valid + "[steering]\nlargest_shift=7\n").errors.size() == 1);
    REQUIRE(parse_gateway_settings("[instance\n").errors.size() == 1);
    REQUIRE(read_gateway_settings("/nonexistent").errors.size() == 1);
}

// Guards against callers that are sent to an instance without paths to the servers, or to none at all.
TEST_CASE("look-ups name instances that reach the servers, and if there are none, those that are ready")
{
    const core::data_centre_id a{"a"};
    const core::data_centre_id b{"b"};
    std::vector<lookup_entry> region{{{"cut", a, 1, true}, false},
                                     {{"sound", a, 1, true}, true},
                                     {{"not ready", a, 1, false}, true},
                                     {{"remote", b, 1, true}, true}};
    REQUIRE(choose_lookup_addresses(a, region) == std::vector<std::string>{"remote", "sound"});
    region.at(1).reaches_servers = region.at(3).reaches_servers = false;
    const auto regardless = choose_lookup_addresses(a, region);
    REQUIRE(regardless == std::vector<std::string>{"cut", "sound"});
    for (auto& entry : region)
        entry.candidate.ready = false;
    REQUIRE(choose_lookup_addresses(a, region).empty());
}

// Guards against an encoder and a decoder of messages between instances that do not match.
TEST_CASE("status, load and table change messages are decoded as encoded, malformed ones are ignored")
{
    steering::instance_status status;
    status.instance = core::instance_id{"i1"};
    status.location = {core::data_centre_id{"a"}, core::region_id{"r"}};
    status.caller_address = "127.0.0.1:1";
    status.incarnation = {5};
    status.sequence = 6;
    status.ready = true;
    status.demand[core::service_id{"orders"}] = 12.5;
    status.store = {true, true, 3, {7, 9}, true};
    const auto read_status = std::get<steering::instance_status>(decode_datagram(encode_datagram(status)));
    REQUIRE(read_status.instance == status.instance);
    REQUIRE(read_status.demand == status.demand);
    REQUIRE(read_status.ready);
    REQUIRE(read_status.store.reads);
    REQUIRE(read_status.store.era == 3);
    REQUIRE(read_status.store.newest_change == status.store.newest_change);
    REQUIRE(read_status.store.shares_copies);
    REQUIRE(decode_status(encode_status(status))->sequence == 6);

    // A message without the field, such as one of an older build, states that the servers are reached.
    REQUIRE(read_status.reaches_servers);
    status.reaches_servers = false;
    REQUIRE_FALSE(decode_status(encode_status(status))->reaches_servers);

    const steering::instance_load load{core::instance_id{"i1"}, {5}, 7, {{123, 2}, {456, 1}}};
    const auto read_load = std::get<steering::instance_load>(decode_datagram(encode_datagram(load)));
    REQUIRE(read_load.servers == load.servers);

    steering::table_change change;
    change.table = steering::replicated_table::servers;
    change.follows = 4;
    change.newest = 8;
    change.version = 9;
    change.rows = {{"gone", "", 7, true}, {"new", "value", 8, false}};
    const auto read_change = std::get<steering::table_change>(decode_datagram(encode_datagram(change)));
    REQUIRE(read_change.table == change.table);
    REQUIRE(read_change.follows == 4);
    REQUIRE(read_change.newest == 8);
    REQUIRE(read_change.version == 9);
    REQUIRE(read_change.rows.size() == 2);
    REQUIRE(read_change.rows.front().removed);
    REQUIRE(read_change.rows.back().value == "value");
    const replication::table_transfer transfer{steering::replicated_table::operators,
                                               true,
                                               4,
                                               8,
                                               9,
                                               3,
                                               {{"k", 8, replication::row_form::delta, 5, 70, 77, "p"}}};
    const auto read_transfer =
        std::get<replication::table_transfer>(decode_datagram(encode_datagram(transfer)));
    REQUIRE(read_transfer.complete);
    REQUIRE(read_transfer.follows == 4);
    REQUIRE(read_transfer.newest == 8);
    REQUIRE(read_transfer.version == 9);
    REQUIRE(read_transfer.era == 3);
    REQUIRE(read_transfer.rows.front().form == replication::row_form::delta);
    REQUIRE(read_transfer.rows.front().base_version == 5);
    REQUIRE(read_transfer.rows.front().size == 70);
    REQUIRE(read_transfer.rows.front().hash == 77);
    REQUIRE(read_transfer.rows.front().packed == "p");
    const std::vector<steering::crash_report> reports{
        {{5}, {{7, core::milliseconds(900), core::milliseconds(800)}}, {}, true},
        {{6}, {}, core::milliseconds(40), false}};
    const auto read_reports =
        std::get<std::vector<steering::crash_report>>(decode_datagram(encode_datagram(reports)));
    REQUIRE(read_reports.size() == 2);
    REQUIRE(read_reports.front().request == core::fingerprint{5});
    REQUIRE(read_reports.front().ends.front().process == 7);
    REQUIRE(read_reports.front().ends.front().began_age == core::milliseconds(900));
    REQUIRE(read_reports.front().ends.front().ended_age == core::milliseconds(800));
    REQUIRE(read_reports.front().suspected);
    REQUIRE_FALSE(read_reports.front().answered_age);
    REQUIRE_FALSE(read_reports.back().suspected);
    REQUIRE(read_reports.back().answered_age == core::milliseconds(40));
    // The longest message fits into a datagram.
    const steering::crash_report longest{{~0ULL},
                                         {4, {~0U, core::milliseconds(3600000), core::milliseconds(3600000)}},
                                         core::milliseconds(3600000),
                                         true};
    const std::vector<steering::crash_report> most_reports(64, longest);
    REQUIRE(encode_datagram(most_reports).size() <= peer_link::max_datagram_bytes);
    const std::vector<steering::limit_report> limits{{5, 6, 8.3, core::milliseconds(40)},
                                                     {7, 8, std::nullopt, core::milliseconds(50)},
                                                     {9, 9, -1.0, core::milliseconds(50)}};
    const auto read_limits =
        std::get<std::vector<steering::limit_report>>(decode_datagram(encode_datagram(limits)));
    REQUIRE(read_limits.size() == 2); // without the one that is no limit
    REQUIRE(read_limits.front().server == 5);
    REQUIRE(read_limits.front().process == 6);
    REQUIRE(read_limits.front().per_second == 8.3);
    REQUIRE(read_limits.front().age == core::milliseconds(40));
    REQUIRE_FALSE(read_limits.back().per_second);
    const std::vector<steering::limit_report> most_limits(250, {~0U, ~0U, 1e9, core::milliseconds(3600000)});
    REQUIRE(encode_datagram(most_limits).size() <= peer_link::max_datagram_bytes);
    const std::vector<steering::leaving_report> leaving{{5, 6}, {~0U, 8}};
    const auto read_leaving =
        std::get<std::vector<steering::leaving_report>>(decode_datagram(encode_datagram(leaving)));
    REQUIRE(read_leaving.size() == 2);
    REQUIRE(read_leaving.back().server == ~0U);
    REQUIRE(read_leaving.back().process == 8);
    const std::vector<steering::leaving_report> most_leaving(500, {~0U, ~0U});
    REQUIRE(encode_datagram(most_leaving).size() <= peer_link::max_datagram_bytes);
    REQUIRE(std::holds_alternative<std::monostate>(decode_datagram("nonsense")));
    REQUIRE(std::holds_alternative<std::monostate>(decode_datagram("")));
    REQUIRE_FALSE(decode_status("nonsense"));
}

// Guards against a server that is barred for ever, or not at all, by what it states.
TEST_CASE("a rest is a number of seconds of at most an hour")
{
    CHECK(parse_rest("3") == core::milliseconds(3000));
    CHECK(parse_rest("0.25") == core::milliseconds(250));
    CHECK(parse_rest("0") == core::milliseconds(0));
    CHECK(parse_rest("1e9") == std::chrono::hours(1));
    for (const auto* text :
         {"", "-1", "nan", "inf", "1e999", "3s", " 3", "soon", "Fri, 31 Dec 2027 23:59:59 GMT"})
        CHECK_FALSE(parse_rest(text));
}

// Guards against a connection that is kept for ever, or closed at once, because of an overflow.
TEST_CASE("an idle connection is kept for an hour at most, whatever the server states")
{
    CHECK(usable_idle_time("timeout=4, max=9") == std::chrono::seconds(3));
    CHECK(usable_idle_time("timeout=soon") == std::chrono::seconds(4));
    for (const auto* text : {"timeout=77772", "timeout=99999999999", "timeout=18446744073709551615"})
        CHECK(usable_idle_time(text) == std::chrono::hours(1));
}

// Guards against log lines that can't be parsed, and against injection through values that callers send.
TEST_CASE("a log line is a single JSON object for any values")
{
    json_line line("test");
    line.add("text", "a\"b\\c\nd\x01")
        .add("number", 5U)
        .add("flag", true)
        .add_ms("ms", core::milliseconds(3));
    REQUIRE(line.str() ==
            R"({"event":"test","text":"a\"b\\c\u000ad\u0001","number":5,"flag":true,"ms":3.0})");
}

// Guards against a log that blocks the gateway or grows without bound when its output is not read.
TEST_CASE("log lines are dropped without blocking when the reader of the log stalls")
{
    core::simulated_clock time;
    int pipe_ends[2] = {-1, -1};
    REQUIRE(::pipe2(pipe_ends, O_CLOEXEC) == 0);
    {
        event_log log({"stalled-log", 100000, 16384}, time, pipe_ends[1]);
        for (int round = 0; round < 40; ++round) {
            for (int i = 0; i < 100; ++i)
                log.info(json_line("filler").add("text", std::string(100, 'x')));
            log.flush();
        }
        REQUIRE(log.dropped() > 0);
    }
    ::close(pipe_ends[0]);
    ::close(pipe_ends[1]);
}

// Guards against logging that takes more processor time than the requests.
TEST_CASE("log lines beyond the rate limit are dropped and counted")
{
    core::simulated_clock time;
    const int output = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    event_log log({"limited-log", 10, 65536}, time, output);
    for (int i = 0; i < 30; ++i)
        log.info(json_line("filler"));
    REQUIRE(log.dropped() == 20);
    time.advance(std::chrono::seconds(1));
    log.info(json_line("filler"));
    REQUIRE(log.dropped() == 20);
    ::close(output);
}

// Guards against refusals that are missing in the metrics.
TEST_CASE("every reason of refusals has a counter from the start")
{
    gateway_metrics metrics;
    metrics.count(core::refusal_reason::no_free_slot);
    metrics.observe_answer("r", 200, core::milliseconds(120));
    const auto text = metrics.text();
    for (const auto name : core::names_of<core::refusal_reason>::table)
        REQUIRE(text.find("knapweed_refusals_total{reason=\"" + std::string(name) + "\"}") !=
                std::string::npos);
    REQUIRE(text.find("knapweed_refusals_total{reason=\"no_free_slot\"} 1") != std::string::npos);
    REQUIRE(text.find("knapweed_answer_seconds_bucket") != std::string::npos);
}

// Guards against a log in which a silent server looks like one that is not running.
TEST_CASE("a failed connection is classified by its cause")
{
    using steering::connect_failure;
    namespace errc = boost::system::errc;
    const auto error = [](errc::errc_t value) { return errc::make_error_code(value); };
    REQUIRE(classify_connect_error({}, false) == connect_failure::none);
    REQUIRE(classify_connect_error(error(errc::operation_canceled), true) == connect_failure::timed_out);
    REQUIRE(classify_connect_error(error(errc::connection_refused), false) == connect_failure::refused);
    REQUIRE(classify_connect_error(error(errc::connection_reset), false) == connect_failure::refused);
    REQUIRE(classify_connect_error(error(errc::host_unreachable), false) == connect_failure::other);
}

// Guards against look-ups that fail, or send callers nowhere, because of one instance's odd address.
TEST_CASE("a status message with an address that is none is ignored")
{
    steering::instance_status status;
    status.instance = core::instance_id{"i1"};
    for (const auto* address : {"\xff\xfe:80", "host:80", "127.0.0.1", "127.0.0.1:65536", "[1]"}) {
        status.caller_address = address;
        INFO(address);
        CHECK_FALSE(decode_status(encode_status(status)));
        CHECK_FALSE(
            std::holds_alternative<steering::instance_status>(decode_datagram(encode_datagram(status))));
    }
    status.caller_address = "127.0.0.1:80";
    CHECK(decode_status(encode_status(status)));
}
