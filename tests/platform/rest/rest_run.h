#pragma once

#include "place_fleet.h"

namespace knapweed::soak {

/** What happens to one of the gateways. */
enum class rest_kind {
    steady,  ///< all gateways run
    cut,     ///< one gateway loses its paths to all servers for a time, and relays
    restart, ///< one gateway is killed and started again
    freeze,  ///< one gateway is suspended for a time
    late     ///< one gateway starts while servers rest
};

struct rest_options {
    std::string program;          ///< path of knapweed-gateway
    std::string directory;        ///< for the history, settings and logs
    std::string previous_program; ///< an earlier build, which every second gateway runs at first; or empty
    std::uint64_t seed = 1;
    rest_kind kind = rest_kind::steady;
};

/** Result of one run. */
struct rest_result {
    std::vector<std::string> broken; ///< promises, in words
    std::string summary;
    std::string history; ///< file
};

/** One run of real gateways under load, in which half of the servers of each service turn all requests away
    for a time and state how long they want none, in seconds of all kinds or in other texts. */
class rest_run {
public:
    explicit rest_run(const rest_options& options);

    [[nodiscard]] rest_result run();

private:
    /** A server that asks for rest. */
    struct resting_server {
        std::size_t number = 0;
        std::string id; ///< of its process
        stated_rest stated;
    };

    void choose_servers();
    void trouble_one_gateway();
    void begin_to_rest();
    void serve_again();
    void check_use_afterwards();
    [[nodiscard]] bool is_judged(const request_record& record) const;
    net::asio::awaitable<void> play();

    rest_kind kind_;
    place_fleet fleet_;
    rest_result result_;
    std::vector<resting_server> resting_;
    core::milliseconds served_again_at_{0};
};

} // namespace knapweed::soak

namespace knapweed::core {

template <>
struct names_of<soak::rest_kind> {
    static constexpr std::array<std::string_view, 5> table{"steady", "cut", "restart", "freeze", "late"};
};

} // namespace knapweed::core
