#include "speed/goals.h"

namespace knapweed::bench {

goal_figures& goals()
{
    static goal_figures figures;
    return figures;
}

} // namespace knapweed::bench
