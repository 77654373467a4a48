#include "net/carried_requests.h"

#include <algorithm>

namespace knapweed::net {

bool carried_requests::contains(std::uint64_t id_hash) const
{
    return std::find(id_hashes_.begin(), id_hashes_.end(), id_hash) != id_hashes_.end();
}

bool carried_requests::is_bodiless(std::uint64_t id_hash) const
{
    return std::find(bodiless_.begin(), bodiless_.end(), id_hash) != bodiless_.end();
}

} // namespace knapweed::net
