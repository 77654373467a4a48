#include "net/lasting_task.h"

#include <boost/asio/this_coro.hpp>

namespace knapweed::net {

namespace {

/** Limits how often a task that fails at once is started again. */
constexpr core::milliseconds restart_pause{50};

} // namespace

std::string_view describe(const std::exception_ptr& error)
{
    try {
        std::rethrow_exception(error);
    }
    catch (const std::exception& exception) {
        // The text belongs to the exception object, which the argument keeps alive.
        return exception.what();
    }
    catch (...) {
        return "an exception of an unknown type";
    }
}

asio::awaitable<void> run_lasting(std::function<asio::awaitable<void>()> task, error_hook on_error)
{
    for (;;) {
        std::exception_ptr error;
        try {
            co_await task();
        }
        catch (...) {
            error = std::current_exception();
        }
        if (!error)
            co_return;
        on_error(describe(error));
        asio::steady_timer pause(co_await asio::this_coro::executor, restart_pause);
        co_await pause.async_wait(as_result);
    }
}

} // namespace knapweed::net
