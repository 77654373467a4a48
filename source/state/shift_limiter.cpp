#include "state/shift_limiter.h"

#include <algorithm>
#include <cmath>

namespace knapweed::state {

namespace {

/** Longest window of a valid configuration; older entries have no effect, even after a change of window. */
constexpr core::milliseconds longest_window{600000};
/** Amounts recorded less than window / 128 apart are merged into one entry, which limits the length of the
    history. */
constexpr int entries_per_window = 128;
/** Weights that differ by less than this are treated as equal; rounding errors are about 1e-16. */
constexpr double weight_tolerance = 1e-12;

/** Fraction of the remaining cap that each rank may use for spills (design 4.6). */
constexpr core::per_rank<double> spill_fraction{1.0, 0.75, 0.5};

template <typename Place>
weights_of<Place> normalised(const weights_of<Place>& weights)
{
    double sum = 0;
    for (const auto& [place, weight] : weights)
        sum += std::max(weight, 0.0);
    weights_of<Place> result;
    if (sum <= 0 || !std::isfinite(sum))
        return result;
    for (const auto& [place, weight] : weights) {
        if (weight > 0)
            result[place] = weight / sum;
    }
    return result;
}

template <typename Place>
double weight_of(const weights_of<Place>& weights, const Place& place)
{
    const auto found = weights.find(place);
    return found == weights.end() ? 0 : found->second;
}

/** @returns the weight that must move to change @p from into @p to. */
template <typename Place>
double distance_between(const weights_of<Place>& from, const weights_of<Place>& to)
{
    double sum = 0;
    for (const auto& [place, weight] : from)
        sum += std::abs(weight - weight_of(to, place));
    for (const auto& [place, weight] : to)
        sum += from.contains(place) ? 0 : weight;
    return sum / 2;
}

} // namespace

template <typename Place>
basic_shift_limiter<Place>::basic_shift_limiter(shift_cap cap, const core::clock& time)
    : cap_(cap), time_(time)
{}

template <typename Place>
void basic_shift_limiter<Place>::set_cap(shift_cap cap)
{
    cap_ = cap;
}

template <typename Place>
void basic_shift_limiter<Place>::set_target(const weight_map& target)
{
    auto shares = normalised<Place>(target);
    if (shares.empty())
        return;
    target_ = std::move(shares);
    if (weights_.empty())
        weights_ = target_;
}

template <typename Place>
bool basic_shift_limiter<Place>::adopt(const std::vector<weight_map>& peers)
{
    if (!weights_.empty())
        return false;
    weight_map sum;
    for (const auto& peer : peers) {
        for (const auto& [place, weight] : normalised<Place>(peer))
            sum[place] += weight;
    }
    weights_ = normalised<Place>(sum);
    target_ = weights_;
    return !weights_.empty();
}

template <typename Place>
void basic_shift_limiter<Place>::tick()
{
    drop_old_entries();
    const double distance = distance_between(weights_, target_);
    if (distance <= weight_tolerance) {
        weights_ = target_;
        return;
    }
    const double step = std::min(distance, cap_.share - used_in_window());
    if (step <= weight_tolerance)
        return;
    record(moves_, step);
    if (step >= distance) {
        weights_ = target_;
        return;
    }
    const double fraction = step / distance;
    for (const auto& [place, weight] : target_)
        weights_.try_emplace(place, 0.0);
    for (auto& [place, weight] : weights_)
        weight += (weight_of(target_, place) - weight) * fraction;
}

template <typename Place>
std::optional<Place> basic_shift_limiter<Place>::next()
{
    if (weights_.empty())
        return std::nullopt;
    record(requests_, 1);
    std::erase_if(credit_, [this](const auto& entry) { return !weights_.contains(entry.first); });
    auto best = credit_.end();
    for (const auto& [place, weight] : weights_) {
        const auto entry = credit_.try_emplace(place, 0.0).first;
        entry->second += weight;
        if (weight > 0 && (best == credit_.end() || entry->second > best->second))
            best = entry;
    }
    core::ensure(best != credit_.end(), "weights of a service sum to 1");
    best->second -= 1;
    return best->first;
}

template <typename Place>
bool basic_shift_limiter<Place>::try_spill(core::rank rank)
{
    const double requests = requests_in_window();
    if (requests < 1)
        return false;
    const double amount = 1 / requests;
    const double cap_left_after_moves = cap_.share - sum_in_window(moves_);
    const double allowed = cap_left_after_moves * spill_fraction.at(core::index_of(rank));
    if (sum_in_window(spills_) + amount > allowed + weight_tolerance)
        return false;
    record(spills_, amount);
    return true;
}

template <typename Place>
double basic_shift_limiter<Place>::used_in_window() const
{
    return sum_in_window(moves_) + sum_in_window(spills_);
}

template <typename Place>
double basic_shift_limiter<Place>::sum_in_window(const history& entries) const
{
    const auto start = time_.now() - cap_.window;
    double sum = 0;
    for (auto entry = entries.rbegin(); entry != entries.rend() && entry->last >= start; ++entry)
        sum += entry->amount;
    return sum;
}

template <typename Place>
void basic_shift_limiter<Place>::record(history& entries, double amount) const
{
    const auto now = time_.now();
    if (!entries.empty() && now - entries.back().first < cap_.window / entries_per_window) {
        entries.back().last = now;
        entries.back().amount += amount;
        return;
    }
    entries.push_back({now, now, amount});
}

template <typename Place>
double basic_shift_limiter<Place>::requests_in_window() const
{
    // Counts only entries that lie entirely in the window: an underestimate makes each spill count
    // for more.
    const auto start = time_.now() - cap_.window;
    double sum = 0;
    for (auto entry = requests_.rbegin(); entry != requests_.rend() && entry->first > start; ++entry)
        sum += entry->amount;
    return sum;
}

template <typename Place>
void basic_shift_limiter<Place>::drop_old_entries()
{
    const auto start = time_.now() - longest_window;
    for (auto* entries : {&moves_, &spills_, &requests_}) {
        while (!entries->empty() && entries->front().last < start)
            entries->pop_front();
    }
}

template class basic_shift_limiter<core::data_centre_id>;
template class basic_shift_limiter<core::region_id>;

} // namespace knapweed::state
