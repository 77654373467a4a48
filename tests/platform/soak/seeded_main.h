#pragma once

#include "core/core.h"

#include <cstdio>
#include <filesystem>
#include <getopt.h>
#include <optional>
#include <string>

namespace knapweed::soak {

/** The main function of a program that makes runs of one kind with consecutive seeds.
    @tparam Run constructed from @p Options, which has `program`, `previous_program`, `directory`, `seed` and
   `kind`; its `run` returns `broken`, `summary` and `history`.
    @returns 0 when all promises were kept, 1 otherwise, 2 for bad arguments. */
template <typename Run, typename Options>
int seeded_main(int argc, char** argv, const char* usage)
{
    using kind_type = decltype(Options::kind);
    constexpr int exit_broken = 1;
    constexpr int exit_bad_input = 2;
    constexpr option long_options[] = {{"program", required_argument, nullptr, 'p'},
                                       {"kind", required_argument, nullptr, 'k'},
                                       {"directory", required_argument, nullptr, 'd'},
                                       {"seed", required_argument, nullptr, 's'},
                                       {"count", required_argument, nullptr, 'n'},
                                       {"previous", required_argument, nullptr, 'o'},
                                       {nullptr, 0, nullptr, 0}};
    Options options;
    options.directory = ".";
    std::optional<kind_type> kind;
    std::uint64_t count = 1;
    bool valid = true;
    for (int key = 0; (key = getopt_long(argc, argv, "p:k:d:s:n:o:", long_options, nullptr)) != -1;) {
        switch (key) {
        case 'p':
            options.program = optarg;
            break;
        case 'k':
            kind = core::parse_name<kind_type>(optarg);
            break;
        case 'd':
            options.directory = optarg;
            break;
        case 's':
            options.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'o':
            options.previous_program = optarg;
            break;
        case 'n':
            count = std::strtoull(optarg, nullptr, 10);
            break;
        default:
            valid = false;
        }
    }
    if (!valid || !kind || options.program.empty() || optind != argc) {
        std::fputs(usage, stderr);
        return exit_bad_input;
    }
    options.kind = *kind;
    std::filesystem::create_directories(options.directory);
    bool all_kept = true;
    for (std::uint64_t i = 0; i < count; ++i, ++options.seed) {
        const auto result = Run(options).run();
        std::printf("%s, seed %llu: %s: %s\n", std::string(core::name_of(*kind)).c_str(),
                    static_cast<unsigned long long>(options.seed), result.summary.c_str(),
                    result.broken.empty() ? "kept" : "BROKEN");
        for (const auto& promise : result.broken)
            std::printf("  %s\n", promise.c_str());
        if (!result.broken.empty())
            std::printf("  history: %s\n", result.history.c_str());
        std::fflush(stdout);
        all_kept = all_kept && result.broken.empty();
    }
    return all_kept ? 0 : exit_broken;
}

} // namespace knapweed::soak
