#include "soak_run.h"

#include "statement_checker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>

namespace knapweed::soak {

namespace asio = net::asio;

namespace {

/** The instances are ready and know each other after this time. */
constexpr core::milliseconds warm_up{2500};
constexpr core::milliseconds watch_interval{10};
constexpr core::milliseconds longest_fault{2500};
/** A server that leaves serves on for this time after it has said so, and then ends. */
constexpr core::milliseconds drain_time{3500};
constexpr int faults_per_run = 14;
constexpr int planned_per_run = 6;
constexpr int only_planned_divisor = 3;
/** Servers that state that they leave, or that they want rest, in each run; the latter not with planned work
    only. */
constexpr int leaving_per_run = 2;
constexpr int resting_per_run = 2;
constexpr int returns_of_store_per_run = 2;
constexpr int copying_servers_per_run = 4;
constexpr refusal_habits copying_refusals{0.2, 0.8, core::milliseconds(30)};
/** The entry of a process that has crashed stays for this time after the next one has started. */
constexpr core::milliseconds entry_lifetime{2000};
/** A server that only its answers state to leave ends this long after the first of them. */
constexpr core::milliseconds stated_drain_time{5000};
/** The store comes back from a copy of at most this age. */
constexpr core::milliseconds oldest_copy{6000};
constexpr core::milliseconds longest_rest{4000};
/** What the copy lacks is written again within this time. */
constexpr core::milliseconds longest_rewrite{2000};
/** A gateway counts as in touch this long after trouble. */
constexpr core::milliseconds contact_time{3000};
constexpr std::uint64_t statements_seed = 0x5bd1e995;
/** The run ends when each caller has this many successes in a row, or fails after the time. */
constexpr unsigned successes_to_end = 10;
constexpr core::milliseconds longest_recovery{20000};
constexpr std::size_t largest_memory_kb = std::size_t{160} * 1024;

const std::vector<std::string> moved_services{"moved-1", "moved-2", "moved-3"};

} // namespace

soak_run::soak_run(soak_options options)
    : options_(std::move(options)),
      fleet_({options_.program, options_.directory, options_.previous_program,
              "soak-" + std::to_string(options_.seed), options_.seed, options_.gateways}),
      statements_(options_.seed ^ statements_seed)
{
    result_.history = fleet_.history_file();
    changes_.only_planned = options_.seed % only_planned_divisor == 0;
    changes_.services_in_order = moved_services;
}

soak_result soak_run::run()
{
    start();
    schedule_faults();
    asio::co_spawn(fleet_.io(), watch_processes(), asio::detached);
    asio::co_spawn(fleet_.io(), finish(), asio::detached);
    fleet_.io().run();
    auto broken = check_promises(fleet_.records(), changes_);
    result_.broken.insert(result_.broken.end(), broken.begin(), broken.end());
    check_statements();
    for (const auto& [id, record] : fleet_.records()) {
        ++result_.requests;
        result_.successes += record.result == caller_result::answered && record.status < 300 ? 1 : 0;
    }
    return result_;
}

void soak_run::start()
{
    fleet_.add_servers("read", options_.servers_per_service);
    fleet_.add_servers("once", options_.servers_per_service);
    for (const auto& service : moved_services)
        fleet_.add_servers(service, 2);
    for (const auto& place : fleet_.servers())
        fleet_.write_server(place, false);
    write_configuration();
    fleet_.start_gateways();
    schedule(warm_up, [this] { start_callers(); });
}

void soak_run::start_callers()
{
    fleet_.start_callers(options_.callers);
    for (int i = 0; i < options_.pipelining_callers; ++i) {
        pipelining_callers_.push_back(std::make_unique<pipelining_caller>(
            fleet_.io().get_executor(), "p" + std::to_string(i), fleet_.gateways(), fleet_.records(),
            fleet_.history(), options_.seed + static_cast<std::uint64_t>(i)));
        asio::co_spawn(fleet_.io(), pipelining_callers_.back()->run(), asio::detached);
    }
}

/** Writes the next configuration, which may send the moved route to the next service. */
void soak_run::write_configuration()
{
    const auto position = std::min<std::size_t>(configuration_ / 2, moved_services.size() - 1);
    fleet_.write_configuration(static_cast<unsigned>(++configuration_ * 3), moved_services.at(position));
}

void soak_run::schedule_faults()
{
    const auto at = [this] {
        return warm_up +
               core::milliseconds(fleet_.random().below(static_cast<std::uint64_t>(options_.length.count())));
    };
    for (int i = 0; i < planned_per_run; ++i)
        add_planned_work(at());
    for (int i = 0; i < faults_per_run && !changes_.only_planned; ++i)
        add_fault(at());
    const auto at_apart = [this] {
        return warm_up +
               core::milliseconds(statements_.below(static_cast<std::uint64_t>(options_.length.count())));
    };
    for (int i = 0; i < leaving_per_run; ++i)
        announce_leaving(at_apart());
    for (int i = 0; i < resting_per_run && !changes_.only_planned; ++i)
        ask_for_rest(at_apart());
    for (int i = 0; i < returns_of_store_per_run && !changes_.only_planned; ++i)
        return_older_store(at_apart());
    for (int i = 0; i < copying_servers_per_run && !changes_.only_planned; ++i)
        copy_refusals(at_apart());
}

/** A server states in its answers that it leaves; its entry in the store stays as it is. */
void soak_run::announce_leaving(core::milliseconds at)
{
    auto& place = fleet_.servers()[statements_.below(fleet_.servers().size())];
    const double share = statements_.below(2) == 0 ? 1 : 0.5;
    schedule(at, [this, &place, share] {
        const auto id = place.server->id();
        place.server->set_leaving(share);
        fleet_.history().add("server_states_leaving", {{"server", id}, {"share", share}});
        schedule(stated_drain_time, [this, &place, id] { end_and_restart(place, id); });
    });
}

/** A server turns all requests away and states how long it wants none. */
void soak_run::ask_for_rest(core::milliseconds at)
{
    ++result_.faults;
    auto& place = fleet_.servers()[statements_.below(fleet_.servers().size())];
    const core::milliseconds rest(1 + statements_.below(longest_rest.count()));
    const core::milliseconds duration(1 + statements_.below(longest_fault.count()));
    schedule(at, [this, &place, rest] {
        const double seconds = std::chrono::duration<double>(rest).count();
        fleet_.history().add("server_rests", {{"server", place.server->id()}, {"seconds", seconds}});
        place.server->set_rest(stated_rest{std::to_string(seconds), rest});
    });
    schedule(at + duration, [&place] { place.server->set_rest(std::nullopt); });
}

/** A server refuses more requests than it must and sends copies of the refusals. */
void soak_run::copy_refusals(core::milliseconds at)
{
    ++result_.faults;
    auto& place = fleet_.servers()[statements_.below(fleet_.servers().size())];
    schedule(at, [this, &place] {
        fleet_.history().add("server_copies_refusals", {{"server", place.server->id()}});
        place.server->set_refusals(copying_refusals);
    });
    schedule(at + longest_fault, [&place] { place.server->set_refusals({}); });
}

/** The store is away and comes back from an older copy of its rows. */
void soak_run::return_older_store(core::milliseconds at)
{
    ++result_.faults;
    const auto fault = statements_.below(2) == 0 ? store_fault::refuses : store_fault::silent;
    const core::milliseconds away(200 + statements_.below(longest_fault.count()));
    const core::milliseconds age(statements_.below(oldest_copy.count()));
    schedule(at, [this, fault] { fleet_.store().set_fault(fault); });
    schedule(at + away, [this, age, at] {
        // The rows from before the start are never lost.
        const auto used_age = std::min(age, at);
        fleet_.history().add("store_returns", {{"age_ms", used_age.count()}});
        fleet_.store().restore(used_age, [this](const std::string&, const std::string&) {
            return core::milliseconds(statements_.below(longest_rewrite.count()));
        });
        fleet_.store().set_fault(store_fault::none);
    });
}

void soak_run::note_disturbance(const std::string& concerned, core::milliseconds at,
                                core::milliseconds duration)
{
    changes_.disturbances.push_back({concerned, at, at + duration});
}

/** Gateways heed what servers state to them, unless they were suspended or the link was in trouble. */
void soak_run::check_statements()
{
    const auto is_judged = [this](const request_record& record, const server_arrival& arrival,
                                  core::milliseconds since) {
        const auto excuses = [&](const disturbance& trouble) {
            const bool is_concerned =
                trouble.concerned == record.gateway || arrival.server.starts_with(trouble.concerned + "-");
            return is_concerned && trouble.from <= arrival.at && since <= trouble.to + contact_time;
        };
        return !fleet_.concerns_previous_program(record) &&
               std::none_of(changes_.disturbances.begin(), changes_.disturbances.end(), excuses);
    };
    const statement_checker checker(fleet_.records(), is_judged);
    for (const auto& broken : {checker.check_leaving(), checker.check_rests()})
        result_.broken.insert(result_.broken.end(), broken.begin(), broken.end());
}

void soak_run::add_planned_work(core::milliseconds at)
{
    switch (fleet_.random().below(4)) {
    case 0:
        return schedule(at, [this] { stop_gateway(*any_of(fleet_.gateways()), SIGTERM); });
    case 1:
        return schedule(at, [this] { any_of(fleet_.gateways())->send(SIGHUP); });
    case 2:
        return schedule(at, [this] { write_configuration(); });
    default:
        return schedule(at, [this] { drain(any_of(fleet_.servers())); });
    }
}

void soak_run::add_fault(core::milliseconds at)
{
    ++result_.faults;
    const core::milliseconds duration(200 + fleet_.random().below(longest_fault.count()));
    const auto kind = fleet_.random().below(10);
    if (kind < 3)
        return add_gateway_fault(at, duration);
    if (kind < 7)
        return add_server_fault(at, duration);
    if (kind == 7) {
        const auto fault = static_cast<store_fault>(1 + fleet_.random().below(6));
        schedule(at, [this, fault] {
            fleet_.history().add("store_fault", {{"fault", static_cast<int>(fault)}});
            fleet_.store().set_fault(fault);
        });
        return schedule(at + duration, [this] { fleet_.store().set_fault(store_fault::none); });
    }
    const auto fault = static_cast<link_fault>(1 + fleet_.random().below(4));
    auto& proxy = kind == 8 ? *any_of(fleet_.store_links()) : *disturbed_server(at, duration).proxy;
    schedule(at, [this, &proxy, fault] {
        fleet_.history().add("link_fault",
                             {{"fault", static_cast<int>(fault)}, {"link", text_of(proxy.address())}});
        proxy.set_fault(fault);
    });
    schedule(at + duration, [&proxy] {
        proxy.set_fault(link_fault::none);
        proxy.reset_connections();
    });
}

/** @returns a server whose link is in trouble from a time on. */
soak_run::server_place& soak_run::disturbed_server(core::milliseconds at, core::milliseconds duration)
{
    auto& place = any_of(fleet_.servers());
    const auto& id = place.server->id(); // of its process; those that follow differ in the last number
    note_disturbance(id.substr(0, id.rfind('-')), at, duration);
    return place;
}

void soak_run::add_gateway_fault(core::milliseconds at, core::milliseconds duration)
{
    auto& gateway = *any_of(fleet_.gateways());
    if (fleet_.random().below(2) == 0)
        return schedule(at, [this, &gateway] { stop_gateway(gateway, SIGKILL); });
    note_disturbance(gateway.place().name, at, duration);
    schedule(at, [&gateway] { gateway.send(SIGSTOP); });
    schedule(at + duration, [&gateway] { gateway.send(SIGCONT); });
}

void soak_run::add_server_fault(core::milliseconds at, core::milliseconds duration)
{
    auto& place = any_of(fleet_.servers());
    if (fleet_.random().below(3) == 0) {
        schedule(at, [this, &place] {
            fleet_.history().add("server_crash", {{"server", place.server->id()}});
            place.server->crash();
        });
        return schedule(at + duration, [this, &place] {
            const auto former = place.server->id();
            schedule(entry_lifetime, [this, former] { fleet_.store().remove("servers", former); });
            place.server->restart();
            fleet_.write_server(place, false);
        });
    }
    const auto fault = static_cast<server_fault>(1 + fleet_.random().below(8));
    schedule(at, [this, &place, fault] {
        fleet_.history().add("server_fault",
                             {{"server", place.server->id()}, {"fault", static_cast<int>(fault)}});
        place.server->set_fault(fault);
    });
    schedule(at + duration, [&place] { place.server->set_fault(server_fault::none); });
}

/** Ends a process; it is started again after its end. */
void soak_run::stop_gateway(gateway_process& gateway, int signal)
{
    if (!gateway.running() || gateway.told_to_end())
        return;
    gateway.send(signal);
    if (signal != SIGTERM)
        return;
    const auto incarnation = gateway.incarnation();
    schedule(grace_period, [this, &gateway, incarnation] {
        if (!gateway.running() || gateway.incarnation() != incarnation)
            return;
        // With planned work only, nothing can have kept the process from ending in time.
        if (changes_.only_planned)
            result_.broken.push_back(gateway.place().name + " did not end within its grace period");
        gateway.send(SIGKILL);
    });
}

/** A server says that it leaves, serves on for a while, ends, and starts again with a new id. */
void soak_run::drain(server_place& place)
{
    const auto id = place.server->id();
    if (changes_.leaving_since.contains(id))
        return;
    fleet_.write_server(place, true);
    changes_.leaving_since[id] = fleet_.history().elapsed();
    fleet_.history().add("server_leaves", {{"server", id}});
    schedule(drain_time, [this, &place, id] { end_and_restart(place, id); });
}

/** Ends the process @p id of a server that leaves, if it is still running, and starts another one. */
void soak_run::end_and_restart(server_place& place, const std::string& id)
{
    if (place.server->id() != id)
        return;
    fleet_.store().remove("servers", id);
    place.server->crash();
    place.server->restart();
    fleet_.write_server(place, false);
}

asio::awaitable<void> soak_run::watch_processes()
{
    while (!finished_) {
        for (const auto& gateway : fleet_.gateways())
            result_.peak_memory_kb = std::max(result_.peak_memory_kb, gateway->peak_memory_kb());
        const auto unexpected_ends = fleet_.restart_ended_gateways();
        result_.broken.insert(result_.broken.end(), unexpected_ends.begin(), unexpected_ends.end());
        co_await fleet_.sleep(watch_interval);
    }
}

/** Waits for the end of the faults, and then until every caller is served again. */
asio::awaitable<void> soak_run::finish()
{
    asio::steady_timer pause(fleet_.io(), warm_up + options_.length + longest_fault);
    co_await pause.async_wait(net::as_result);
    const auto served = [this] {
        return std::all_of(fleet_.callers().begin(), fleet_.callers().end(), [](const auto& caller) {
            return caller->successes_in_a_row() >= successes_to_end;
        });
    };
    core::milliseconds waited{0};
    while (!served() && waited < longest_recovery) {
        pause.expires_after(watch_interval);
        co_await pause.async_wait(net::as_result);
        waited += watch_interval;
    }
    if (!served())
        result_.broken.emplace_back("callers are not served again after the last fault");
    if (result_.peak_memory_kb > largest_memory_kb)
        result_.broken.push_back("a process used " + std::to_string(result_.peak_memory_kb) + " kB");
    finished_ = true;
    fleet_.io().stop();
}

} // namespace knapweed::soak
