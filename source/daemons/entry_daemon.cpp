#include "entry_daemon.h"

#include "net/address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>
#include <random>
#include <sstream>
#include <thread>

namespace knapweed::daemons {

namespace {

using core::milliseconds;

constexpr milliseconds log_interval{20};

/** @returns the start time in microseconds with 8 random low bits, so that incarnations of an instance do not
    repeat. */
core::incarnation make_incarnation()
{
    constexpr std::uint64_t random_bits = 0xff;
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto microseconds = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
    return {(microseconds & ~random_bits) | (std::random_device{}() & random_bits)};
}

std::vector<std::string> split_addresses(const std::string& list)
{
    std::vector<std::string> addresses;
    std::istringstream text{list};
    for (std::string address; std::getline(text >> std::ws, address, ',');)
        addresses.push_back(address);
    return addresses;
}

decision::node_options make_node_options(const wire::settings& settings, core::incarnation incarnation)
{
    const auto& steering = settings.steering();
    decision::node_options options;
    options.instance = core::instance_id{settings.instance().name()};
    options.incarnation = incarnation;
    options.data_centre = core::data_centre_id{settings.instance().data_centre()};
    options.region = core::region_id{settings.instance().region()};
    options.address = settings.instance().listen();
    options.seed_addresses = split_addresses(settings.instance().peers());
    options.lookup_ttl = milliseconds(steering.lookup_ttl_ms());
    options.ticket_lifetime = milliseconds(steering.ticket_lifetime_ms());
    options.heartbeat_interval = milliseconds(steering.heartbeat_interval_ms());
    options.suspect_after = milliseconds(steering.suspect_after_ms());
    options.fail_after = milliseconds(steering.fail_after_ms());
    options.probe_interval = milliseconds(steering.probe_interval_ms());
    options.witness_timeout = milliseconds(steering.witness_timeout_ms());
    options.platform_timeout = milliseconds(settings.platform().call_timeout_ms());
    options.platform_poll_interval = milliseconds(settings.platform().poll_interval_ms());
    options.platform_calls_in_flight = settings.platform().calls_in_flight();
    options.request_records = settings.limits().request_records();
    return options;
}

net::network_options make_network_options(const wire::settings& settings, core::incarnation incarnation)
{
    const auto& limits = settings.limits();
    net::network_options options;
    options.instance = core::instance_id{settings.instance().name()};
    options.incarnation = incarnation;
    options.limits.body_bytes = limits.request_body_bytes();
    options.limits.header_bytes = limits.header_bytes();
    options.limits.connections = limits.caller_connections();
    options.limits.idle_time = milliseconds(limits.idle_timeout_ms());
    return options;
}

net::log_level log_level_of(const wire::settings& settings)
{
    return core::parse_name<net::log_level>(settings.log().level()).value_or(net::log_level::info);
}

} // namespace

entry_daemon::entry_daemon(const wire::settings& settings)
    : listen_address_(settings.instance().listen()), incarnation_(make_incarnation()),
      reports_(settings.instance().name(), log_level_of(settings), settings.limits().ring_entries()),
      rings_(settings.limits().ring_entries()),
      node_(make_node_options(settings, incarnation_), clock_, incarnation_.value), commands_(node_),
      network_(make_network_options(settings, incarnation_), rings_.from_network, rings_.to_network,
               rings_.decision_thread, reports_),
      control_({settings.platform().table_service(),
                milliseconds(std::max(settings.steering().probe_interval_ms(), 1000U))},
               rings_.from_control, rings_.to_control, rings_.decision_thread, reports_),
      decision_loop_(rings_,
                     {[this](const auto& event, auto& actions) { node_.handle(event, actions); },
                      [this](auto& actions) { node_.tick(actions); }, [this] { network_.wake(); },
                      [this] { control_.wake(); }},
                     reports_)
{}

int entry_daemon::run()
{
    const auto address = net::parse_address(listen_address_);
    const auto failure = address ? network_.listen(*address)
                                 : net::asio::error::make_error_code(net::asio::error::invalid_argument);
    if (failure) {
        std::fprintf(stderr, "knapweedd: can't listen on %s: %s\n", listen_address_.c_str(),
                     failure.message().c_str());
        return 1;
    }
    network_.stop_on_signals();
    network_.use_metrics_text([this]() -> net::asio::awaitable<std::string> {
        // The text is produced on the telemetry thread; the coroutine then continues on the network thread.
        auto make_text = [this]() -> net::asio::awaitable<std::string> { co_return reports_.text(); };
        co_return co_await net::asio::co_spawn(telemetry_io_, make_text, net::asio::use_awaitable);
    });
    reports_.log(net::log_source::network, net::log_level::info, "serving",
                 "listening on " + listen_address_);
    std::thread telemetry_thread([this] { run_telemetry(); });
    std::thread control_thread([this] { control_.run(); });
    std::thread decision_thread([this] { decision_loop_.run(); });
    network_.run();
    decision_loop_.stop();
    decision_thread.join();
    control_.stop();
    control_thread.join();
    telemetry_io_.stop();
    telemetry_thread.join();
    reports_.log(net::log_source::network, net::log_level::info, "stopped",
                 "the graceful shutdown is complete");
    reports_.write_pending_logs();
    return 0;
}

void entry_daemon::run_telemetry()
{
    net::asio::co_spawn(telemetry_io_, write_logs(), net::asio::detached);
    telemetry_io_.run();
}

net::asio::awaitable<void> entry_daemon::write_logs()
{
    net::asio::steady_timer timer(telemetry_io_);
    for (;;) {
        reports_.write_pending_logs();
        timer.expires_after(log_interval);
        co_await timer.async_wait(net::as_result);
    }
}

} // namespace knapweed::daemons
