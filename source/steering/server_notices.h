#pragma once

#include "steering/request_plan.h"
#include "steering/server_catalogue.h"

namespace knapweed::steering {

/** What an instance knows of a server that has begun to leave, as it tells other instances. */
struct leaving_report {
    std::uint32_t server = 0;  ///< `short_hash` of the server
    std::uint32_t process = 0; ///< `process_hash` of its record
};

/** What servers state of their plans in their answers: that they have begun to leave, or that they want no
    requests of this instance for a time.

    That it leaves holds for the process that states it: an answer without it, or an entry in the store,
   doesn't take it back. Instances tell each other, so that one that seldom sends to a server, or has just
   started, doesn't have to hear it from the server. A rest is kept by the instance that was asked alone.

    Owned by the steerer.
*/
class server_notices {
public:
    using notice_hook = std::function<void(const backend_server&)>;
    using rest_hook = std::function<void(const backend_server&, const attempt_result&)>;

    /** @param servers and @p time must outlive this object. */
    server_notices(const server_catalogue& servers, const core::clock& time, std::uint64_t seed)
        : servers_(servers), time_(time), random_(seed)
    {}

    /** Records what the answer to an attempt states. */
    void record_answer(backend_server& server, const attempt_result& result);
    /** Calls @p hook whenever a server's process is heard to leave that was not known to. */
    void on_leaving(notice_hook hook) { on_leaving_ = std::move(hook); }

    /** Calls @p hook whenever a rejection states how long its server wants no requests of this instance, or
        states something that can't be read. */
    void on_rest(rest_hook hook) { on_rest_ = std::move(hook); }

    /** Applies the reports of another instance. @param forwards others wait for this instance to pass on what
     * is new in them. */
    void receive(const std::vector<leaving_report>& reports, bool forwards);
    /** @param forwards also reports what other instances have told.
        @returns the reports for the next message to other instances: on servers that were lately heard to
        leave. */
    [[nodiscard]] std::vector<leaving_report> reports(bool forwards) const;
    /** @returns reports on all servers that were heard to leave, for an instance that has just started. */
    [[nodiscard]] std::vector<leaving_report> all_reports() const;
    /** @returns whether there is news for the other instances since the last call. */
    [[nodiscard]] bool take_news() { return std::exchange(has_news_, false); }

private:
    struct statement {
        std::uint32_t server = 0; ///< `short_hash`
        bool first_hand = false;  ///< heard from the server itself
        core::time_point heard_at;
    };

    void record_rest(backend_server& server, const attempt_result& result);
    /** @returns whether this is news. */
    bool mark_leaving(backend_server& server, bool first_hand);
    [[nodiscard]] bool is_registered(std::uint32_t server, std::uint32_t process) const;

    const server_catalogue& servers_;
    const core::clock& time_;
    core::random_source random_;
    std::map<std::uint32_t, statement> leaving_; ///< by `process_hash`
    notice_hook on_leaving_;
    rest_hook on_rest_;
    bool has_news_ = false;
};

} // namespace knapweed::steering
