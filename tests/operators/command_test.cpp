#include "operators/operators.h"
#include "state/samples.h"

#include <catch2/catch.hpp>

using namespace knapweed;
using namespace operators;
using namespace std::chrono_literals;

namespace {

template <typename Kind>
Kind parsed(std::string_view line)
{
    INFO(line);
    const auto result = parse_command(line);
    if (const auto* error = std::get_if<command_error>(&result))
        FAIL(describe(*error));
    return std::get<Kind>(std::get<command>(result));
}

command_error error_of(std::string_view line)
{
    INFO(line);
    const auto result = parse_command(line);
    REQUIRE(std::holds_alternative<command_error>(result));
    return std::get<command_error>(result);
}

std::variant<wire::configuration, command_error> applied(std::string_view line,
                                                         const wire::configuration& configuration)
{
    return apply_command(configuration, std::get<command>(parse_command(line)));
}

} // namespace

// Guards against a command that is parsed as another one, or without one of its words.
TEST_CASE("each command is parsed into its values")
{
    REQUIRE(parsed<where_command>("where orders").service.str() == "orders");
    REQUIRE(parsed<where_command>("  where orders  from r1 ").from == core::region_id{"r1"});
    REQUIRE(parsed<where_command>("where from from from").service.str() == "from");
    REQUIRE(parsed<why_command>("why alice/42:k~1").subject == "alice/42:k~1");
    const auto drain = parsed<drain_command>("drain backend_server orders/s-1");
    REQUIRE(drain.target == drain_target::backend_server);
    REQUIRE(drain.name == "orders/s-1");
    REQUIRE(drain.drained);
    REQUIRE_FALSE(parsed<drain_command>("undrain data_centre a1").drained);
    REQUIRE(parsed<drain_command>("drain instance e1").target == drain_target::instance);
    const auto cap = parsed<cap_command>("cap orders 12.5 in 0.25");
    REQUIRE(cap.permille == 125);
    REQUIRE(cap.window == 250ms);
    parsed<config_show_command>("config show");
    parsed<config_history_command>("config history");
    REQUIRE(parsed<config_apply_command>("config apply {\"a\": \" b\"}").json == "{\"a\": \" b\"}");
    parsed<quarantine_list_command>("quarantine list");
    REQUIRE(parsed<quarantine_lift_command>("quarantine lift 00fF").fingerprint.value == 255);
    parsed<status_command>("status");
}

// Guards against an error message that contains a C++ type instead of what is missing.
TEST_CASE("config apply without a configuration reports that JSON is expected")
{
    const auto parsed = knapweed::operators::parse_command("config apply");
    const auto* error = std::get_if<knapweed::operators::command_error>(&parsed);
    REQUIRE(error != nullptr);
    CHECK(error->message == "expected a configuration as JSON");
}

// Guards against error messages without the position of the mistake or a suggestion.
TEST_CASE("an error contains the position and the most similar valid word")
{
    struct mistake {
        const char* line;
        std::size_t position;
        const char* suggestion;
    };
    const std::vector<mistake> mistakes{
        {"", 0, ""},
        {"drian data_centre a1", 0, "drain"},
        {"statuss", 0, "status"},
        {"xyzzy", 0, ""},
        {"drain datacentre a1", 6, "data_centre"},
        {"drain data_centre", 17, ""},
        {"drain data_centre a1 a2", 21, ""},
        {"where orders form r1", 13, "from"},
        {"where orders from", 17, ""},
        {"config aply {}", 7, "apply"},
        {"config apply x", 13, ""},
        {"quarantine lsit", 11, "list"},
        {"quarantine lift xyz", 16, ""},
        {"quarantine lift 12345678901234567", 16, ""},
        {"cap orders 20 on 10", 14, "in"},
        {"cap orders -1 in 10", 11, ""},
        {"cap orders nan in 10", 11, ""},
        {"cap orders 0 in 10", 11, ""},
        {"cap orders 101 in 10", 11, ""},
        {"cap orders 12.34 in 10", 11, ""},
        {"cap orders 20 in 601", 17, ""},
        {"cap orders 20 in 0", 17, ""},
    };
    for (const auto& mistake : mistakes) {
        const auto error = error_of(mistake.line);
        INFO(mistake.line << ": " << describe(error));
        REQUIRE(error.position == mistake.position);
        REQUIRE(error.suggestion == mistake.suggestion);
        REQUIRE_FALSE(error.message.empty());
    }
}

