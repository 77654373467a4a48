#include "steering/crash_evidence.h"

#include <algorithm>

namespace knapweed::steering {

namespace {

/** Ends that are kept. */
constexpr std::size_t max_ends = 4;
constexpr std::size_t min_ends_to_suspect = 2;

/** @returns for each of the ends, which are in order of time, whether it belongs to the longest sequence of
   runs that each began after the end before. */
std::vector<bool> in_sequence(const std::vector<server_end>& ends)
{
    std::vector<bool> chosen;
    const server_end* latest = nullptr;
    for (const auto& end : ends) {
        chosen.push_back(latest == nullptr || end.began >= latest->ended);
        if (chosen.back())
            latest = &end;
    }
    return chosen;
}

} // namespace

bool crash_evidence::add(const server_end& end)
{
    if (answered_at_ && end.ended <= *answered_at_)
        return false;
    const auto is_same = [&end](const server_end& known) { return known.process == end.process; };
    if (std::any_of(ends_.begin(), ends_.end(), is_same))
        return false;
    const auto later = std::upper_bound(ends_.begin(), ends_.end(), end,
                                        [](const auto& a, const auto& b) { return a.ended < b.ended; });
    ends_.insert(later, end);
    if (ends_.size() > max_ends)
        drop_one();
    return std::any_of(ends_.begin(), ends_.end(), is_same);
}

void crash_evidence::drop_one()
{
    const auto chosen = in_sequence(ends_);
    const auto beside = std::find(chosen.rbegin(), chosen.rend(), false);
    // When all are in sequence, the first and the latest ones stay.
    const auto dropped = beside == chosen.rend() ? chosen.rbegin() + 1 : beside;
    ends_.erase(ends_.begin() + (chosen.rend() - dropped) - 1);
}

std::size_t crash_evidence::sequence() const
{
    const auto chosen = in_sequence(ends_);
    const auto known = static_cast<std::size_t>(std::count(chosen.begin(), chosen.end(), true));
    return std::max(known, std::min(sequence_elsewhere_, ends_.size()));
}

bool crash_evidence::add_sequence(std::size_t length)
{
    if (ends_.size() < min_ends_to_suspect || length <= sequence())
        return false;
    sequence_elsewhere_ = length;
    return true;
}

bool crash_evidence::answered(core::time_point when)
{
    answered_at_ = std::max(answered_at_.value_or(when), when);
    const bool removed = std::erase_if(ends_, [when](const auto& end) { return end.ended <= when; }) > 0;
    sequence_elsewhere_ = std::min(sequence_elsewhere_, ends_.size());
    return removed;
}

bool crash_evidence::is_suspected() const
{
    return sequence() >= min_ends_to_suspect;
}

} // namespace knapweed::steering
