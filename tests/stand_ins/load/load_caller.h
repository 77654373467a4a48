#pragma once

#include "stand_ins/load/answer_check.h"
#include "stand_ins/load/load_report.h"
#include "stand_ins/load/look_up_cache.h"
#include "stand_ins/load/request_mix.h"

namespace knapweed::stand_ins {

/** Settings of the simulated callers. */
struct caller_options {
    bool direct = false;  ///< sends to backend servers, without look-ups and tickets
    std::string run_name; ///< prefix of every key, so that runs of the tool against the same servers do not
                          ///< share keys
    /** Time after a request's timeout in which its outcome must arrive. */
    core::milliseconds grace_period{2000};
    std::uint64_t max_resends = 2; ///< of a refused request, each under a new key
};

/** Sends requests as the programs of clients do and counts their outcomes. */
class load_caller {
public:
    load_caller(asio::any_io_executor executor, const core::clock& clock, caller_options options,
                std::vector<tcp::endpoint> entries, load_report& report);

    /** Sends one request until it has a final outcome.

        After a failed connection, sends the same key and ticket to the next endpoint. After a refusal with
        a new ticket and a retryable reason, sends the request again under a new key; refusals for lack of
        capacity are final.
    */
    asio::awaitable<void> perform(request_kind kind, std::string caller);

private:
    /** One sending of a request under one key. */
    struct attempt {
        std::string key;
        std::string body;
        core::milliseconds timeout;
    };

    struct attempt_result {
        answer_verdict verdict;
        bool can_resend = false; ///< refused with a new ticket, or not sent, so that a new look-up is allowed
        std::string new_ticket;  ///< empty when there is none
        core::milliseconds retry_after{0};
    };

    asio::awaitable<std::optional<look_up>> find_endpoints(const std::string& caller,
                                                           const std::string& service);

    /** @returns all backend servers, rotated so that successive requests start at different ones. */
    [[nodiscard]] asio::awaitable<std::optional<look_up>> next_backends() const;
    asio::awaitable<attempt_result> send(const request_kind& kind, const std::string& caller, look_up target,
                                         attempt current);
    asio::awaitable<void> wait(core::duration time);
    [[nodiscard]] http_request make_request(const request_kind& kind, const std::string& caller,
                                            const look_up& target, const attempt& current) const;
    [[nodiscard]] attempt_result classify(const http_response& response, const std::string& key) const;
    [[nodiscard]] static attempt_result unknown_result(std::string reason);
    [[nodiscard]] core::milliseconds time_left(core::time_point deadline) const;
    void record(rank_report& rank, const answer_verdict& verdict, core::duration latency);
    rank_report& report_of(const request_kind& kind) { return report_->ranks.at(core::index_of(kind.rank)); }

    asio::any_io_executor executor_;
    const core::clock* clock_;
    caller_options options_;
    std::vector<tcp::endpoint> entries_;
    load_report* report_;
    http_client client_;
    look_up_cache look_ups_;
    std::uint64_t next_key_ = 0;
};

/** @returns whether a caller resends a request that was refused for this reason, under a new key. */
[[nodiscard]] bool is_retryable(std::string_view reason);

} // namespace knapweed::stand_ins
