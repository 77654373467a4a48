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
    void count(core::refusal_reason reason);
    void count(core::unknown_reason reason);
    void count(core::retry_reason reason);
    /** @param route name of the request's route, empty when it matched none. */
    void observe_answer(const std::string& route, unsigned status, core::duration taken);
    void set_log_lines_dropped(std::uint64_t total);

    /** @returns all metrics as text. */
    [[nodiscard]] std::string text() const;

private:
    struct series;

    std::unique_ptr<series> series_;
};

} // namespace knapweed::gateway
