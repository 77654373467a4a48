#include "gateway/gateway.h"

#include "gateway/peer_calls.h"
#include "gateway/quarantine_log.h"
#include "gateway/server_log.h"
#include "net/address.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <random>
#include <sys/stat.h>

namespace knapweed::gateway {

namespace asio = net::asio;

namespace {

constexpr core::milliseconds tick_interval{100};
constexpr std::uint64_t ticks_per_status = 5; ///< a status message every 500 ms
/** With the way by two hubs, an account that exceeds its quota is noticed within about half a second. */
constexpr std::uint64_t ticks_per_account_loads = 2;
constexpr std::uint64_t ticks_per_second = 10;
/** Part of the file descriptors that callers' connections may take. The others are for connections to servers
   and to the platform, and for files. */
constexpr double caller_descriptors = 0.61;
/** The same of each of the listeners for relayed requests, readiness checks, look-ups and metrics. */
constexpr double auxiliary_descriptors = 0.122;
/** Memory of an open connection without a request, and the part of the memory that all of them may take. */
constexpr std::uint64_t session_bytes = 12288;
constexpr std::uint64_t session_memory_divisor = 4;

std::size_t max_caller_sessions(const gateway_settings& settings)
{
    const auto by_descriptors = static_cast<std::size_t>(settings.max_descriptors * caller_descriptors);
    return std::min<std::size_t>(by_descriptors,
                                 settings.memory_bytes / session_memory_divisor / session_bytes);
}

std::size_t max_auxiliary_sessions(const gateway_settings& settings)
{
    return static_cast<std::size_t>(settings.max_descriptors * auxiliary_descriptors);
}

/** Limit of the fields that an instance adds to the head of a request that it relays. */
constexpr std::size_t relay_header_bytes = 512;
/** Idle connections to servers are closed after this time unless the server specifies another. */
constexpr core::milliseconds max_idle_time{4000};
constexpr core::milliseconds shutdown_poll_interval{20};

std::uint64_t random_seed()
{
    return std::random_device{}();
}

/** @returns the microseconds since 1970: each restart of an instance has a higher number. */
core::incarnation make_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return {static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count())};
}

/** @returns the modification time of a file in nanoseconds since 1970, 0 when it can't be read. */
std::int64_t modification_time(const std::string& file)
{
    struct stat info {};
    if (::stat(file.c_str(), &info) != 0)
        return 0;
    constexpr std::int64_t nanoseconds = 1000000000;
    return info.st_mtim.tv_sec * nanoseconds + info.st_mtim.tv_nsec;
}

} // namespace

gateway::gateway(gateway_settings settings, std::string settings_file, http_dialect dialect)
    : settings_(std::move(settings)), settings_file_(std::move(settings_file)), dialect_(std::move(dialect)),
      bodies_(make_body_limits(settings_.memory_bytes)), signals_(io_, SIGTERM, SIGINT, SIGHUP),
      log_({settings_.instance.str(), settings_.log_lines_per_second, 65536}, time_),
      steerer_(make_steerer_options(settings_, random_seed()), time_),
      connections_(io_.get_executor(), max_idle_time, metrics_, time_),
      relays_(settings_.instance, dialect_, time_),
      shutdown_(time_), forwarder_{io_.get_executor(), time_, steerer_, connections_, dialect_,
                                   metrics_,           log_,  relays_,  shutdown_},
      pages_(settings_, dialect_, steerer_, metrics_, log_, [this] { return ready(); }),
      callers_(io_.get_executor(),
               make_context([this](auto exchange) { return forward(std::move(exchange)); }),
               max_caller_sessions(settings_)),
      relayed_(io_.get_executor(),
               make_context([this](auto exchange) { return forward_relayed(std::move(exchange)); },
                            relay_header_bytes),
               max_auxiliary_sessions(settings_)),
      readiness_(io_.get_executor(),
                 make_context([this](auto exchange) { return pages_.answer_readiness(std::move(exchange)); }),
                 max_auxiliary_sessions(settings_)),
      lookups_(io_.get_executor(),
               make_context([this](auto exchange) { return pages_.answer_lookup(std::move(exchange)); }),
               max_auxiliary_sessions(settings_)),
      metrics_listener_(io_.get_executor(), make_context([this](auto exchange) {
                            return pages_.answer_metrics(std::move(exchange));
                        }),
                        max_auxiliary_sessions(settings_)),
      incarnation_(make_incarnation()),
      messenger_(
          io_.get_executor(), {settings_.instance, settings_.region, incarnation_}, steerer_,
          [this] { return status(); }, [this](std::string_view error) { report_error(error); }),
      prober_(io_.get_executor(), steerer_, log_, [this](std::string_view error) { report_error(error); }),
      settings_modified_(modification_time(settings_file_))
{
    steerer_.servers().set_regions(settings_.data_centres);
    steerer_.on_retry([this](core::retry_reason reason) { metrics_.count(reason); });
    log_statements(steerer_, log_);
    log_quarantine(steerer_.quarantine(), log_);
    release_requests();
}

