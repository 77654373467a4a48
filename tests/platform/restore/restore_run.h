#pragma once

#include "store_fleet.h"

namespace knapweed::soak {

/** What happens besides when the store comes back from an older copy. */
enum class restore_kind {
    steady,   ///< nothing
    overtake, ///< the counter of versions has passed the old ones before anyone reads the next configuration
    twice,    ///< it happens again a second later
    cut,      ///< one gateway loses its path to the store before, and has it again later
    freeze,   ///< one gateway is suspended across it
    restart   ///< all gateways are killed and started again while the store is away
};

struct restore_options {
    std::string program;          ///< path of knapweed-gateway
    std::string directory;        ///< for the history, settings and logs
    std::string previous_program; ///< an earlier build, which every second gateway runs at first; or empty
    std::uint64_t seed = 1;
    restore_kind kind = restore_kind::steady;
};

/** Result of one run. */
struct restore_result {
    std::vector<std::string> broken; ///< promises, in words
    std::string summary;
    std::string history; ///< file
};

/** One run of real gateways whose store comes back from a copy that lacks a configuration, an evacuation, a
   server that joined and the leaving of another one. */
class restore_run {
public:
    explicit restore_run(const restore_options& options);

    [[nodiscard]] restore_result run();

private:
    struct confirmed_configuration {
        core::milliseconds at{0};
        std::string service; ///< to which it moves a route
    };

    void start();
    void move_route();
    void change_before();
    void lose_store();
    void bring_back(core::milliseconds age);
    void trouble_gateways();
    net::asio::awaitable<void> play();
    net::asio::awaitable<void> watch_processes();

    [[nodiscard]] bool is_judged(const request_record& record) const;
    void check_configurations();
    void check_servers();
    void check_evacuation();
    void check_registry();

    restore_kind kind_;
    store_fleet fleet_;
    restore_result result_;
    std::vector<confirmed_configuration> configurations_;
    std::string joined_;   ///< server that registers after the copy was made
    std::string departed_; ///< server that leaves after the copy was made, and goes on serving
    core::milliseconds changed_at_{0};
    std::vector<core::milliseconds> back_at_; ///< when the store came back
    bool finished_ = false;
};

} // namespace knapweed::soak

namespace knapweed::core {

template <>
struct names_of<soak::restore_kind> {
    static constexpr std::array<std::string_view, 6> table{"steady", "overtake", "twice",
                                                           "cut",    "freeze",   "restart"};
};

} // namespace knapweed::core
