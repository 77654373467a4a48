#pragma once

#include "steering/server_catalogue.h"

#include <deque>
#include <map>

namespace knapweed::steering {

/** What this instance believes of its own paths to the backend servers. */
enum class link_state {
    sound,
    doubtful, ///< connections to several servers failed; the paths are being probed
    cut       ///< no server can be reached: the failures are this instance's, not the servers'
};

/** Tells the loss of this instance's paths to all servers from the failure of some servers.

    Failed connections to several servers raise a doubt. Then the gateway opens connections to a sample of
    servers, those first that have answered most recently; requests of callers are not used as probes. When
    none of the sample can be connected, the paths count as cut, until most of several later samples can be
    connected again. Without failed connections nothing is probed.
*/
class link_monitor {
public:
    /** @param servers and @p time must outlive this object. */
    link_monitor(const server_catalogue& servers, const core::clock& time);

    /** Records an attempt to open a connection to a server for a request. */
    void record_connection(const backend_server& server, bool connected);
    /** Records that a server answered a request. */
    void record_answer(const backend_server& server);
    /** Records the result of a probe. @param server from `next_probes`. */
    void record_probe(const core::server_id& server, bool connected);

    /** @returns the servers to which the gateway opens a connection now, each reported with `record_probe`;
        call it about every 100 ms. Empty while the previous probes are not reported. */
    [[nodiscard]] std::vector<server_pointer> next_probes();

    [[nodiscard]] link_state state() const noexcept { return state_; }
    [[nodiscard]] bool is_cut() const noexcept { return state_ == link_state::cut; }

private:
    const server_catalogue& servers_;
    const core::clock& time_;
    link_state state_ = link_state::sound;
};

} // namespace knapweed::steering

namespace knapweed::core {

template <>
struct names_of<steering::link_state> {
    static constexpr std::array<std::string_view, 3> table{"sound", "doubtful", "cut"};
};

} // namespace knapweed::core
