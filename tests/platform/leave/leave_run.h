#pragma once

#include "place_fleet.h"

namespace knapweed::soak {

/** What a server does while its answers state that it leaves. */
enum class leave_way {
    keeps_entry,    ///< its entry in the store stays as it was
    rewrites_entry, ///< its entry is written again, as ready
    loses_entry,    ///< its entry is removed, and written again as ready
    rejects,        ///< it turns every request away
    wavers          ///< some of its answers don't state it
};

/** One run of real gateways under load, in which some servers of two services, and all of a third one, state
    in their answers that they leave. Some start again later. */
class leave_run {
public:
    explicit leave_run(const trouble_options& options);

    [[nodiscard]] trouble_result run();

private:
    struct leaving_server {
        std::size_t number = 0;
        std::string id; ///< of its process
        leave_way way = leave_way::keeps_entry;
        bool starts_again = false;
    };

    void choose_servers();
    void begin_to_leave();
    void start_again();
    void check_use_of_new_processes();
    void check_refusals();
    [[nodiscard]] bool is_judged(const request_record& record, core::milliseconds told) const;
    net::asio::awaitable<void> play();

    gateway_trouble kind_;
    place_fleet fleet_;
    trouble_result result_;
    std::vector<leaving_server> leaving_;
    core::milliseconds began_at_{0};
    core::milliseconds started_again_at_{0};
};

} // namespace knapweed::soak

namespace knapweed::core {

template <>
struct names_of<soak::leave_way> {
    static constexpr std::array<std::string_view, 5> table{"keeps_entry", "rewrites_entry", "loses_entry",
                                                           "rejects", "wavers"};
};

} // namespace knapweed::core
