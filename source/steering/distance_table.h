#pragma once

#include "core/core.h"

#include <map>

namespace knapweed::steering {

enum class distance { same_data_centre, same_region, other_region };

/** Place of an instance or server. */
struct network_location {
    core::data_centre_id data_centre;
    core::region_id region;
};

/** Round-trip times from this instance to the data centres, learnt from how long connections take to open. */
class distance_table {
public:
    explicit distance_table(network_location own) : own_(std::move(own)) {}

    [[nodiscard]] const network_location& own() const noexcept { return own_; }
    [[nodiscard]] distance to(const network_location& other) const;
    [[nodiscard]] core::duration round_trip(const network_location& other) const;
    /** @param taken time in which a connection was opened; two round trips at most. */
    void observe(const network_location& other, core::duration taken);

private:
    network_location own_;
    std::map<core::data_centre_id, core::duration> learnt_;
};

} // namespace knapweed::steering
