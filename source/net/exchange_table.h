#pragma once

#include "net/event_port.h"
#include "net/exchange.h"

#include <unordered_map>

namespace knapweed::net {

/** The exchanges that wait for an answer, by identifier. Used by the network thread only. */
class exchange_table {
public:
    exchange_table(asio::any_io_executor executor, event_port& events, telemetry& reports);

    /** Creates an exchange. Sends `exchange_closed` to the decision thread when the caller's connection is
        lost. */
    [[nodiscard]] std::shared_ptr<exchange> open(buffered_request request, std::shared_ptr<answer_sink> sink);

    /** @returns the exchange, or null if it has ended. */
    [[nodiscard]] std::shared_ptr<exchange> find(core::exchange_id id) const;

    /** Removes an exchange that has ended. */
    void erase(core::exchange_id id);
    [[nodiscard]] std::size_t size() const noexcept { return exchanges_.size(); }

private:
    asio::any_io_executor executor_;
    event_port& events_;
    telemetry& reports_;
    std::uint64_t next_id_ = 1;
    std::unordered_map<core::exchange_id, std::shared_ptr<exchange>> exchanges_;
};

} // namespace knapweed::net