// Guards against input that aborts the process.
TEST_CASE("random lines are parsed to a command or an error")
{
    core::random_source random{11};
    const std::string letters = "where from config apply{}drain 0.9/\t\n\"\x01\xff";
    for (int i = 0; i < 20000; ++i) {
        std::string line;
        for (auto length = random.below(30); length > 0; --length)
            line += letters[random.below(letters.size())];
        const auto result = parse_command(line);
        if (const auto* error = std::get_if<command_error>(&result))
            REQUIRE(error->position.value() <= line.size());
    }
    REQUIRE(error_of(std::string(longest_command + 1, 'x')).message == "the command is too long");
}

// Guards against a command that changes another field, or that accepts an unknown name.
TEST_CASE("a command changes only the named part of the configuration")
{
    const auto before = tests::sample_configuration(4);
    auto expected = before;
    expected.mutable_data_centres(1)->set_drained(true);
    const auto drained = std::get<wire::configuration>(applied("drain data_centre a2", before));
    REQUIRE(drained.SerializeAsString() == expected.SerializeAsString());
    const auto undrained = std::get<wire::configuration>(applied("undrain data_centre a2", drained));
    REQUIRE(undrained.data_centres(1).drained() == false);
    const auto server = std::get<wire::configuration>(applied("drain backend_server s1", before));
    REQUIRE(server.services(0).backend_servers(0).drained());
    const auto cap = std::get<wire::configuration>(applied("cap orders 5 in 30", before));
    REQUIRE(cap.services(0).shift_cap_permille() == 50);
    REQUIRE(cap.services(0).shift_window_ms() == 30000);
    REQUIRE(cap.version() == 4);

    REQUIRE(describe(std::get<command_error>(applied("cap order 5 in 30", before))) ==
            "no service is named order; did you mean `orders`?");
    REQUIRE(std::get<command_error>(applied("drain data_centre c9", before)).message ==
            "no data centre is named c9");
    for (const auto* line : {"status", "drain instance e1", "undrain data_centre a1", "cap orders 20 in 10"})
        REQUIRE(std::holds_alternative<command_error>(applied(line, before)));
}

// Guards against a backend server that is drained in the wrong service.
TEST_CASE("a server name that several services use is refused without the name of the service")
{
    auto configuration = tests::sample_configuration(4);
    auto& other = *configuration.add_services();
    other = configuration.services(0);
    other.set_name("scans");
    other.mutable_backend_servers(0)->set_address("127.0.0.1:9002");
    REQUIRE(std::holds_alternative<command_error>(applied("drain backend_server s1", configuration)));
    const auto drained =
        std::get<wire::configuration>(applied("drain backend_server scans/s1", configuration));
    REQUIRE(drained.services(1).backend_servers(0).drained());
    REQUIRE_FALSE(drained.services(0).backend_servers(0).drained());
}

// Guards against applying a configuration that is invalid or was made from an old version.
TEST_CASE("an applied configuration must be valid and made from the version in force")
{
    const auto in_force = tests::sample_configuration(4);
    auto edited = in_force;
    edited.mutable_services(0)->set_max_run_ms(7000);
    const auto apply = [&in_force](const wire::configuration& candidate) {
        return applied("config apply " + state::to_json(candidate), in_force);
    };
    REQUIRE(std::get<wire::configuration>(apply(edited)).services(0).max_run_ms() == 7000);
    edited.set_version(3);
    REQUIRE(std::get<command_error>(apply(edited)).message ==
            "made from version 3, but version 4 is in force");
    edited.set_version(0);
    REQUIRE(std::get<wire::configuration>(apply(edited)).version() == 4);
    edited.mutable_services(0)->set_max_run_ms(0);
    REQUIRE(std::get<command_error>(apply(edited)).message.find("services[orders].max_run_ms") !=
            std::string::npos);
    REQUIRE(std::holds_alternative<command_error>(applied("config apply {\"servces\": []}", in_force)));
}
