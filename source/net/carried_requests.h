#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace knapweed::net {

/** The requests that a connection has carried, by the hashes of their ids.

    A server may send the copy of an answer late, and it bears the id of the request that was answered. The id
    therefore identifies the answer to a request only on a connection that carries this id once.
*/
class carried_requests {
public:
    void add(std::uint64_t id_hash) { id_hashes_.push_back(id_hash); }
    [[nodiscard]] bool contains(std::uint64_t id_hash) const;
    /** Records that answers to a request have no body, although they may state a length. */
    void mark_bodiless(std::uint64_t id_hash) { bodiless_.push_back(id_hash); }
    [[nodiscard]] bool is_bodiless(std::uint64_t id_hash) const;
    [[nodiscard]] bool any_bodiless() const noexcept { return !bodiless_.empty(); }
    /** @returns whether no more requests are kept, so that the connection must not carry another one. */
    [[nodiscard]] bool full() const noexcept { return id_hashes_.size() >= max_requests; }

    static constexpr std::size_t max_requests = 1024; ///< limits the memory of a connection to 8 kB

private:
    std::vector<std::uint64_t> id_hashes_;
    std::vector<std::uint64_t> bodiless_; ///< those of HEAD requests
};

} // namespace knapweed::net
