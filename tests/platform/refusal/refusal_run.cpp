#include "refusal_run.h"

#include "promise_checker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>

namespace knapweed::soak {

namespace asio = net::asio;

namespace {

/** The instances are ready and know each other after this time. */
constexpr core::milliseconds warm_up{2500};
constexpr core::milliseconds trouble_length{8000};
constexpr core::milliseconds load_after{1000};
constexpr core::milliseconds longest_request{3000};
constexpr core::milliseconds watch_interval{10};
constexpr core::milliseconds restart_interval{120};
constexpr core::milliseconds renewal_interval{20};
constexpr core::milliseconds gateway_trouble_interval{1500};
constexpr core::milliseconds suspension{600};
/** The entry of a process that has ended stays for this time. */
constexpr core::milliseconds entry_lifetime{3000};
constexpr refusal_habits habits{0.2, 0.8, core::milliseconds(30)};
constexpr int number_of_gateways = 4;
constexpr int number_of_callers = 16;
constexpr int servers_per_service = 4;
const std::string moved_service = "moved-1";

} // namespace

refusal_run::refusal_run(const refusal_options& options)
    : options_(options),
      fleet_({options.program, options.directory, options.previous_program,
              "refusal-" + std::string(core::name_of(options.kind)) + "-" + std::to_string(options.seed),
              options.seed * core::number_of_values<refusal_kind> + static_cast<std::uint64_t>(options.kind),
              number_of_gateways})
{
    result_.history = fleet_.history_file();
}

refusal_result refusal_run::run()
{
    start();
    asio::co_spawn(fleet_.io(), watch_processes(), asio::detached);
    asio::co_spawn(fleet_.io(), play(), [this](const std::exception_ptr& error) {
        fleet_.io().stop();
        if (error)
            std::rethrow_exception(error);
    });
    fleet_.io().run();
    planned_changes changes;
    changes.services_in_order = {moved_service};
    changes.only_planned = false;
    auto judged = fleet_.records();
    std::erase_if(judged,
                  [this](const auto& entry) { return fleet_.concerns_previous_program(entry.second); });
    const auto promises = check_promises(judged, changes);
    result_.broken.insert(result_.broken.end(), promises.begin(), promises.end());
    check_repeats();
    return result_;
}

void refusal_run::start()
{
    for (const auto& service : {std::string("read"), std::string("once"), moved_service})
        fleet_.add_servers(service, servers_per_service);
    for (const auto& place : fleet_.servers()) {
        make_refusing(*place.server);
        fleet_.write_server(place, false);
    }
    fleet_.write_configuration(3, moved_service);
    fleet_.start_gateways();
}

void refusal_run::make_refusing(server_stand_in& server)
{
    server.set_refusals(habits);
}

store_fleet::server_place& refusal_run::any_server()
{
    return fleet_.servers()[fleet_.random().below(fleet_.servers().size())];
}

void refusal_run::restart_a_server()
{
    auto& place = any_server();
    const auto former = place.server->id();
    place.server->restart();
    make_refusing(*place.server);
    fleet_.write_server(place, false, ++last_born_);
    fleet_.history().add("server_restarted", {{"server", place.server->id()}, {"former", former}});
    fleet_.schedule(entry_lifetime, [this, former] { fleet_.store().remove("servers", former); });
}

void refusal_run::renew_an_entry()
{
    const auto& place = any_server();
    fleet_.write_server(place, false, ++last_born_);
    fleet_.history().add("entry_renewed", {{"server", place.server->id()}});
}

void refusal_run::trouble_a_gateway()
{
    auto& gateway = *fleet_.gateways()[fleet_.random().below(fleet_.gateways().size())];
    if (!gateway.running() || gateway.told_to_end())
        return;
    switch (fleet_.random().below(3)) {
    case 0:
        return gateway.send(SIGTERM);
    case 1:
        return gateway.send(SIGKILL);
    default:
        gateway.send(SIGSTOP);
        return fleet_.schedule(suspension, [&gateway] { gateway.send(SIGCONT); });
    }
}

/** No connection between a gateway and a server carries a request twice. */
void refusal_run::check_repeats()
{
    std::size_t refused = 0;
    std::size_t successes = 0;
    std::size_t repeats = 0;
    for (const auto& [id, record] : fleet_.records()) {
        successes += record.result == caller_result::answered && record.status < 300 ? 1 : 0;
        refused += record.result == caller_result::answered && record.status == 503 ? 1 : 0;
        if (!fleet_.concerns_previous_program(record))
            repeats += record.repeats_on_connection;
    }
    std::size_t copies = 0;
    for (const auto& place : fleet_.servers())
        copies += place.server->copies();
    result_.summary = std::to_string(fleet_.records().size()) + " requests, " + std::to_string(successes) +
                      " successes, " + std::to_string(refused) + " refused, " + std::to_string(copies) +
                      " copies of refusals, " + std::to_string(repeats) + " repeats on a connection";
    if (repeats > 0)
        result_.broken.push_back(std::to_string(repeats) + " requests went over a connection twice");
    if (copies == 0 || successes == 0)
        result_.broken.push_back("nothing was tried: " + result_.summary);
}

asio::awaitable<void> refusal_run::play()
{
    co_await fleet_.sleep(warm_up);
    fleet_.start_callers(number_of_callers);
    const auto repeat = [this](core::milliseconds interval, void (refusal_run::*action)()) {
        for (auto at = interval; at < trouble_length; at += interval)
            fleet_.schedule(at, [this, action] { (this->*action)(); });
    };
    if (options_.kind != refusal_kind::renewals)
        repeat(restart_interval, &refusal_run::restart_a_server);
    if (options_.kind != refusal_kind::restarts)
        repeat(renewal_interval, &refusal_run::renew_an_entry);
    if (options_.kind == refusal_kind::both)
        repeat(gateway_trouble_interval, &refusal_run::trouble_a_gateway);
    co_await fleet_.sleep(trouble_length + load_after);
    for (const auto& caller : fleet_.callers())
        caller->stop();
    co_await fleet_.sleep(longest_request);
    finished_ = true;
}

asio::awaitable<void> refusal_run::watch_processes()
{
    while (!finished_) {
        const auto unexpected_ends = fleet_.restart_ended_gateways();
        result_.broken.insert(result_.broken.end(), unexpected_ends.begin(), unexpected_ends.end());
        co_await fleet_.sleep(watch_interval);
    }
}

} // namespace knapweed::soak
