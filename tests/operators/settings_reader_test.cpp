#include "operators/settings_reader.h"

#include <catch2/catch.hpp>

using namespace knapweed;

namespace {

constexpr const char* valid = "; comment\n"
                              "[instance]\n"
                              "name = e1\n"
                              "data_centre = a1\n"
                              "region = a\n"
                              "listen = 127.0.0.1:7001\n"
                              "[platform]\n"
                              "table_service = 127.0.0.1:7100\n";

std::string only_error(const std::string& text)
{
    const auto result = operators::parse_settings(text, "e1.ini");
    REQUIRE(result.errors.size() == 1);
    return operators::to_string(result.errors[0]);
}

} // namespace

// Guards against a default value of the schema that is not applied.
TEST_CASE("valid settings are read, and missing keys have their default values")
{
    const auto result =
        operators::parse_settings(std::string(valid) + "[limits]\nring_entries=64\n", "e1.ini");
    REQUIRE(result.errors.empty());
    REQUIRE(result.settings.instance().listen() == "127.0.0.1:7001");
    REQUIRE(result.settings.limits().ring_entries() == 64);
    REQUIRE(result.settings.limits().request_body_bytes() == 1048576);
    REQUIRE(result.settings.log().level() == "info");
}

// Guards against a misspelt or malformed setting that is replaced by its default without an error.
TEST_CASE("each mistake in the settings is an error with file and line")
{
    const std::string start = valid;
    CHECK(only_error(start + "[limit]\n") == "e1.ini:9: unknown section 'limit'");
    CHECK(only_error(start + "tabel = 1\n") == "e1.ini:9: unknown key 'tabel' in section 'platform'");
    CHECK(only_error(start + "calls_in_flight = four\n") ==
          "e1.ini:9: 'calls_in_flight' must be a number of count from 1 to 64, not 'four'");
    CHECK(only_error(start + "calls_in_flight = 65\n").find("from 1 to 64, not '65'") != std::string::npos);
    CHECK(only_error(start + "calls_in_flight = -1\n").find("not '-1'") != std::string::npos);
    CHECK(only_error(start + "[log]\nlevel = loud\n") ==
          "e1.ini:10: 'level' must be debug, info, warn or error, not 'loud'");
    CHECK(only_error("stray = 1\n" + start) == "e1.ini:1: key 'stray' stands before the first section");
    CHECK(only_error(start + "no equals sign\n").starts_with("e1.ini:9: "));
    CHECK(only_error(start + "[platform]\n").starts_with("e1.ini:9: "));
    CHECK(only_error(start + "[steering]\nsuspect_after_ms = 400\n").starts_with("e1.ini:10: "));
}

TEST_CASE("a missing required key is reported at the line of its section, and all errors are reported")
{
    const auto result = operators::parse_settings("[instance]\nname = e 1\ndata_centre = a1\nregion = a\n"
                                                  "listen = localhost:7001\n[platform]\n",
                                                  "e1.ini");
    REQUIRE(result.errors.size() == 3);
    CHECK(result.errors[0].line == 2);
    CHECK(result.errors[1].line == 5);
    CHECK(operators::to_string(result.errors[2]) ==
          "e1.ini:6: missing required key 'table_service' in section 'platform'");
}

// Guards against a daemon that starts with defaults because its settings file is missing.
TEST_CASE("a settings file that can't be read is an error")
{
    REQUIRE(operators::read_settings("/nonexistent/e1.ini").errors.size() == 1);
}
