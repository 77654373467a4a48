#include "steering/crash_attribution.h"

#include "steering/request_fingerprint.h"

namespace knapweed::steering {

namespace {

constexpr double min_weight = 2;
/** Runs in sequence that suffice whatever ran beside them: BUDGET allows three late ones after the third
   end. */
constexpr std::size_t decisive_sequence = 4;
/** Runs in sequence that are not explained by servers that crash at the same moment. */
constexpr std::size_t long_sequence = 3;
constexpr std::size_t repeated_ends = 2;
/** Instances notice ends of the same moment at times that differ by as much. */
constexpr core::milliseconds same_moment{500};
/** Time between ends that have not come at the same moment, as when many servers crash on a busy machine. */
constexpr core::milliseconds separate_moments{1000};

bool is_spread(const std::vector<server_end>& ends)
{
    return ends.back().ended - ends.front().ended >= separate_moments;
}

} // namespace

void crash_attribution::add(core::fingerprint request, const crash_evidence& evidence)
{
    if (evidence.ends().size() < repeated_ends)
        return;
    for (const auto& end : evidence.ends())
        repeated_[end.process].insert(target_hash(request));
}

bool crash_attribution::is_cause(core::fingerprint request, const crash_evidence& evidence) const
{
    if (!evidence.is_conclusive())
        return false;
    const auto sequence = evidence.sequence();
    if (sequence >= decisive_sequence)
        return true;
    if (sequence < long_sequence && !is_spread(evidence.ends()))
        return false;
    const auto target = target_hash(request);
    return weight(target, evidence) >= min_weight && !many_ended_without(target, evidence);
}

double crash_attribution::weight(std::uint32_t target, const crash_evidence& evidence) const
{
    double sum = 0;
    for (const auto& end : evidence.ends()) {
        const auto found = repeated_.find(end.process);
        const auto others = found == repeated_.end() ? 0 : found->second.size() - found->second.count(target);
        sum += 1.0 / (1.0 + static_cast<double>(others));
    }
    return sum;
}

bool crash_attribution::many_ended_without(std::uint32_t target, const crash_evidence& evidence) const
{
    const auto first = evidence.ends().front().ended - same_moment;
    const auto last = evidence.ends().back().ended + same_moment;
    const auto ended = ended_.count(target, first, last);
    return 2 * ended.without_target > ended.with_target;
}

} // namespace knapweed::steering
