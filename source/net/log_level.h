#pragma once

#include "core/core.h"

#include <log4cplus/loglevel.h>

namespace knapweed::net {

/** Severity of a log line, in ascending order. */
enum class log_level { debug, info, warn, error };

/** @returns the log4cplus level with the same meaning. */
[[nodiscard]] log4cplus::LogLevel to_log4cplus(log_level level);

} // namespace knapweed::net

namespace knapweed::core {

template <>
struct names_of<net::log_level> {
    static constexpr std::array<std::string_view, 4> table{"debug", "info", "warn", "error"};
};

} // namespace knapweed::core
