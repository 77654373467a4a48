#pragma once

#include "place_fleet.h"

namespace knapweed::soak {

/** One run of real gateways under load, in which half of the servers of each service turn all requests away
    for a time and state how long they want none, in seconds of all kinds or in other texts. */
class rest_run {
public:
    explicit rest_run(const trouble_options& options);

    [[nodiscard]] trouble_result run();

private:
    /** A server that asks for rest. */
    struct resting_server {
        std::size_t number = 0;
        std::string id; ///< of its process
        stated_rest stated;
    };

    void choose_servers();
    void begin_to_rest();
    void serve_again();
    void check_use_afterwards();
    [[nodiscard]] bool is_judged(const request_record& record) const;
    net::asio::awaitable<void> play();

    gateway_trouble kind_;
    place_fleet fleet_;
    trouble_result result_;
    std::vector<resting_server> resting_;
    core::milliseconds served_again_at_{0};
};

} // namespace knapweed::soak
