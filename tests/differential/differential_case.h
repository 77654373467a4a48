#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace knapweed::differential {

/** Runs one random history on an implementation and on a simple model of it, and compares the results.
    @returns a description of the first difference; empty when there is none. */
using differential_check = std::function<std::string(std::uint64_t seed)>;

/** A named comparison of an implementation with its model. */
struct differential_case {
    std::string name;
    differential_check check;
};

/** @returns the registered cases. */
std::vector<differential_case>& all_cases();

/** Registers a case; define it as a global in the source file of the case. */
struct register_case {
    register_case(std::string name, differential_check check)
    {
        all_cases().push_back({std::move(name), std::move(check)});
    }
};

} // namespace knapweed::differential
