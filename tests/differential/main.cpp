#include "differential/differential_case.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>

namespace knapweed::differential {

std::vector<differential_case>& all_cases()
{
    static std::vector<differential_case> cases;
    return cases;
}

} // namespace knapweed::differential

int main(int argc, char** argv)
{
    using namespace knapweed::differential;
    std::uint64_t seed = 1;
    std::uint64_t history_count = 200;
    const option options[] = {{"seed", required_argument, nullptr, 's'},
                              {"count", required_argument, nullptr, 'n'},
                              {nullptr, 0, nullptr, 0}};
    for (int option_code = 0; (option_code = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (option_code == 's')
            seed = std::strtoull(optarg, nullptr, 10);
        else if (option_code == 'n')
            history_count = std::strtoull(optarg, nullptr, 10);
        else
            return EXIT_FAILURE;
    }
    for (const auto& compared_case : all_cases()) {
        for (std::uint64_t i = seed; i < seed + history_count; ++i) {
            if (const auto difference = compared_case.check(i); !difference.empty()) {
                std::printf("%s: seed %llu: %s\n", compared_case.name.c_str(),
                            static_cast<unsigned long long>(i), difference.c_str());
                return EXIT_FAILURE;
            }
        }
        std::printf("%s: %llu histories agree\n", compared_case.name.c_str(),
                    static_cast<unsigned long long>(history_count));
    }
    return EXIT_SUCCESS;
}
