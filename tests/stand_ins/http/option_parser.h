#pragma once

#include "core/clock.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::stand_ins {

/** Parses the long options of a command line and prints the text of `--help`. */
class option_parser {
public:
    /** Parses and stores the value of an option. @returns whether the value is valid. */
    using value_parser = std::function<bool(const std::string&)>;

    option_parser(std::string program, std::string summary);

    /** Adds an option.

        @param placeholder stands for the value in the help text; empty for a flag.
    */
    void add(std::string name, std::string placeholder, std::string help, value_parser parse_value);
    void add_flag(std::string name, std::string help, bool& target);
    void add_text(std::string name, std::string placeholder, std::string help, std::string& target);
    void add_number(std::string name, std::string help, std::uint64_t& target, std::uint64_t minimum,
                    std::uint64_t maximum);
    void add_decimal(std::string name, const std::string& help, double& target, double minimum,
                     double maximum);
    void add_milliseconds(std::string name, std::string help, core::milliseconds& target);

    /** @returns the exit code when the program must end: 0 after `--help`, 2 after invalid arguments. */
    [[nodiscard]] std::optional<int> parse(int argument_count, char** arguments) const;

    /** Prints an error in the arguments to standard error. @returns the exit code 2. */
    [[nodiscard]] int fail(const std::string& error) const;

private:
    struct option_entry {
        std::string name;
        std::string placeholder; ///< empty for a flag
        std::string help;
        value_parser parse_value;
    };

    void print_help(std::ostream& stream) const;

    std::string program_;
    std::string summary_;
    std::vector<option_entry> options_;
};

} // namespace knapweed::stand_ins
