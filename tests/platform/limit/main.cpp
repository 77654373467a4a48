#include "limit_run.h"
#include "seeded_main.h"

namespace {

constexpr const char* usage =
    R"(usage: knapweed_limit --program FILE --kind steady|cut|restart|freeze|late [--directory DIR] [--seed S] [--count N]
                     [--previous FILE]
Runs real gateways under load, while a quarter of the servers name a limit, lower it, and take it back or start again.
  -p, --program FILE    path of knapweed-gateway
  -k, --kind KIND       steady: all gateways run; cut, restart, freeze, late: one of them loses its paths to the
                        servers, is killed and started again, is suspended, or starts late
  -d, --directory DIR   for histories, settings and logs; the current one by default
  -s, --seed S          seed of the first run, 1 by default
  -n, --count N         runs with consecutive seeds, 1 by default
  -o, --previous FILE   an earlier build of knapweed-gateway, which every second gateway runs until it is restarted
Exit status: 0 when all promises were kept, 1 otherwise, 2 for bad arguments.
)";

} // namespace

int main(int argc, char** argv)
{
    using namespace knapweed::soak;
    return seeded_main<limit_run, trouble_options>(argc, argv, usage);
}
