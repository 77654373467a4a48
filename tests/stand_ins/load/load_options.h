#pragma once

#include "stand_ins/http/option_parser.h"
#include "stand_ins/load/load_caller.h"

namespace knapweed::stand_ins {

/** Command-line options of the load tool. */
struct load_options {
    std::vector<tcp::endpoint> entries;  ///< entry instances; backend servers if `caller.direct` is set
    std::vector<tcp::endpoint> backends; ///< servers whose ledgers are read at the end
    request_mix mix;
    double rate = 100; ///< requests per second
    std::uint64_t duration_seconds = 10;
    std::uint64_t callers = 50;
    std::uint64_t seed = 1;
    core::milliseconds settle{500}; ///< time between the last outcome and the reading of the ledgers
    std::string json_file;
    bool allow_cut_off = false;
    std::uint64_t lifetime_seconds = 600;
    caller_options caller;
};

/** Adds all options of the load tool to a parser. */
void add_load_options(option_parser& parser, load_options& options);

} // namespace knapweed::stand_ins
