#pragma once

#include "matrix/caller.h"
#include "matrix/faults.h"

namespace knapweed::matrix {

/** What a cell tests: a request, a configuration change, a change of pool owner, a drain or a graceful stop.
 */
enum class subject_kind { non_idempotent, idempotent, configuration_change, ownership_change, drain, stop };

/** A cell of the matrix: a fault, or a pair of them, at one step of one kind of subject. */
struct cell_plan {
    const fault* first_fault = nullptr;
    const fault* second_fault = nullptr; ///< begins one second after the first; null: none
    subject_kind kind = subject_kind::non_idempotent;
    std::string step; ///< one of `steps_of(kind)`
    std::uint64_t seed = 1;
    bool verbose = false;
    bool count_runs_twice = false; ///< for the self-test
};

struct cell_result {
    bool applicable = true; ///< the subject reached the step
    std::string inapplicable_reason;
    std::map<std::string, std::string> violations; ///< first detail by broken promise
};

[[nodiscard]] std::string name_of(subject_kind kind);
/** @returns the names of the steps of a subject, in order. */
[[nodiscard]] const std::vector<std::string>& steps_of(subject_kind kind);

/** Runs a cell in one topology variant. */
[[nodiscard]] cell_result run_cell(const cell_plan& plan, int variant);
/** Runs a cell in all variants; it is applicable when the step is reached in one of them. */
[[nodiscard]] cell_result run_cell(const cell_plan& plan);

} // namespace knapweed::matrix
