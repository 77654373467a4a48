#pragma once

#include "gateway/caller_exchange.h"
#include "gateway/event_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/http_dialect.h"
#include "gateway/lookup_addresses.h"

namespace knapweed::gateway {

/** Answers the requests that concern the instance itself: readiness checks, look-ups and metrics. Owned by
   the gateway and used by its only thread. */
class status_pages {
public:
    /** @param ready returns whether the instance takes callers' requests. All arguments must outlive this
        object. */
    status_pages(const gateway_settings& settings, const http_dialect& dialect, steering::steerer& steerer,
                 gateway_metrics& metrics, event_log& log, std::function<bool()> ready);

    net::asio::awaitable<void> answer_readiness(std::shared_ptr<caller_exchange> exchange);
    net::asio::awaitable<void> answer_lookup(std::shared_ptr<caller_exchange> exchange);
    net::asio::awaitable<void> answer_metrics(std::shared_ptr<caller_exchange> exchange);

private:
    [[nodiscard]] std::vector<lookup_entry> lookup_entries();

    const gateway_settings& settings_;
    const http_dialect& dialect_;
    steering::steerer& steerer_;
    gateway_metrics& metrics_;
    event_log& log_;
    std::function<bool()> ready_;
};

} // namespace knapweed::gateway
