#pragma once

#include "steering/link_monitor.h"
#include "steering/request_fingerprint.h"
#include "steering/request_plan.h"

namespace knapweed::steering {

/** A request whose connection to a server was lost before an answer. */
struct lost_request {
    request_fingerprints fingerprints;
    core::time_point sent;
    core::time_point lost;
};

/** A server that has ended, and the requests of this instance that were in progress there. */
struct confirmed_end {
    server_pointer server;
    std::vector<lost_request> requests;
};

/** Tells the end of a server from a lost connection: after a loss, the gateway opens a connection to the
    server. The server has ended if nothing listens there any more, as long as this instance's own paths are
    sound. A server that was about to leave is not examined.
*/
class server_end_monitor {
public:
    /** @param time must outlive this object. */
    explicit server_end_monitor(const core::clock& time) : time_(time) {}

    void record_loss(const server_pointer& server, const lost_request& request);
    /** Records the result of a connection to a server, opened for a request or to examine the server. */
    void record_connection(const core::server_id& server, connect_failure failure);

    /** @returns the servers to which the gateway opens a connection now, each reported with
     * `record_connection`; call it about every 100 ms. */
    [[nodiscard]] std::vector<server_pointer> next_checks();
    /** @returns the ends that are certain now. @param links state of this instance's paths. */
    [[nodiscard]] std::vector<confirmed_end> take_confirmed(link_state links);
    /** Calls @p visitor with each server that may have ended, and the requests that were lost there. */
    void visit_unconfirmed(
        const std::function<void(const backend_server&, const std::vector<lost_request>&)>& visitor) const;

private:
    struct examined_server {
        server_pointer server;
        std::vector<lost_request> requests;
        core::time_point since;
        core::time_point next_check;
        unsigned silent_checks = 0; ///< connections without any response
        bool ended = false;
    };

    const core::clock& time_;
    std::map<core::server_id, examined_server> examined_;
};

} // namespace knapweed::steering
