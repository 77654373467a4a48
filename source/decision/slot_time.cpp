#include "decision/slot_time.h"

#include <numeric>

namespace knapweed::decision {

namespace {

constexpr std::size_t number_of_buckets = 100;

} // namespace

slot_time::slot_time(core::duration window, core::time_point now)
    : bucket_length_(window / number_of_buckets), counted_until_(now), bucket_end_(now + bucket_length_),
      buckets_(number_of_buckets)
{}

void slot_time::started(core::rank rank, core::time_point now)
{
    advance(now);
    ++running_[core::index_of(rank)];
}

void slot_time::finished(core::rank rank, core::time_point now)
{
    advance(now);
    core::ensure(running(rank) > 0, "a finished run was started before");
    --running_[core::index_of(rank)];
}

void slot_time::wasted(core::duration run_time, core::time_point now)
{
    advance(now);
    buckets_[current_bucket_].wasted += run_time;
    total_.wasted += run_time;
    wasted_since_start_ += run_time;
}

void slot_time::advance(core::time_point now)
{
    while (bucket_end_ <= now) {
        add_running_time(bucket_end_ - counted_until_);
        open_next_bucket();
    }
    add_running_time(now - counted_until_);
}

double slot_time::share(core::rank rank) const
{
    const auto total = used_by_all_ranks();
    return total.count() == 0 ? 0.0
                              : static_cast<double>(used(rank).count()) / static_cast<double>(total.count());
}

double slot_time::wasted_share() const
{
    const auto total = used_by_all_ranks();
    return total.count() == 0
               ? 0.0
               : static_cast<double>(total_.wasted.count()) / static_cast<double>(total.count());
}

core::duration slot_time::used_by_all_ranks() const
{
    return std::accumulate(total_.used.begin(), total_.used.end(), core::duration{0});
}

void slot_time::add_running_time(core::duration elapsed)
{
    for (std::size_t i = 0; i < core::number_of_ranks; ++i) {
        const auto used = elapsed * static_cast<core::duration::rep>(running_[i]);
        buckets_[current_bucket_].used[i] += used;
        total_.used[i] += used;
        used_since_start_[i] += used;
    }
    counted_until_ += elapsed;
}

void slot_time::open_next_bucket()
{
    current_bucket_ = (current_bucket_ + 1) % buckets_.size();
    auto& oldest = buckets_[current_bucket_];
    for (std::size_t i = 0; i < core::number_of_ranks; ++i)
        total_.used[i] -= oldest.used[i];
    total_.wasted -= oldest.wasted;
    oldest = {};
    bucket_end_ += bucket_length_;
}

} // namespace knapweed::decision
