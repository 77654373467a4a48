#include "steering/evacuation_list.h"

#include <algorithm>
#include <iterator>

namespace knapweed::steering {

void evacuation_list::set(const core::data_centre_id& data_centre, bool evacuated)
{
    if (evacuated)
        stored_.insert(data_centre);
    else
        stored_.erase(data_centre);
}

std::vector<core::data_centre_id> evacuation_list::apply()
{
    std::vector<core::data_centre_id> ended;
    if (held_until_ && time_.now() < *held_until_)
        return ended;
    held_until_.reset();
    std::set_difference(in_force_.begin(), in_force_.end(), stored_.begin(), stored_.end(),
                        std::back_inserter(ended));
    in_force_ = stored_;
    return ended;
}

} // namespace knapweed::steering
