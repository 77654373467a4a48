#include "gateway/gateway_settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

using namespace knapweed;

namespace {

using field_values = std::map<std::string, std::string>;

/** @returns the fields of a settings file of the platform, without those of no use here. */
field_values sample_fields()
{
    return {{"nodeName", "front-a-1"},
            {"zone", "a"},
            {"region", "r"},
            {"ip", "127.0.0.1"},
            {"internalPorts.0", "7620"},
            {"limits.cpuShare", "0.2"},
            {"limits.cores", "1"},
            {"limits.maxFds", "4100"},
            {"listen.front", "127.0.0.1:1"},
            {"listen.ready", "127.0.0.1:2"},
            {"listen.directory", "127.0.0.1:3"},
            {"platform.address", "127.0.0.1:4"},
            {"bounds.graceS", "6"},
            {"bounds.maxShift", "0.15"},
            {"bounds.coldMultiplier", "1.5"},
            {"bounds.coldSlack", "5"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.budgetExtra", "60"}};
}

/** Fills the template in as the platform does, for the data centre `a` in the region `r`. */
std::string render(std::string text, const field_values& fields)
{
    text = std::regex_replace(text, std::regex(R"(\{\{#zones\}\}[^]*\{\{/zones\}\})"), "a = r");
    // A section of a field is left out where the field has no value.
    const std::regex section(R"(\{\{#([\w.]+)\}\}\n([^]*?)\{\{/\1\}\}\n)");
    for (std::smatch found; std::regex_search(text, found, section);) {
        const auto field = fields.find(found[1]);
        const auto inner =
            field == fields.end()
                ? std::string()
                : std::regex_replace(found[2].str(), std::regex(R"(\{\{\.\}\})"), field->second);
        text = found.prefix().str() + inner + found.suffix().str();
    }
    for (const auto& [name, value] : fields) {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }
    return text;
}

std::string read_template()
{
    const std::ifstream file(std::string(KNAPWEED_SOURCE_DIRECTORY) + "/deploy/gateway.ini.template");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

// Guards against a process that doesn't start because a bound of the platform is a fraction.
TEST_CASE("the settings are valid with a fraction in each bound")
{
    const auto text = read_template();
    REQUIRE(render(text, sample_fields()).find("{{") == std::string::npos);
    for (const auto& [name, whole] : sample_fields()) {
        if (!name.starts_with("bounds."))
            continue;
        auto fields = sample_fields();
        fields[name] = whole.find('.') == std::string::npos ? whole + ".25" : whole;
        INFO(name << " = " << fields[name]);
        const auto read = gateway::parse_gateway_settings(render(text, fields));
        REQUIRE(read.errors.empty());
        CHECK(read.settings.grace_period == core::milliseconds(name == "bounds.graceS" ? 6250 : 6000));
    }
}

// Guards against a tolerance of quotas that the platform states and the template leaves out, or the other way
// round.
TEST_CASE("the tolerance of quotas is that of the platform, and the default where it states none")
{
    const auto text = read_template();
    auto fields = sample_fields();
    const auto without = gateway::parse_gateway_settings(render(text, fields));
    REQUIRE(without.settings.quota_margin.slack == 20);
    fields["bounds.quotaExcess"] = "0.25";
    fields["bounds.quotaSlack"] = "7";
    const auto read = gateway::parse_gateway_settings(render(text, fields));
    REQUIRE(read.errors.empty());
    REQUIRE(read.settings.quota_margin.excess == 0.25);
    REQUIRE(read.settings.quota_margin.slack == 7);
}
