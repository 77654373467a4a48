#pragma once

#include "steering/peer_table.h"
#include "steering/request_plan.h"
#include "steering/server_catalogue.h"

namespace knapweed::steering {

/** What an instance has heard of a server's limit, as it tells other instances. */
struct limit_report {
    std::uint32_t server = 0;         ///< `short_hash` of the server
    std::uint32_t process = 0;        ///< `process_hash` of its record
    std::optional<double> per_second; ///< nothing when its limit has ended
    core::milliseconds age{0};        ///< of the server's statement
};

/** Divides the limits that servers name among the instances, and lets all of them know the limits.

    The instances of a server's region share its limit in proportion to the requests for its service that
    arrive at them, as they tell each other; those of other regions leave it to them. So no instance holds a
    part that it doesn't use, and each computes the shares of all from what all know alike. Only as many
    instances share a limit as stay within it together even if all send at the same moment; a hash decides
    which ones. When no requests arrive in the server's region, the instances of all regions share.

    Owned by the steerer.
*/
class server_limits {
public:
    using statement_hook = std::function<void(const backend_server&, const attempt_result&)>;

    /** @param servers, @p peers and @p time must outlive this object. */
    server_limits(core::instance_id own, core::region_id region, const server_catalogue& servers,
                  const peer_table& peers, const core::clock& time);

    /** Records what the answer to an attempt states. It ends a limit by naming none only if the server signed
     * it: a rejection may lack the field. */
    void record_answer(backend_server& server, const attempt_result& result);
    /** Calls @p hook whenever an answer changes a server's limit or names one that can't be read. */
    void on_statement(statement_hook hook) { on_statement_ = std::move(hook); }

    /** @param own_demand requests per second for the server's service that arrive at this instance.
        @returns the requests per second that this instance may send to a server that names a limit. */
    [[nodiscard]] double share_of(const backend_server& server, double own_demand);

    /** Applies the reports of another instance. @param forwards others wait for this instance to pass on what
     * is new in them. */
    void receive(const std::vector<limit_report>& reports, bool forwards);
    /** @param forwards also reports what other instances have told.
        @returns the reports for the next message to other instances: on limits in force, and on those that
        ended lately. */
    [[nodiscard]] std::vector<limit_report> reports(bool forwards) const;
    /** @returns whether there is news for the other instances since the last call. */
    [[nodiscard]] bool take_news() { return std::exchange(has_news_, false); }

private:
    struct cached_share {
        double per_second = 0;
        double limit = 0; ///< for which the share was computed
        core::time_point valid_until;
    };
    struct sender;

    [[nodiscard]] static std::vector<double> divide(double limit, const std::vector<sender>& senders);
    [[nodiscard]] double compute_share(const backend_server& server, double limit, double own_demand) const;

    core::instance_id own_;
    core::region_id region_;
    const server_catalogue& servers_;
    const peer_table& peers_;
    const core::clock& time_;
    std::unordered_map<std::uint32_t, cached_share> shares_; ///< by process
    statement_hook on_statement_;
    bool has_news_ = false;
};

} // namespace knapweed::steering
