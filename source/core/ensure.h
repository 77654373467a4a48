#pragma once

namespace knapweed::core {

/** Writes the violated invariant to standard error and aborts the process. */
[[noreturn]] void abort_on_broken_invariant(const char* invariant);

/** Aborts the process with a message when an invariant of this program does not hold.

    Use it only for conditions that no input and no fault of another process can violate; report every other
    failure as a result. The function is inline so that compilers and static analysers see that execution
    continues only when the invariant holds.
*/
inline void ensure(bool invariant_holds, const char* invariant)
{
    if (!invariant_holds)
        abort_on_broken_invariant(invariant);
}

} // namespace knapweed::core
