#include "cut_run.h"

#include <cstdio>
#include <filesystem>
#include <getopt.h>

namespace {

using namespace knapweed;
using namespace knapweed::soak;

constexpr int exit_broken = 1;
constexpr int exit_bad_input = 2;

constexpr const char* usage =
    R"(usage: knapweed_cut --program FILE --kind hang|reset|live_on [--directory DIR] [--seed S] [--count N]
Runs real gateways of which some lose their paths to all servers, while they reach callers, the store and each other.
  -p, --program FILE    path of knapweed-gateway
  -k, --kind KIND       hang: new connections get no answer, and bytes on open ones vanish;
                        reset: open connections are reset, and new ones refused;
                        live_on: open connections live on, and new ones are refused
  -d, --directory DIR   for histories, settings and logs; the current one by default
  -s, --seed S          seed of the first run, 1 by default
  -n, --count N         runs with consecutive seeds, 1 by default
Exit status: 0 when all promises and bounds were kept, 1 otherwise, 2 for bad arguments.
)";

struct command_line {
    cut_options options;
    std::uint64_t count = 1;
    bool valid = true;
};

command_line parse(int argc, char** argv)
{
    constexpr option long_options[] = {
        {"program", required_argument, nullptr, 'p'},   {"kind", required_argument, nullptr, 'k'},
        {"directory", required_argument, nullptr, 'd'}, {"seed", required_argument, nullptr, 's'},
        {"count", required_argument, nullptr, 'n'},     {nullptr, 0, nullptr, 0}};
    command_line line;
    line.options.directory = ".";
    std::optional<link_cut> kind;
    for (int key = 0; (key = getopt_long(argc, argv, "p:k:d:s:n:", long_options, nullptr)) != -1;) {
        switch (key) {
        case 'p':
            line.options.program = optarg;
            break;
        case 'k':
            kind = core::parse_name<link_cut>(optarg);
            break;
        case 'd':
            line.options.directory = optarg;
            break;
        case 's':
            line.options.seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'n':
            line.count = std::strtoull(optarg, nullptr, 10);
            break;
        default:
            line.valid = false;
        }
    }
    line.valid = line.valid && kind && !line.options.program.empty() && optind == argc;
    line.options.kind = kind.value_or(link_cut::hang);
    return line;
}

/** @returns whether all promises and bounds were kept. */
bool run_once(const cut_options& options)
{
    const auto result = cut_run(options).run();
    std::printf("%s, seed %llu: %s: %s\n", std::string(core::name_of(options.kind)).c_str(),
                static_cast<unsigned long long>(options.seed), result.summary.c_str(),
                result.broken.empty() ? "kept" : "BROKEN");
    for (const auto& promise : result.broken)
        std::printf("  %s\n", promise.c_str());
    if (!result.broken.empty())
        std::printf("  history: %s\n", result.history.c_str());
    std::fflush(stdout);
    return result.broken.empty();
}

} // namespace

int main(int argc, char** argv)
{
    auto line = parse(argc, argv);
    if (!line.valid) {
        std::fputs(usage, stderr);
        return exit_bad_input;
    }
    std::filesystem::create_directories(line.options.directory);
    bool kept = true;
    for (std::uint64_t i = 0; i < line.count; ++i, ++line.options.seed)
        kept = run_once(line.options) && kept;
    return kept ? 0 : exit_broken;
}
