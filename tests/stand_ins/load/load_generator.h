#pragma once

#include "stand_ins/load/load_options.h"

namespace knapweed::stand_ins {

/** Sends requests as an open-loop load generator, at random times that do not depend on the answers, then
    reads the run ledgers of the backend servers. */
class load_generator {
public:
    load_generator(asio::any_io_executor executor, const core::clock& clock, const load_options& options);

    /** Sends all requests, waits for their outcomes and reads the ledgers, which completes the report. */
    asio::awaitable<void> run();

    [[nodiscard]] const load_report& report() const { return report_; }

private:
    asio::awaitable<void> wait_until(core::time_point time);

    asio::any_io_executor executor_;
    const core::clock* clock_;
    load_options options_;
    core::random_source random_;
    load_report report_;
    load_caller caller_;
    std::uint64_t in_progress_ = 0;
};

} // namespace knapweed::stand_ins
