#pragma once

#include "store_fleet.h"

namespace knapweed::soak {

/** What happens while configurations with many routes are written. */
enum class growth_kind {
    steady,  ///< a large one, and another one a second later
    storm,   ///< four in a row, each larger than the one before
    shrink,  ///< a large one, and a small one a second later
    restart, ///< some gateways are killed and started again
    cut,     ///< one gateway has no path to the store
    freeze   ///< one gateway is suspended
};

struct growth_options {
    std::string program;          ///< path of knapweed-gateway
    std::string directory;        ///< for the history, settings and logs
    std::string previous_program; ///< an earlier build, which every second gateway runs at first; or empty
    std::uint64_t seed = 1;
    growth_kind kind = growth_kind::steady;
};

/** Result of one run. */
struct growth_result {
    std::vector<std::string> broken; ///< promises, in words
    std::string summary;
    std::string history; ///< file
};

/** One run of real gateways that share a narrow path to their store, while configurations with many routes
   are written. */
class growth_run {
public:
    explicit growth_run(const growth_options& options);

    [[nodiscard]] growth_result run();

private:
    struct confirmed_configuration {
        core::milliseconds at{0};
        std::string service; ///< to which it moves a route
    };

    void start();
    void write_configuration(unsigned more_routes);
    void trouble_gateways();
    net::asio::awaitable<void> play();
    net::asio::awaitable<void> watch_processes();

    [[nodiscard]] bool is_judged(const request_record& record) const;
    void check_configurations();
    void check_store_load();

    growth_options options_;
    store_fleet fleet_;
    growth_result result_;
    std::vector<confirmed_configuration> configurations_;
    std::size_t written_bytes_ = 0; ///< of the configurations written during the run, as the store sends them
    std::size_t answered_bytes_before_ = 0; ///< when the first of them was written
    std::vector<std::string> troubled_;     ///< gateways
    core::milliseconds calm_since_{0};      ///< when the last trouble of a gateway ended
    bool finished_ = false;
};

} // namespace knapweed::soak

namespace knapweed::core {

template <>
struct names_of<soak::growth_kind> {
    static constexpr std::array<std::string_view, 6> table{"steady",  "storm", "shrink",
                                                           "restart", "cut",   "freeze"};
};

} // namespace knapweed::core
