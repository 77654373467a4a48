#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>

namespace knapweed::stand_ins {

/** Runs an io_context until SIGTERM or SIGINT arrives or the given time has passed. */
void run_for_lifetime(boost::asio::io_context& context, std::uint64_t lifetime_seconds);

} // namespace knapweed::stand_ins
