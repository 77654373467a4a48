#include "refusal_run.h"
#include "seeded_main.h"

namespace {

constexpr const char* usage =
    R"(usage: knapweed_refusal --program FILE --kind restarts|renewals|both [--directory DIR] [--seed S] [--count N]
                        [--previous FILE]
Runs real gateways whose servers refuse a part of the requests and send copies of the refusals late.
  -p, --program FILE    path of knapweed-gateway
  -k, --kind KIND       restarts: servers start again at their addresses, and the entries of the former processes stay
                        for a time; renewals: entries are put anew, with other start times; both: both, while gateways
                        are told to stop, killed and suspended
  -d, --directory DIR   for histories, settings and logs; the current one by default
  -s, --seed S          seed of the first run, 1 by default
  -n, --count N         runs with consecutive seeds, 1 by default
  -o, --previous FILE   an earlier build of knapweed-gateway, with which every second gateway starts; requests that
                        it takes are not judged
Exit status: 0 when all promises were kept, 1 otherwise, 2 for bad arguments.
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace knapweed::soak;
    return seeded_main<refusal_run, refusal_options>(argc, argv, usage);
}
