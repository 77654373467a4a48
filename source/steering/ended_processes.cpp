#include "steering/ended_processes.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

constexpr std::size_t max_processes = 1024;
constexpr std::size_t max_targets = 64; ///< of one process

} // namespace

void ended_processes::record(std::uint32_t process, std::uint32_t target, core::time_point ended)
{
    if (processes_.size() >= max_processes && !processes_.contains(process))
        processes_.erase(
            std::min_element(processes_.begin(), processes_.end(),
                             [](const auto& a, const auto& b) { return a.second.ended < b.second.ended; }));
    const auto [found, is_new] = processes_.try_emplace(process);
    auto& known = found->second;
    known.ended = is_new ? ended : std::min(known.ended, ended);
    if (known.targets.size() < max_targets)
        known.targets.insert(target);
}

void ended_processes::forget(core::time_point before)
{
    std::erase_if(processes_, [before](const auto& known) { return known.second.ended < before; });
}

ended_processes::period_count ended_processes::count(std::uint32_t target, core::time_point first,
                                                     core::time_point last) const
{
    period_count result;
    for (const auto& [process, known] : processes_) {
        if (known.ended >= first && known.ended <= last)
            ++(known.targets.contains(target) ? result.with_target : result.without_target);
    }
    return result;
}

} // namespace knapweed::steering
