#pragma once

#include "core/random_source.h"
#include "stand_ins/backend/backend_options.h"
#include "stand_ins/backend/run_ledger.h"
#include "stand_ins/http/http_server.h"
#include "stand_ins/http/lagged_value.h"

#include <boost/asio/steady_timer.hpp>

namespace knapweed::stand_ins {

/** Emulates one backend server.

    Every path runs a request, except `GET /health`, `GET /statistics`, `GET /runs`, `GET /runs/KEY`,
    `DELETE /runs/RUN-ID` and `POST /control` with `{"leaving": bool, "health_lie": NAME, "crash": true}`.

    The query parameters `run_ms` and `answer_bytes` override the options for one request. A path
    that contains `/crash` crashes the server: it closes all connections without answers and refuses new
    ones until it restarts.
*/
class backend_server {
public:
    backend_server(const asio::any_io_executor& executor, const core::clock& clock,
                   const backend_options& options, std::uint64_t seed, run_ledger& ledger);

    /** @see http_server::listen */
    void listen(std::uint16_t port);
    [[nodiscard]] std::uint16_t port() const { return port_; }

private:
    /** Why a run ended. */
    enum class run_end { finished, deadline, cancelled, killed };

    struct running_request {
        asio::steady_timer timer;
        run_end end = run_end::finished;
    };

    /** State that health answers report. */
    struct health_state {
        std::size_t busy = 0;
        bool leaving = false;
    };

    struct run_counts {
        std::uint64_t runs = 0; ///< started runs
        std::uint64_t finished = 0;
        std::uint64_t shed = 0; ///< requests refused because all slots were in use
        std::uint64_t cancelled = 0;
        std::uint64_t deadline_passed = 0;
        std::uint64_t killed = 0; ///< runs ended by a crash
        std::uint64_t crashes = 0;
        std::uint64_t runs_while_leaving = 0;
        std::size_t most_slots_in_use = 0;
        core::duration slot_time{};
        core::duration wasted_slot_time{};       ///< of requests that did not finish
        core::duration last_run_after_leaving{}; ///< time from leaving to the last start of a run
    };

    asio::awaitable<std::optional<http_response>> answer(http_request request);
    asio::awaitable<std::optional<http_response>> run(http_request request, request_target target);
    std::shared_ptr<running_request> start(const http_request& request, const request_target& target);
    http_response make_answer(const http_request& request, const request_target& target, run_end end) const;
    core::duration run_time(const request_target& target);
    void count_end(run_end end, core::duration time);
    http_response cancel(const std::string& run_id);
    http_response handle_control_request(const http_request& request);
    http_response health();
    void crash();
    void publish_health();
    [[nodiscard]] nlohmann::json statistics() const;

    const core::clock* clock_;
    backend_options options_;
    run_ledger* ledger_;
    core::random_source random_;
    std::multimap<std::string, std::shared_ptr<running_request>> running_; ///< by run identifier
    lagged_value<health_state> health_;
    health_override health_override_;
    bool leaving_ = false;
    core::time_point leaving_since_;
    std::uint64_t cold_requests_left_;
    run_counts counts_;
    std::uint16_t port_ = 0;
    asio::steady_timer restart_;
    http_server server_;
};

} // namespace knapweed::stand_ins
