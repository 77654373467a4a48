#pragma once

#include "steering/distance_table.h"
#include "steering/server_catalogue.h"

#include <optional>
#include <span>
#include <variant>

namespace knapweed::steering {

/** Properties of a request on which the choice of its server depends. */
struct choice_request {
    std::uint64_t object_hash = 0;   ///< hash of the object that the request concerns; 0 for none
    std::uint64_t random = 0;        ///< orders similar servers for a request without an object
    core::duration time_left{};      ///< until the final answer is due
    core::duration time_to_target{}; ///< until the answer is worth less; negative after that time
    core::duration run_time{};       ///< mean run time of the route's requests at a server with a free slot
    core::duration familiar_run_time{};   ///< the same at a server that has cached the object
    core::duration unfamiliar_run_time{}; ///< the same at a server that has to fetch the object
    core::duration queued_run_time{};  ///< mean run time of the service's requests, which wait in front of it
    core::duration longest_run_time{}; ///< run time of the service's requests whose object has to be fetched
    double answer_kilobytes = 0;       ///< expected size of the answer
    core::duration cold_spacing{};     ///< minimum time between two requests to a cold server
    /** Whether the request may be sent to a cold server; an empty function allows all. */
    std::function<bool(const backend_server&)> may_send_to_cold;
    /** Time until the request may be sent to a server that names a limit, 0 for now; an empty function allows
       all. */
    std::function<core::duration(const backend_server&)> limit_wait;
};

/** The server chosen for a request, with the estimates behind the choice. */
struct server_choice {
    server_pointer server;
    core::duration expected_time{}; ///< until the answer
    core::duration expected_wait{}; ///< part of `expected_time` that is spent in the server's queue
    bool home = false;              ///< this is the server that all instances prefer for the object
};

/** The reason why no server was chosen. */
struct no_choice {
    core::refusal_reason reason = core::refusal_reason::no_backend_server;
    core::duration shortest_wait{}; ///< time after which a server may have room
};

/** Chooses, among the servers with room for a request, the one with the lowest cost: the expected time, plus
   costs for recent failures and for sending a large answer out of the server's data centre or region.

    Servers of similar cost are ordered by a hash of the object and the server, or at random without an
   object. Otherwise all instances, which estimate the same costs, would send to the same server at the same
   time; and so the server that fetches an object whose home server is full is the same for all instances.

    The expected time is the sum of the round trip, the wait for a slot at the server's estimated occupancy,
   and the run time, which is much shorter at a server that has cached the request's object. All instances
   prefer the same server for an object, its home server, which they find by rendezvous hashing. Another
   server is chosen only when the wait at the home server costs more than fetching the object again. A request
   joins a server's queue only if its expected answer meets the target or misses it by a small allowance,
   since in a longer queue every request would be late.

    @param candidates servers of one service that may get requests.
    @param excluded servers to leave out because the request was tried there.
*/
[[nodiscard]] std::variant<server_choice, no_choice> choose_server(const choice_request& request,
                                                                   std::span<const server_pointer> candidates,
                                                                   std::span<const server_pointer> excluded,
                                                                   const distance_table& distances);

} // namespace knapweed::steering
