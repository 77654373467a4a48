#include "decision/ledger_differential.h"
#include "differential/differential_case.h"

namespace knapweed::differential {

namespace {

// Guards against a request that runs twice, a request that ran but is answered as not run, and an answer to
// another request, when messages are lost, delayed or repeated and instances restart or pause.
const register_case ledger_case{"ledger", [](std::uint64_t seed) { return test::run_ledger_history(seed); }};

} // namespace

} // namespace knapweed::differential
