#pragma once

#include "store_fleet.h"

namespace knapweed::soak {

/** How a request that a server has refused can reach the same address again. */
enum class refusal_kind {
    restarts, ///< servers start again at their addresses; the entries of the former processes stay for a time
    renewals, ///< entries of servers are put anew, with other start times
    both      ///< both, while gateways are told to stop, killed and suspended
};

struct refusal_options {
    std::string program;          ///< path of knapweed-gateway
    std::string directory;        ///< for the history, settings and logs
    std::string previous_program; ///< an earlier build, which every second gateway runs at first; or empty
    std::uint64_t seed = 1;
    refusal_kind kind = refusal_kind::restarts;
};

/** Result of one run. */
struct refusal_result {
    std::vector<std::string> broken; ///< promises, in words
    std::string summary;
    std::string history; ///< file
};

/** One run of real gateways whose servers refuse requests and send copies of the refusals late. */
class refusal_run {
public:
    explicit refusal_run(const refusal_options& options);

    [[nodiscard]] refusal_result run();

private:
    void start();
    void make_refusing(server_stand_in& server);
    void restart_a_server();
    void renew_an_entry();
    void trouble_a_gateway();
    [[nodiscard]] store_fleet::server_place& any_server();
    void check_repeats();
    net::asio::awaitable<void> play();
    net::asio::awaitable<void> watch_processes();

    refusal_options options_;
    store_fleet fleet_;
    refusal_result result_;
    std::uint64_t last_born_ = 1;
    bool finished_ = false;
};

} // namespace knapweed::soak

namespace knapweed::core {

template <>
struct names_of<soak::refusal_kind> {
    static constexpr std::array<std::string_view, 3> table{"restarts", "renewals", "both"};
};

} // namespace knapweed::core
