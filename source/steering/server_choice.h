#pragma once

#include "steering/distance_table.h"
#include "steering/server_catalogue.h"

#include <span>
#include <variant>

namespace knapweed::steering {

/** What the choice of a server needs to know of a request. */
struct choice_request {
    std::uint64_t object_hash = 0;        ///< of the object that it concerns; 0 for none
    core::duration time_left{};           ///< until its final answer is due
    core::duration target_left{};         ///< until its answer is worth less; may be negative
    core::duration run_time{};            ///< mean time at a server with a free slot
    core::duration familiar_run_time{};   ///< at a server that has the object at hand
    core::duration unfamiliar_run_time{}; ///< at one that does not
    double answer_kilobytes = 0;          ///< expected size of the answer
    core::duration cold_spacing{};        ///< least time between two requests to a cold server
    std::function<bool(const backend_server&)>
        may_send_to_cold; ///< whether a cold server may get it; empty for all
};

/** A server for a request, with what the choice was based on. */
struct server_choice {
    server_pointer server;
    core::duration expected_time{}; ///< until the answer
    core::duration expected_wait{}; ///< part of it, in the server's queue
    bool home = false;              ///< all instances send the object to this server first
};

/** Why no server was chosen. */
struct no_choice {
    core::refusal_reason reason = core::refusal_reason::no_backend_server;
    core::duration shortest_wait{}; ///< after which a server may have room
};

/** Chooses the server at which a request is expected to end first, among those with room for it.

    Expected time is the round trip, the wait for a slot by the server's estimated occupancy, and the run
   time. A server that has the request's object at hand runs it in a fraction of the time. All instances send
   an object to the same server first, by rendezvous hashing, and to another one only when the wait there
   costs more than fetching the object elsewhere. Large answers are kept close to the caller. A request joins
   a server's queue only as far as its target allows, plus a small allowance: a longer queue makes every
   request in it late.

    @param candidates servers of one service that may get requests. @param excluded servers to leave out, as
    they were tried before.
*/
[[nodiscard]] std::variant<server_choice, no_choice> choose_server(const choice_request& request,
                                                                   std::span<const server_pointer> candidates,
                                                                   std::span<const server_pointer> excluded,
                                                                   const distance_table& distances);

} // namespace knapweed::steering
