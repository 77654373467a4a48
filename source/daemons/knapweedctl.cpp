#include "daemons/operator_client.h"

#include "operators/operators.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>

namespace {

using namespace knapweed;

std::string read_all(std::istream& input)
{
    return {std::istreambuf_iterator<char>{input}, {}};
}

/** Replaces the file name in the command `config apply FILE` with the contents of the file, or of standard
    input for `-`.
    @returns false if the file can't be read. */
bool insert_file_contents(operators::control_options& options)
{
    const auto file = operators::file_to_apply(options);
    if (!file)
        return true;
    std::ifstream input;
    if (*file != "-")
        input.open(*file);
    if (*file != "-" && !input)
        return false;
    options.command = "config apply " + read_all(*file == "-" ? std::cin : input);
    return true;
}

/** @returns a random identifier for a configuration change, unique among all changes. */
std::string make_operation_id()
{
    std::random_device random;
    std::string text = "ctl";
    for (int i = 0; i < 4; ++i)
        text += "-" + std::to_string(random());
    return text;
}

int run(std::vector<std::string> arguments)
{
    auto parsed = operators::parse_control_options(std::move(arguments));
    if (const auto* text = std::get_if<operators::control_text>(&parsed)) {
        (text->code == operators::exit_code::ok ? std::cout : std::cerr) << text->text;
        return static_cast<int>(text->code);
    }
    auto options = std::get<operators::control_options>(std::move(parsed));
    const char* user = std::getenv("USER");
    if (options.operator_name.empty())
        options.operator_name = user != nullptr ? user : "unknown";
    if (!insert_file_contents(options)) {
        std::cerr << "knapweedctl: can't read " << operators::file_to_apply(options).value_or("") << "\n";
        return static_cast<int>(operators::exit_code::usage);
    }
    const core::system_clock time;
    const auto start = time.now();
    const auto wait = [&time, start](core::milliseconds duration) {
        std::this_thread::sleep_for(duration);
        return std::chrono::duration_cast<core::milliseconds>(time.now() - start);
    };
    operators::control_session session{std::move(options), make_operation_id(), daemons::call_instance, wait};
    const auto outcome = session.run();
    std::cout << outcome.output;
    std::cerr << outcome.errors;
    return static_cast<int>(outcome.code);
}

} // namespace

int main(int count, char** arguments)
{
    return run({arguments, arguments + count});
}