gateway::~gateway() = default;

std::shared_ptr<session_context> gateway::make_context(session_context::handler handle,
                                                       std::size_t added_header_bytes)
{
    auto limits = [this, added_header_bytes] {
        const auto* policy = steerer_.policy();
        auto result = policy == nullptr ? steering::caller_limits{} : policy->limits;
        result.header_bytes += added_header_bytes;
        return result;
    };
    return std::make_shared<session_context>(
        session_context{time_, metrics_, shutdown_, bodies_, std::move(limits), std::move(handle),
                        [this](std::string_view error) { report_error(error); }});
}

std::string gateway::listen()
{
    const auto listen_at = [](caller_listener& listener, const std::string& address) -> std::string {
        const auto endpoint = net::parse_address(address);
        if (!endpoint)
            return address + ": not an address";
        const auto error = listener.listen(*endpoint);
        return error ? address + ": " + error.message() : "";
    };
    for (auto failure :
         {listen_at(callers_, settings_.caller_address), listen_at(relayed_, settings_.peer_address),
          listen_at(readiness_, settings_.readiness_address), listen_at(lookups_, settings_.lookup_address),
          listen_at(metrics_listener_, settings_.metrics_address)}) {
        if (!failure.empty())
            return failure;
    }
    const auto peer_endpoint = net::parse_address(settings_.peer_address);
    if (!peer_endpoint)
        return settings_.peer_address + ": not an address";
    const auto error = messenger_.open({peer_endpoint->address(), peer_endpoint->port()});
    return error ? settings_.peer_address + ": " + error.message() : "";
}

void gateway::run()
{
    log_.info(json_line("started")
                  .add("incarnation", incarnation_.value)
                  .add("data_centre", settings_.data_centre.str())
                  .add("region", settings_.region.str())
                  .add("callers", settings_.caller_address)
                  .add("store", settings_.store_address));
    wait_for_signal();
    start_lasting([this] { return run_ticks(); });
    start_lasting([this] { return messenger_.send_load_periodically(); });
    io_.run();
    log_.info(json_line("stopped").add("requests_in_progress", forwarder_.in_progress));
    log_.flush();
}

void gateway::start_lasting(std::function<asio::awaitable<void>()> task)
{
    auto on_error = [this](std::string_view error) { report_error(error); };
    asio::co_spawn(io_, net::run_lasting(std::move(task), std::move(on_error)), asio::detached);
}

void gateway::report_error(std::string_view error)
{
    metrics_.add(net::counter::unexpected_errors);
    log_.warn(json_line("unexpected_error").add("error", error));
}

void gateway::wait_for_signal()
{
    signals_.async_wait([this](net::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reload_settings("signal");
        else
            leave();
        wait_for_signal();
    });
}

bool gateway::ready() const
{
    return !shutdown_.begun() && steerer_.policy() != nullptr;
}

asio::awaitable<void> gateway::forward(std::shared_ptr<caller_exchange> exchange)
{
    const auto request = std::make_shared<forwarded_request>(forwarder_, std::move(exchange));
    co_await request->run();
}

asio::awaitable<void> gateway::forward_relayed(std::shared_ptr<caller_exchange> exchange)
{
    if (on_copy_request_ && exchange->request().path() == copies_path) {
        co_await on_copy_request_(std::move(exchange));
        co_return;
    }
    auto origin = take_relay_origin(exchange->request());
    const auto request =
        std::make_shared<forwarded_request>(forwarder_, std::move(exchange), std::move(origin));
    co_await request->run();
}

