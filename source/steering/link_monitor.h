#pragma once

#include "steering/server_catalogue.h"

#include <map>
#include <set>

namespace knapweed::steering {

/** What an instance believes of its own paths to the backend servers. */
enum class link_state {
    sound,
    doubtful, ///< connections to several servers failed; the paths are being probed
    cut       ///< no server can be reached: the failures are this instance's, not the servers'
};

/** Tells the loss of this instance's paths to all servers from the failure of some servers.

    Failed connections to several servers, or silence of all that owe answers, raise a doubt. Then the gateway
    opens connections to samples of servers, those first that have answered most recently; requests of callers
    are not used as probes. When no server of several samples can be connected, the paths count as cut, until
    servers of several consecutive samples can be connected again. Without such a doubt nothing is probed.

    Owned by the steerer.
*/
class link_monitor {
public:
    /** @param own data centre of the instance. @param servers and @p time must outlive this object. */
    link_monitor(core::data_centre_id own, const server_catalogue& servers, const core::clock& time,
                 std::uint64_t seed);

    /** Records that no connection to a server could be opened for a request. */
    void record_failed_connection(const core::server_id& server);
    /** Records that a server answered a request. */
    void record_answer(const core::server_id& server);
    /** Records the number of servers whose answers are overdue. Without an answer of any server, requests
        may be lost on connections that are still open. */
    void record_silent_servers(std::size_t servers);
    /** Records the result of a probe. @param server from `next_probes`. */
    void record_probe(const core::server_id& server, bool connected);

    /** @returns the servers to which the gateway opens a connection now, each reported with `record_probe`;
        call it about every 100 ms. Empty while results of the previous sample are missing. */
    [[nodiscard]] std::vector<server_pointer> next_probes();

    [[nodiscard]] link_state state() const noexcept { return state_; }
    [[nodiscard]] bool is_cut() const noexcept { return state_ == link_state::cut; }

private:
    struct sample {
        std::set<core::server_id> pending;
        std::size_t connected = 0;
        core::time_point began;
    };

    void complete_sample();
    void enter(link_state state);
    [[nodiscard]] bool is_doubt_justified();
    [[nodiscard]] std::vector<server_pointer> choose_sample();

    core::data_centre_id own_;
    const server_catalogue& servers_;
    const core::clock& time_;
    core::random_source random_;
    link_state state_ = link_state::sound;
    std::map<core::server_id, core::time_point> failed_at_;   ///< latest failed connection of a request
    std::map<core::server_id, core::time_point> answered_at_; ///< latest answer
    core::time_point latest_answer_{};
    std::size_t silent_servers_ = 0;
    std::optional<sample> sample_;
    core::time_point next_sample_at_{};
    std::set<core::server_id> unreachable_; ///< probed in vain since the doubt arose
    std::size_t consecutive_good_samples_ = 0;
};

} // namespace knapweed::steering

namespace knapweed::core {

template <>
struct names_of<steering::link_state> {
    static constexpr std::array<std::string_view, 3> table{"sound", "doubtful", "cut"};
};

} // namespace knapweed::core
