#include "core/system_clock.h"
#include "stand_ins/http/process_lifetime.h"
#include "stand_ins/load/load_generator.h"

#include <boost/asio/co_spawn.hpp>

#include <fstream>
#include <iostream>

using namespace knapweed;

namespace {

std::string default_run_name(std::uint64_t seed, const core::clock& clock)
{
    return std::to_string(seed) + "-" + std::to_string(clock.wall_now().time_since_epoch().count());
}

int run_load(const stand_ins::load_options& options, const core::clock& clock)
{
    boost::asio::io_context context;
    stand_ins::load_generator generator{context.get_executor(), clock, options};
    bool complete = false;
    boost::asio::co_spawn(context, generator.run(), [&](const std::exception_ptr& error) {
        complete = error == nullptr;
        context.stop();
    });
    stand_ins::run_for_lifetime(context, options.lifetime_seconds);
    const stand_ins::load_report& report = generator.report();
    report.print_table(std::cout);
    if (!options.json_file.empty())
        std::ofstream{options.json_file} << report.to_json().dump(2) << '\n';
    if (!complete)
        std::cerr << "knapweed_load: stopped before all requests had an outcome and the ledgers were read\n";
    return complete && report.passed(options.allow_cut_off) ? 0 : 1;
}

} // namespace

int main(int argument_count, char** arguments)
{
    const core::system_clock clock;
    stand_ins::load_options options;
    stand_ins::option_parser parser{
        "knapweed_load", "Sends requests as callers do, checks every answer and prints a table of outcomes.\n"
                         "Exits with 0 only when no answer was truncated, crossed, malformed or cut off, no\n"
                         "request ran twice, and none ran that was reported as not run."};
    stand_ins::add_load_options(parser, options);
    if (const auto exit_code = parser.parse(argument_count, arguments))
        return *exit_code;
    if (options.entries.empty() || options.mix.empty())
        return parser.fail("--entries and --mix are required");
    if (options.caller.run_name.empty())
        options.caller.run_name = default_run_name(options.seed, clock);
    try {
        return run_load(options, clock);
    }
    catch (const std::exception& error) {
        std::cerr << "knapweed_load: " << error.what() << '\n';
        return 1;
    }
}
