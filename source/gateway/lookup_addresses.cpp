#include "gateway/lookup_addresses.h"

namespace knapweed::gateway {

std::vector<std::string> choose_lookup_addresses(const core::data_centre_id& data_centre,
                                                 const std::vector<lookup_entry>& region)
{
    std::vector<steering::lookup_candidate> all;
    std::vector<steering::lookup_candidate> reaching;
    for (const auto& entry : region) {
        all.push_back(entry.candidate);
        reaching.push_back(entry.candidate);
        reaching.back().ready = entry.candidate.ready && entry.reaches_servers;
    }
    auto addresses = steering::choose_instances(data_centre, reaching);
    return addresses.empty() ? steering::choose_instances(data_centre, all) : addresses;
}

} // namespace knapweed::gateway
