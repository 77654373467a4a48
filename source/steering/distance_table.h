#pragma once

#include "core/core.h"

#include <map>

namespace knapweed::steering {

/** Distance from this instance to a server or to another instance. */
enum class distance { same_data_centre, same_region, other_region };

/** Data centre and region of an instance or server. */
struct network_location {
    core::data_centre_id data_centre;
    core::region_id region;
};

/** Estimates the round-trip times from this instance to the data centres by the time that connections take to
   open. */
class distance_table {
public:
    explicit distance_table(network_location own) : own_(std::move(own)) {}

    /** @returns the location of this instance. */
    [[nodiscard]] const network_location& own() const noexcept { return own_; }
    [[nodiscard]] distance to(const network_location& other) const;
    /** @returns the estimated round-trip time; a typical one for the distance before the first sample. */
    [[nodiscard]] core::duration round_trip(const network_location& other) const;
    /** Records a sample. @param taken time in which a connection was opened; at most two round trips. */
    void observe(const network_location& other, core::duration taken);

private:
    network_location own_;
    std::map<core::data_centre_id, core::duration> estimates_;
};

} // namespace knapweed::steering
