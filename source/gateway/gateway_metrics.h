#pragma once

#include "net/metrics.h"
#include "steering/request_plan.h"

#include <memory>

namespace knapweed::gateway {

/** Counters and latency histograms of the gateway, in the Prometheus text format. */
class gateway_metrics final : public net::counter_sink {
public:
    gateway_metrics();
    gateway_metrics(const gateway_metrics&) = delete;
    gateway_metrics& operator=(const gateway_metrics&) = delete;
    ~gateway_metrics() override;

    using counter_sink::add;
    void add(net::counter which, std::uint64_t amount) override;
    /** Counts a refused request. */
    void count(core::refusal_reason reason);
    /** Counts a request whose outcome is unknown. */
    void count(core::unknown_reason reason);
    /** Counts a request that was sent to a further server. */
    void count(core::retry_reason reason);
    /** Records the latency of an answer.
        @param route name of the request's route, empty when it matched none. @param status HTTP status,
       recorded by its class.
        @param latency from the arrival of the request to the end of its answer. */
    void observe_answer(const std::string& route, unsigned status, core::duration latency);
    /** @param total number of log lines dropped so far. */
    void set_log_lines_dropped(std::uint64_t total);
    void set_quarantined_requests(std::size_t number);

    /** @returns all metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    struct series;

    std::unique_ptr<series> series_;
};

} // namespace knapweed::gateway
