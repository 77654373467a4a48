#include "gateway/pass_on_order.h"

#include <algorithm>

namespace knapweed::gateway {

pass_on_order::request_number pass_on_order::add()
{
    stages_.push_back(stage::waiting);
    return first_ + stages_.size() - 1;
}

bool pass_on_order::may_pass_on(request_number request) const
{
    const auto end = stages_.begin() + static_cast<std::ptrdiff_t>(index_of(request));
    return std::all_of(stages_.begin(), end, [](stage earlier) { return earlier == stage::whole; });
}

void pass_on_order::begin(request_number request, bool in_parts)
{
    stages_.at(index_of(request)) = in_parts ? stage::in_parts : stage::whole;
}

void pass_on_order::expect_parts(request_number request)
{
    stages_.at(index_of(request)) = stage::in_parts;
}

bool pass_on_order::any_begun_behind(request_number request) const
{
    const auto next = stages_.begin() + static_cast<std::ptrdiff_t>(index_of(request)) + 1;
    return std::any_of(next, stages_.end(), [](stage later) { return later != stage::waiting; });
}

void pass_on_order::remove_first()
{
    stages_.pop_front();
    ++first_;
}

std::size_t pass_on_order::index_of(request_number request) const
{
    return static_cast<std::size_t>(request - first_);
}

} // namespace knapweed::gateway
