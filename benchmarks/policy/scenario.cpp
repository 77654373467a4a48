#include "policy/scenario.h"

#include <cmath>

namespace knapweed::measure {

using namespace std::chrono_literals;

namespace {

// The design states no run times; these are assumptions: bulk requests run twice as long as urgent ones. At
// normal load, urgent, standard and bulk requests use 10%, 25% and 15% of the capacity, 50% together.
firm kaca()
{
    return {"kaca",
            {4, 4, 3, 3, 3, 3},
            3,
            1ms,
            1500us,
            55ms,
            {{{0.10, 30ms, 1s}, {0.25, 40ms, 3s}, {0.15, 60ms, 10s}}}};
}

firm kitami()
{
    return {"kitami",
            {3, 3, 3, 3, 3, 3},
            4,
            3ms,
            1500us,
            20ms,
            {{{0.10, 20ms, 1s}, {0.25, 30ms, 3s}, {0.15, 40ms, 10s}}}};
}

} // namespace

std::optional<firm> find_firm(std::string_view name)
{
    if (name == "kaca")
        return kaca();
    if (name == "kitami")
        return kitami();
    return std::nullopt;
}

std::vector<scenario> all_scenarios(const firm& measured_firm)
{
    core::per_rank<double> normal_load{};
    for (const auto rank : core::all_ranks)
        normal_load[core::index_of(rank)] = measured_firm.work[core::index_of(rank)].load;
    std::vector<scenario> scenarios{{"calm", normal_load, std::nullopt}};
    for (const auto flooding : {core::rank::bulk, core::rank::urgent}) {
        for (const int factor : {2, 5, 10}) {
            auto load = normal_load;
            load[core::index_of(flooding)] = factor;
            scenarios.push_back(
                {std::string{core::name_of(flooding)} + "_x" + std::to_string(factor), load, std::nullopt});
        }
    }
    scenarios.push_back({"dc_gone", normal_load, 0});
    return scenarios;
}

double mean_run_seconds(const firm& measured_firm, core::rank rank)
{
    const std::chrono::duration<double> median = measured_firm.work[core::index_of(rank)].median;
    return median.count() * std::exp(measured_firm.sigma * measured_firm.sigma / 2);
}

} // namespace knapweed::measure
