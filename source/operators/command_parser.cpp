#include "operators/command.h"

#include <boost/spirit/home/x3.hpp>
#include <charconv>
#include <cmath>
#include <map>

namespace boost::spirit::x3 {

/** Gives a parser with a semantic action the name of the parser itself; otherwise error messages would
    contain its C++ type. */
template <typename Subject, typename Action>
struct get_info<action<Subject, Action>> {
    using result_type = std::string;
    std::string operator()(const action<Subject, Action>& parser) const { return what(parser.subject); }
};

} // namespace boost::spirit::x3

namespace knapweed::operators {

namespace {

namespace x3 = boost::spirit::x3;
using iterator = std::string_view::const_iterator;

// Texts that error messages use for what the grammar expects.
constexpr const char* a_command = "a command";
constexpr const char* a_target = "data_centre, backend_server or instance";
constexpr const char* a_config_action = "show, history or apply";
constexpr const char* a_quarantine_action = "list or lift";
constexpr const char* from_or_end = "`from REGION` or the end of the command";
constexpr const char* word_in = "`in`";

const std::map<std::string, std::vector<std::string>>& suggested_words()
{
    static const std::map<std::string, std::vector<std::string>> words{
        {a_command, {"where", "why", "drain", "undrain", "cap", "config", "quarantine", "status"}},
        {a_target, {"data_centre", "backend_server", "instance"}},
        {a_config_action, {"show", "history", "apply"}},
        {a_quarantine_action, {"list", "lift"}},
        {from_or_end, {"from"}},
        {word_in, {"in"}},
    };
    return words;
}

const auto name_character = x3::char_("A-Za-z0-9._-");

auto word(const char* text)
{
    return x3::omit[x3::lexeme[x3::lit(text) >> !name_character]];
}

/** @returns a rule with the name that error messages use for it. */
template <typename Tag, typename Attribute = x3::unused_type>
auto named_rule(const char* text)
{
    return x3::rule<Tag, Attribute>{text};
}

const auto name = named_rule<struct name_tag, std::string>("a name of [A-Za-z0-9._-]") =
    x3::lexeme[+name_character];
const auto server_name = named_rule<struct server_name_tag, std::string>("a name, or SERVICE/NAME") =
    x3::lexeme[+(name_character | x3::char_('/'))];
const auto subject = named_rule<struct subject_tag, std::string>("a service or a request") =
    x3::lexeme[+x3::graph];
const auto decimal = named_rule<struct decimal_tag, std::string>("a number") =
    x3::lexeme[+x3::digit >> -(x3::char_('.') >> +x3::digit) >> !name_character];
const auto hexadecimal =
    named_rule<struct hex_tag, std::uint64_t>("a fingerprint of 1 to 16 hexadecimal digits") =
        x3::lexeme[x3::uint_parser<std::uint64_t, 16, 1, 16>{} >> !name_character];
const auto json = named_rule<struct json_tag, std::string>("a configuration as JSON") =
    x3::lexeme[x3::char_('{') >> *x3::char_];
const auto end = named_rule<struct end_tag>("the end of the command") = x3::omit[x3::eoi];
const auto in = named_rule<struct in_tag>(word_in) = word("in");

/** Values that the semantic actions store while a line is parsed. */
struct parsed_values {
    command result;
    std::string percent;
    std::string seconds;
    iterator percent_end{};
    iterator seconds_end{};
};

/** @returns a semantic action that calls @p handler with the attribute. */
template <typename Use>
auto action(Use handler)
{
    return [handler](auto& context) { handler(x3::_attr(context)); };
}

auto drain_grammar(parsed_values& values)
{
    const auto drain = [&values](bool drained) {
        return [&values, drained](auto&) { values.result = drain_command{{}, {}, drained}; };
    };
    const auto target = [&values](drain_target kind) {
        return [&values, kind](auto&) { std::get<drain_command>(values.result).target = kind; };
    };
    const auto set_name =
        action([&values](const std::string& text) { std::get<drain_command>(values.result).name = text; });
    const auto verb = word("drain")[drain(true)] | word("undrain")[drain(false)];
    const auto kind = named_rule<struct target_tag>(a_target) =
        word("data_centre")[target(drain_target::data_centre)] |
        word("backend_server")[target(drain_target::backend_server)] |
        word("instance")[target(drain_target::instance)];
    return verb > kind > server_name[set_name] > end;
}

auto cap_grammar(parsed_values& values)
{
    const auto set_service = action([&values](const std::string& text) {
        values.result = cap_command{core::service_id{text}, 0, {}};
    });
    const auto set_percent = [&values](auto& context) {
        values.percent = x3::_attr(context);
        values.percent_end = x3::_where(context).begin();
    };
    const auto set_seconds = [&values](auto& context) {
        values.seconds = x3::_attr(context);
        values.seconds_end = x3::_where(context).begin();
    };
    return word("cap") > name[set_service] > decimal[set_percent] > in > decimal[set_seconds] > end;
}

auto where_grammar(parsed_values& values)
{
    const auto set_service = action([&values](const std::string& text) {
        values.result = where_command{core::service_id{text}, {}};
    });
    const auto set_region = action([&values](const std::string& text) {
        std::get<where_command>(values.result).from = core::region_id{text};
    });
    const auto rest = named_rule<struct from_tag>(from_or_end) =
        (word("from") > name[set_region] > end) | x3::omit[x3::eoi];
    return word("where") > name[set_service] > rest;
}

auto config_grammar(parsed_values& values)
{
    const auto show = [&values](auto&) { values.result = config_show_command{}; };
    const auto history = [&values](auto&) { values.result = config_history_command{}; };
    const auto apply =
        action([&values](const std::string& text) { values.result = config_apply_command{text}; });
    const auto what = named_rule<struct config_tag>(a_config_action) =
        (word("show")[show] > end) | (word("history")[history] > end) | (word("apply") > json[apply] > end);
    return word("config") > what;
}

auto quarantine_grammar(parsed_values& values)
{
    const auto list = [&values](auto&) { values.result = quarantine_list_command{}; };
    const auto lift = action([&values](std::uint64_t fingerprint) {
        values.result = quarantine_lift_command{core::fingerprint{fingerprint}};
    });
    const auto what = named_rule<struct quarantine_tag>(a_quarantine_action) =
        (word("list")[list] > end) | (word("lift") > hexadecimal[lift] > end);
    return word("quarantine") > what;
}

auto grammar(parsed_values& values)
{
    const auto set_subject =
        action([&values](const std::string& text) { values.result = why_command{text}; });
    const auto set_status = [&values](auto&) { values.result = status_command{}; };
    const auto why = word("why") > subject[set_subject] > end;
    const auto status = word("status")[set_status] > end;
    const auto any = named_rule<struct command_tag>(a_command) =
        where_grammar(values) | why | drain_grammar(values) | cap_grammar(values) | config_grammar(values) |
        quarantine_grammar(values) | status;
    return x3::eps > any;
}

/** @returns the number times 1000 / @p unit, if this is a whole number in [min, max]. */
std::optional<std::uint32_t> thousandths(const std::string& text, double unit, double min, double max)
{
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const double scaled = value * 1000 / unit;
    const double whole = std::round(scaled);
    constexpr double tolerance = 1e-6;
    if (parsed.ec != std::errc{} || std::abs(scaled - whole) > tolerance || whole < min || whole > max)
        return std::nullopt;
    return static_cast<std::uint32_t>(whole);
}

/** Checks the numbers of a cap command and stores them in the command.
    @returns nothing when they are valid or the command is another one. */
std::optional<command_error> set_cap_numbers(parsed_values& values, iterator begin)
{
    auto* cap = std::get_if<cap_command>(&values.result);
    if (cap == nullptr)
        return std::nullopt;
    const auto position = [begin](iterator end_of_number, const std::string& number) {
        return static_cast<std::size_t>(end_of_number - begin) - number.size();
    };
    const auto permille = thousandths(values.percent, 100, 1, 1000);
    if (!permille) {
        return command_error{position(values.percent_end, values.percent),
                             "the cap must be 0.1 to 100 percent in steps of 0.1", ""};
    }
    const auto window = thousandths(values.seconds, 1, 100, 600'000);
    if (!window) {
        return command_error{position(values.seconds_end, values.seconds),
                             "the window must be 0.1 to 600 seconds in steps of 0.001", ""};
    }
    cap->permille = *permille;
    cap->window = core::milliseconds{*window};
    return std::nullopt;
}

} // namespace

std::variant<command, command_error> parse_command(std::string_view line)
{
    if (line.size() > longest_command)
        return command_error{longest_command, "the command is too long", ""};
    parsed_values values;
    iterator position_in_line = line.begin();
    try {
        const bool parsed = x3::phrase_parse(position_in_line, line.end(), grammar(values), x3::space);
        core::ensure(parsed, "the grammar reports each mismatch as a failed expectation");
    }
    catch (const x3::expectation_failure<iterator>& failure) {
        iterator start = failure.where();
        while (start != line.end() && std::isspace(static_cast<unsigned char>(*start)) != 0)
            ++start;
        iterator stop = start;
        while (stop != line.end() && std::isspace(static_cast<unsigned char>(*stop)) == 0)
            ++stop;
        const auto words = suggested_words().find(failure.which());
        const std::string_view found{start, stop};
        return command_error{static_cast<std::size_t>(start - line.begin()), "expected " + failure.which(),
                             words == suggested_words().end() ? "" : closest_word(found, words->second)};
    }
    if (auto error = set_cap_numbers(values, line.begin()))
        return std::move(*error);
    return std::move(values.result);
}

} // namespace knapweed::operators
