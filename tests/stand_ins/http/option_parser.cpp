#include "stand_ins/http/option_parser.h"

#include "stand_ins/http/http_messages.h"

#include <cstdlib>
#include <getopt.h>
#include <iomanip>
#include <iostream>

namespace knapweed::stand_ins {

namespace {

constexpr int help_code = 1000;
constexpr int first_option_code = 1001;
constexpr std::uint64_t max_milliseconds = 86'400'000;

} // namespace

option_parser::option_parser(std::string program, std::string summary)
    : program_(std::move(program)), summary_(std::move(summary))
{}

void option_parser::add(std::string name, std::string placeholder, std::string help, value_parser parse_value)
{
    options_.push_back({std::move(name), std::move(placeholder), std::move(help), std::move(parse_value)});
}

void option_parser::add_flag(std::string name, std::string help, bool& target)
{
    add(std::move(name), "", std::move(help), [&target](const std::string&) { return target = true; });
}

void option_parser::add_text(std::string name, std::string placeholder, std::string help, std::string& target)
{
    if (!target.empty())
        help += " [" + target + "]";
    add(std::move(name), std::move(placeholder), std::move(help), [&target](const std::string& text) {
        target = text;
        return !text.empty();
    });
}

void option_parser::add_number(std::string name, std::string help, std::uint64_t& target,
                               std::uint64_t minimum, std::uint64_t maximum)
{
    help += " [" + std::to_string(target) + "]";
    add(std::move(name), "N", std::move(help), [&target, minimum, maximum](const std::string& text) {
        const auto number = parse_number(text);
        if (!number || *number < minimum || *number > maximum)
            return false;
        target = *number;
        return true;
    });
}

void option_parser::add_decimal(std::string name, const std::string& help, double& target, double minimum,
                                double maximum)
{
    std::ostringstream text;
    text << " [" << target << "]";
    add(std::move(name), "X", help + text.str(), [&target, minimum, maximum](const std::string& argument) {
        char* end = nullptr;
        const double number = std::strtod(argument.c_str(), &end);
        if (argument.empty() || *end != '\0' || !(number >= minimum && number <= maximum))
            return false;
        target = number;
        return true;
    });
}

void option_parser::add_milliseconds(std::string name, std::string help, core::milliseconds& target)
{
    help += " [" + std::to_string(target.count()) + "]";
    add(std::move(name), "MS", std::move(help), [&target](const std::string& text) {
        const auto number = parse_number(text);
        if (!number || *number > max_milliseconds)
            return false;
        target = core::milliseconds{*number};
        return true;
    });
}

std::optional<int> option_parser::parse(int argument_count, char** arguments) const
{
    std::vector<option> long_options{{"help", no_argument, nullptr, help_code}};
    for (std::size_t i = 0; i < options_.size(); ++i) {
        const int has_value = options_[i].placeholder.empty() ? no_argument : required_argument;
        long_options.push_back(
            {options_[i].name.c_str(), has_value, nullptr, first_option_code + static_cast<int>(i)});
    }
    long_options.push_back({nullptr, 0, nullptr, 0});
    optind = 1;
    int code = 0;
    // The options are parsed before any thread is started.
    // NOLINTNEXTLINE(concurrency-mt-unsafe)
    while ((code = getopt_long(argument_count, arguments, "", long_options.data(), nullptr)) != -1) {
        if (code == help_code) {
            print_help(std::cout);
            return 0;
        }
        if (code < first_option_code)
            return fail("invalid option");
        const option_entry& entry = options_[static_cast<std::size_t>(code - first_option_code)];
        const std::string text = entry.placeholder.empty() ? "" : optarg;
        if (!entry.parse_value(text))
            return fail("--" + entry.name + ": invalid value '" + text + "'");
    }
    if (optind != argument_count)
        return fail(std::string{"unexpected argument '"} + arguments[optind] + "'");
    return std::nullopt;
}

int option_parser::fail(const std::string& error) const
{
    std::cerr << program_ << ": " << error << "; see --help for the options\n";
    return 2;
}

void option_parser::print_help(std::ostream& stream) const
{
    constexpr int help_column = 32;
    stream << "usage: " << program_ << " [OPTION...]\n" << summary_ << "\n\n";
    for (const option_entry& entry : options_) {
        const std::string option_text =
            "  --" + entry.name + (entry.placeholder.empty() ? "" : " " + entry.placeholder);
        stream << std::left << std::setw(help_column) << option_text << ' ' << entry.help << '\n';
    }
    stream << std::left << std::setw(help_column) << "  --help"
           << " print this text\n";
}

} // namespace knapweed::stand_ins
