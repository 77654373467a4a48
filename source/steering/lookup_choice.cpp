#include "steering/lookup_choice.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Minimum part of the known capacity that the named instances have together. It is enough since the
   instances of a data centre are lightly used. With two sizes of 0.1 and 0.5 cores, the large ones alone
   exceed it. */
constexpr double min_named_share = 0.6;
constexpr std::size_t min_named = 2;
/** Part of a data centre's known capacity that must be ready; below it, instances of the whole region are
 * named. */
constexpr double min_ready_share = 0.5;

double capacity_of(const std::vector<const lookup_candidate*>& candidates)
{
    double sum = 0;
    for (const auto* candidate : candidates)
        sum += candidate->capacity;
    return sum;
}

/** @returns the addresses of the largest ready instances, and of all as large as the smallest of them. */
std::vector<std::string> name_largest(std::vector<const lookup_candidate*> known)
{
    const double min_capacity = capacity_of(known) * min_named_share;
    std::erase_if(known, [](const lookup_candidate* candidate) { return !candidate->ready; });
    std::sort(known.begin(), known.end(), [](const auto* left, const auto* right) {
        return std::pair(right->capacity, left->address) < std::pair(left->capacity, right->address);
    });
    std::vector<std::string> named;
    double named_capacity = 0;
    double smallest = 0;
    for (const auto* candidate : known) {
        const bool enough = named_capacity >= min_capacity && named.size() >= min_named;
        if (enough && candidate->capacity < smallest)
            break;
        named.push_back(candidate->address);
        named_capacity += candidate->capacity;
        smallest = candidate->capacity;
    }
    std::sort(named.begin(), named.end());
    return named;
}

} // namespace

std::vector<std::string> choose_instances(const core::data_centre_id& data_centre,
                                          const std::vector<lookup_candidate>& region)
{
    std::vector<const lookup_candidate*> local;
    std::vector<const lookup_candidate*> ready;
    std::vector<const lookup_candidate*> all;
    for (const auto& candidate : region) {
        all.push_back(&candidate);
        if (candidate.data_centre != data_centre)
            continue;
        local.push_back(&candidate);
        if (candidate.ready)
            ready.push_back(&candidate);
    }
    const bool enough_ready = !ready.empty() && capacity_of(ready) >= capacity_of(local) * min_ready_share;
    return name_largest(enough_ready ? local : all);
}

} // namespace knapweed::steering
