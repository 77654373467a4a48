#include "stand_ins/load/load_generator.h"

#include "stand_ins/load/ledger_reader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cmath>

namespace knapweed::stand_ins {

namespace {

constexpr core::milliseconds poll_interval{20};

/** Draws the time between two arrivals of a Poisson process.

    @param rate in arrivals per second.
*/
core::duration draw_interarrival_time(core::random_source& random, double rate)
{
    const std::chrono::duration<double> interval{-std::log(1.0 - random.fraction()) / rate};
    return std::chrono::duration_cast<core::duration>(interval);
}

} // namespace

load_generator::load_generator(asio::any_io_executor executor, const core::clock& clock,
                               const load_options& options)
    : executor_(executor), clock_(&clock), options_(options), random_(options.seed),
      caller_(std::move(executor), clock, options.caller, options.entries, report_)
{}

asio::awaitable<void> load_generator::run()
{
    core::time_point arrival = clock_->now();
    const core::time_point end = arrival + std::chrono::seconds{options_.duration_seconds};
    while (true) {
        arrival += draw_interarrival_time(random_, options_.rate);
        if (arrival >= end)
            break;
        const request_kind kind = pick_kind(options_.mix, random_);
        const std::string caller = "caller-" + std::to_string(random_.below(options_.callers));
        co_await wait_until(arrival);
        ++in_progress_;
        asio::co_spawn(executor_, caller_.perform(kind, caller), [this](const std::exception_ptr& error) {
            --in_progress_;
            if (error)
                std::rethrow_exception(error);
        });
    }
    while (in_progress_ > 0)
        co_await wait_until(clock_->now() + poll_interval);
    co_await wait_until(clock_->now() + options_.settle);
    http_client client{executor_};
    report_.backends = co_await read_ledgers(client, options_.backends, report_.refused_keys);
}

asio::awaitable<void> load_generator::wait_until(core::time_point time)
{
    asio::steady_timer timer{executor_, time};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace knapweed::stand_ins