steering::instance_status gateway::status()
{
    steering::instance_status status;
    status.instance = settings_.instance;
    status.location = {settings_.data_centre, settings_.region};
    status.caller_address = settings_.caller_address;
    status.peer_address = settings_.peer_address;
    status.incarnation = incarnation_;
    status.sequence = messenger_.next_sequence();
    status.ready = ready();
    status.leaving = shutdown_.begun();
    status.reaches_servers = !steerer_.links().is_cut();
    status.capacity = settings_.capacity;
    status.demand = steerer_.demand();
    status.store = steerer_.store_role().view();
    if (steerer_.fanout().is_hub())
        status.region_sum = steerer_.region_sum();
    return status;
}

asio::awaitable<void> gateway::run_ticks()
{
    asio::steady_timer timer(io_);
    for (;;) {
        timer.expires_after(tick_interval);
        const auto [error] = co_await timer.async_wait(net::as_result);
        if (error)
            co_return;
        tick();
    }
}

void gateway::tick()
{
    ++ticks_;
    const auto stall = steerer_.tick();
    if (stall > core::duration::zero())
        log_.warn(json_line("stood_still").add_ms("for_ms", stall));
    for (auto* listener : {&callers_, &relayed_, &readiness_, &lookups_, &metrics_listener_})
        listener->tick();
    const bool paths_changed = prober_.tick();
    if (on_tick_)
        on_tick_();
    const bool status_due = ticks_ % ticks_per_status == 0;
    if (paths_changed || status_due)
        messenger_.send_status();
    const bool has_crash_news = steerer_.quarantine().tick(steerer_.links().state());
    if (has_crash_news || status_due)
        messenger_.send_crash_reports();
    if (steerer_.limits().take_news() || status_due)
        messenger_.send_limit_reports();
    if (steerer_.notices().take_news() || status_due)
        messenger_.send_leaving_reports();
    if (ticks_ % ticks_per_account_loads == 0)
        messenger_.send_account_loads();
    if (ticks_ % ticks_per_second == 0) {
        connections_.close_idle();
        check_settings_file();
    }
    log_.flush();
}

void gateway::check_settings_file()
{
    const auto modified = modification_time(settings_file_);
    if (modified == settings_modified_)
        return;
    settings_modified_ = modified;
    reload_settings("file");
}

void gateway::reload_settings(std::string_view cause)
{
    auto reloaded = read_gateway_settings(settings_file_);
    if (!reloaded.errors.empty()) {
        log_.warn(json_line("settings_rejected").add("cause", cause).add("error", reloaded.errors.front()));
        return;
    }
    // Changes of all other settings take effect when the process is restarted.
    settings_.data_centres = reloaded.settings.data_centres;
    settings_.lookup_ttl = reloaded.settings.lookup_ttl;
    settings_.grace_period = reloaded.settings.grace_period;
    settings_.released_requests = reloaded.settings.released_requests;
    steerer_.servers().set_regions(settings_.data_centres);
    release_requests();
    log_.info(json_line("settings_reloaded").add("cause", cause));
}

void gateway::release_requests()
{
    for (const auto request : settings_.released_requests)
        steerer_.quarantine().release(request);
}

void gateway::leave()
{
    if (shutdown_.begun())
        return;
    shutdown_.begin(settings_.grace_period);
    log_.info(json_line("leaving").add("requests_in_progress", forwarder_.in_progress));
    steerer_.store_role().leave();
    messenger_.send_status();
    if (on_leaving_)
        on_leaving_();
    start_lasting([this] { return complete_shutdown(); });
}

asio::awaitable<void> gateway::complete_shutdown()
{
    asio::steady_timer timer(io_);
    bool accepting = true;
    while (!shutdown_.is_complete(forwarder_.in_progress + callers_.sessions() + relayed_.sessions())) {
        if (!shutdown_.accepts_connections()) {
            const bool was_accepting = std::exchange(accepting, false);
            for (auto* listener : {&callers_, &relayed_}) {
                if (was_accepting)
                    listener->stop_accepting();
                else
                    listener->close_idle_sessions();
            }
        }
        timer.expires_after(shutdown_poll_interval);
        co_await timer.async_wait(net::as_result);
    }
    io_.stop();
}

} // namespace knapweed::gateway
