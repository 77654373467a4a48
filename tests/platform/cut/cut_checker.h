#pragma once

#include "request_records.h"

#include <set>

namespace knapweed::soak {

/** What happened to the gateways, and when. */
struct cut_times {
    std::set<std::string> cut_gateways;
    core::milliseconds began{0};
    core::milliseconds healed{0};
    core::milliseconds finished{0}; ///< no requests are sent from then on
};

/** Requests that were served at the first attempt, out of those sent in some time. */
struct served_share {
    std::size_t served = 0;
    std::size_t sent = 0;

    [[nodiscard]] double share() const
    {
        return sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent);
    }
    [[nodiscard]] std::string text() const { return std::to_string(served) + " of " + std::to_string(sent); }
};

/** Counts how callers of the gateways were served before, during and after a cut. */
class cut_checker {
public:
    /** @param records must outlive this object. */
    cut_checker(const request_records& records, cut_times times);

    /** @returns in words how callers were served once the cut has lasted for the contact time. */
    [[nodiscard]] std::string summary() const;
    /** @returns the broken bounds in words. */
    [[nodiscard]] std::vector<std::string> check() const;

private:
    [[nodiscard]] served_share count(bool at_cut_gateways, core::milliseconds from,
                                     core::milliseconds to) const;

    const request_records& records_;
    cut_times times_;
};

} // namespace knapweed::soak
