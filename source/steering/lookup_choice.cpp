#include "steering/lookup_choice.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Part of the known capacity that the named instances have to have: a data centre's instances are lightly
   used, and with two sizes of 0.1 and 0.5 cores the large ones alone exceed it. */
constexpr double named_share = 0.6;
constexpr std::size_t least_named = 2;
/** Below this part of its known capacity a data centre gets help from its region. */
constexpr double least_ready_share = 0.5;

double capacity_of(const std::vector<const lookup_candidate*>& candidates)
{
    double sum = 0;
    for (const auto* each : candidates)
        sum += each->capacity;
    return sum;
}

/** @returns the largest ready ones, with all that are as large as the smallest of them. */
std::vector<std::string> name_largest(std::vector<const lookup_candidate*> known)
{
    const double wanted = capacity_of(known) * named_share;
    std::erase_if(known, [](const lookup_candidate* each) { return !each->ready; });
    std::sort(known.begin(), known.end(), [](const auto* left, const auto* right) {
        return std::pair(right->capacity, left->address) < std::pair(left->capacity, right->address);
    });
    std::vector<std::string> named;
    double sum = 0;
    double smallest = 0;
    for (const auto* each : known) {
        const bool enough = sum >= wanted && named.size() >= least_named;
        if (enough && each->capacity < smallest)
            break;
        named.push_back(each->address);
        sum += each->capacity;
        smallest = each->capacity;
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
    for (const auto& each : region) {
        all.push_back(&each);
        if (each.data_centre != data_centre)
            continue;
        local.push_back(&each);
        if (each.ready)
            ready.push_back(&each);
    }
    const bool enough = !ready.empty() && capacity_of(ready) >= capacity_of(local) * least_ready_share;
    return name_largest(enough ? local : all);
}

} // namespace knapweed::steering
