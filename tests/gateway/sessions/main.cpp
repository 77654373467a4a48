#include "gateway/session_model_schedule.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>

namespace {

/** Plays one schedule. @returns whether all promises were kept. */
bool play(std::uint64_t seed, bool shows_events)
{
    knapweed::test::session_model_schedule schedule(seed);
    const auto& violations = schedule.play();
    if (!violations.empty() || shows_events) {
        for (const auto& event : schedule.events())
            std::printf("%s\n", event.c_str());
    }
    for (const auto& violation : violations)
        std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), violation.c_str());
    return violations.empty();
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t seed = 1;
    std::uint64_t count = 1000;
    bool shows_events = false;
    bool goes_on = false;
    const option options[] = {{"seed", required_argument, nullptr, 's'},
                              {"count", required_argument, nullptr, 'n'},
                              {"events", no_argument, nullptr, 'e'},
                              {"go-on", no_argument, nullptr, 'g'},
                              {nullptr, 0, nullptr, 0}};
    for (int option_code = 0; (option_code = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (option_code == 's')
            seed = std::strtoull(optarg, nullptr, 10);
        else if (option_code == 'n')
            count = std::strtoull(optarg, nullptr, 10);
        else if (option_code == 'e')
            shows_events = true;
        else if (option_code == 'g')
            goes_on = true;
        else
            return EXIT_FAILURE;
    }
    std::uint64_t failed = 0;
    std::uint64_t played = 0;
    for (; played < count && (failed == 0 || goes_on); ++played)
        failed += play(seed + played, shows_events) ? 0 : 1;
    std::printf("%llu schedules played, %llu broke a promise\n", static_cast<unsigned long long>(played),
                static_cast<unsigned long long>(failed));
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
