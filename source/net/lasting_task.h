#pragma once

#include "core/core.h"
#include "net/asio_types.h"

#include <exception>
#include <functional>
#include <string_view>

namespace knapweed::net {

/** Receives the description of an error that no other code handles. */
using error_hook = std::function<void(std::string_view)>;

/** @returns the description of an exception. */
[[nodiscard]] std::string_view describe(const std::exception_ptr& error);

/** Runs a coroutine that is needed for as long as the process runs. When an exception leaves it, the
   exception is reported and the coroutine is started again after a pause: an unexpected error costs the work
   in progress, not the process.
    @param task starts the coroutine; ends for good when the coroutine returns. */
asio::awaitable<void> run_lasting(std::function<asio::awaitable<void>()> task, error_hook on_error);

} // namespace knapweed::net
