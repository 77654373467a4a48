#pragma once

#include "place_fleet.h"

namespace knapweed::soak {

/** One run of real gateways under load, in which a quarter of the servers name a limit, lower it, and take it
    back or start again without one. */
class limit_run {
public:
    explicit limit_run(const trouble_options& options);

    [[nodiscard]] trouble_result run();

private:
    /** A server with a limit, and what its limit was when. */
    struct limited_server {
        std::size_t number = 0;
        std::string id; ///< of its process
        double first_limit = 0;
        double lowered_limit = 0;
        bool starts_again = false; ///< instead of taking the limit back
    };

    void choose_servers();
    void set_limits(bool lowered);
    void end_limits();
    void check_limits(const limited_server& limited);
    void check_use_after_limits();
    [[nodiscard]] std::vector<core::milliseconds> arrivals_at(const std::string& server,
                                                              bool of_troubled_gateway) const;
    net::asio::awaitable<void> play();

    gateway_trouble kind_;
    place_fleet fleet_;
    trouble_result result_;
    std::vector<limited_server> limited_;
    core::milliseconds named_at_{0};
    core::milliseconds lowered_at_{0};
    core::milliseconds ended_at_{0};
    double greatest_part_ = 0; ///< of what a limit allows
};

} // namespace knapweed::soak
