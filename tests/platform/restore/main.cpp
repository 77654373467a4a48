#include "restore_run.h"
#include "seeded_main.h"

namespace {

constexpr const char* usage =
    R"(usage: knapweed_restore --program FILE --kind steady|overtake|twice|cut|freeze|restart [--directory DIR]
                        [--seed S] [--count N] [--previous FILE]
Runs real gateways while their store comes back from an older copy of its rows.
  -p, --program FILE    path of knapweed-gateway
  -k, --kind KIND       steady: nothing else happens; overtake: the counter of versions has passed the old ones before
                        anyone reads; twice: it happens again; cut, freeze: one gateway loses the store, or is
                        suspended, across it; restart: all gateways are killed and started again meanwhile
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
    return seeded_main<restore_run, restore_options>(argc, argv, usage);
}
