#include "growth_run.h"
#include "seeded_main.h"

namespace {

constexpr const char* usage =
    R"(usage: knapweed_growth --program FILE --kind steady|storm|shrink|restart|cut|freeze [--directory DIR]
                       [--seed S] [--count N] [--previous FILE]
Runs real gateways that share a narrow path to their store, while configurations with many routes are written.
  -p, --program FILE    path of knapweed-gateway
  -k, --kind KIND       steady: a large one, and another one a second later; storm: four in a row; shrink: a large one,
                        and a small one; restart: some gateways are killed; cut, freeze: one gateway has no path to
                        the store, or is suspended
  -d, --directory DIR   for histories, settings and logs; the current one by default
  -s, --seed S          seed of the first run, 1 by default
  -n, --count N         runs with consecutive seeds, 1 by default
  -o, --previous FILE   an earlier build of knapweed-gateway, with which every second gateway starts
Exit status: 0 when all promises were kept, 1 otherwise, 2 for bad arguments.
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace knapweed::soak;
    return seeded_main<growth_run, growth_options>(argc, argv, usage);
}
