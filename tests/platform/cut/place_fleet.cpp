#include "place_fleet.h"

#include "promise_checker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <unistd.h>

namespace knapweed::soak {

namespace asio = net::asio;

namespace {

constexpr core::milliseconds restart_pause{300};
constexpr core::milliseconds watch_interval{10};

} // namespace

fleet_options make_fleet_options(const std::string& test, const trouble_options& options, std::size_t regions)
{
    const auto kind = static_cast<std::uint64_t>(options.kind);
    fleet_options result;
    result.program = options.program;
    result.directory = options.directory;
    result.previous_program = options.previous_program;
    result.name = test + "-" + std::string(core::name_of(options.kind)) + "-" + std::to_string(options.seed);
    result.seed = options.seed * core::number_of_values<gateway_trouble> + kind;
    result.regions = regions;
    return result;
}

place_fleet::place_fleet(fleet_options options)
    : options_(std::move(options)), random_(options_.seed),
      ports_(static_cast<std::uint64_t>(::getpid()) ^ random_.next()),
      history_file_(options_.directory + "/" + options_.name + ".jsonl"), history_(history_file_, time_)
{
    for (const auto& service : cut_place::services()) {
        for (std::size_t i = 0; i < cut_place::number_of_places; ++i)
            servers_.push_back(std::make_unique<server_stand_in>(
                io_.get_executor(), service + "-" + cut_place::data_centre_name(i), service, records_,
                history_, random_.next()));
    }
    const auto ports_per_place = cut_place::number_of_ports(servers_.size());
    port_block_ = std::make_unique<port_block>(io_.get_executor(), ports_,
                                               ports_per_place * cut_place::number_of_places);
    for (std::size_t i = 0; i < cut_place::number_of_places; ++i) {
        const auto first_port = static_cast<std::uint16_t>(port_block_->first() + i * ports_per_place);
        places_.push_back(
            std::make_unique<cut_place>(io_.get_executor(), i, servers_, first_port, options_.regions));
        share_writes(*places_.back());
    }
}

/** Lets the other gateways find the rows that one gateway writes of itself. */
void place_fleet::share_writes(cut_place& from)
{
    from.store().on_write([this, &from](const std::string& table, const std::string& key,
                                        const std::optional<std::string>& value) {
        for (const auto& other : places_) {
            if (other.get() == &from || table != "instances")
                continue;
            if (value)
                other->store().put(table, key, *value);
            else
                other->store().remove(table, key);
        }
    });
}

std::vector<std::string> place_fleet::run(bool last_is_late,
                                          const std::function<asio::awaitable<void>()>& play)
{
    number_started_ = places_.size() - (last_is_late ? 1 : 0);
    for (std::size_t i = 0; i < number_started_; ++i)
        start_gateway(i);
    asio::co_spawn(io_, watch_processes(), asio::detached);
    asio::co_spawn(io_, play(), [this](const std::exception_ptr& error) {
        io_.stop();
        if (error)
            std::rethrow_exception(error);
    });
    io_.run();
    planned_changes changes;
    changes.services_in_order = {"moved"};
    changes.only_planned = false;
    const auto promises = check_promises(records_, changes);
    broken_.insert(broken_.end(), promises.begin(), promises.end());
    return broken_;
}

asio::awaitable<void> place_fleet::watch_processes()
{
    for (;;) {
        for (std::size_t i = 0; i < number_started_; ++i) {
            if (auto unexpected = places_[i]->gateway().check(); !unexpected.empty())
                broken_.push_back(std::move(unexpected));
        }
        co_await sleep(watch_interval);
    }
}

std::vector<gateway_process*> place_fleet::running_gateways() const
{
    std::vector<gateway_process*> running;
    for (std::size_t i = 0; i < number_started_; ++i) {
        if (places_[i]->gateway().running())
            running.push_back(&places_[i]->gateway());
    }
    return running;
}

bool place_fleet::concerns_previous_program(const request_record& record) const
{
    return std::any_of(places_.begin(), places_.end(), [&record](const auto& place) {
        return place->gateway().place().name == record.gateway &&
               place->gateway().runs_previous_program(record.incarnation);
    });
}

void place_fleet::trouble_last(gateway_trouble kind, core::milliseconds after, core::milliseconds duration)
{
    switch (kind) {
    case gateway_trouble::steady:
        break;
    case gateway_trouble::cut:
        cut_off_servers(after, duration);
        break;
    case gateway_trouble::restart:
        kill_and_restart(after);
        break;
    case gateway_trouble::freeze:
        suspend(after, duration);
        break;
    case gateway_trouble::late:
        start_late(after);
        break;
    }
}

std::string place_fleet::troubled_gateway() const
{
    return "gateway-" + cut_place::data_centre_name(places_.size() - 1);
}

void place_fleet::start_gateway(std::size_t number)
{
    const bool is_second = number % 2 == 1;
    places_[number]->start_gateway(options_.program, options_.directory, history_,
                                   is_second ? options_.previous_program : "");
}

void place_fleet::start_callers()
{
    for (std::size_t i = 0; i < number_started_; ++i)
        places_[i]->start_callers(records_, history_, random_);
}

void place_fleet::stop_callers()
{
    for (const auto& place : places_)
        place->stop_callers();
}

void place_fleet::schedule(core::milliseconds after, std::function<void()> action)
{
    timers_.push_back(std::make_unique<asio::steady_timer>(io_, after));
    timers_.back()->async_wait([action = std::move(action)](net::error_code error) {
        if (!error)
            action();
    });
}

asio::awaitable<void> place_fleet::sleep(core::milliseconds time)
{
    asio::steady_timer pause(io_, time);
    co_await pause.async_wait(net::as_result);
}

void place_fleet::server_ended(std::size_t number)
{
    for (const auto& place : places_)
        place->server_ended(number);
}

void place_fleet::write_entry(std::size_t number)
{
    for (const auto& place : places_)
        place->write_entry(number, *servers_[number]);
}

void place_fleet::remove_entry(std::size_t number)
{
    for (const auto& place : places_)
        place->store().remove("servers", servers_[number]->id());
}

void place_fleet::restart_server(std::size_t number)
{
    const auto old_id = servers_[number]->id();
    servers_[number]->restart();
    for (const auto& place : places_)
        place->server_started(number, *servers_[number], old_id);
}

void place_fleet::cut_off_servers(core::milliseconds after, core::milliseconds duration)
{
    schedule(after, [this] { last().cut(link_cut::hang); });
    schedule(after + duration, [this] { last().heal(); });
}

void place_fleet::kill_and_restart(core::milliseconds after)
{
    schedule(after, [this] { last().gateway().send(SIGKILL); });
    schedule(after + restart_pause, [this] { last().gateway().start(); });
}

void place_fleet::suspend(core::milliseconds after, core::milliseconds duration)
{
    schedule(after, [this] { last().gateway().send(SIGSTOP); });
    schedule(after + duration, [this] { last().gateway().send(SIGCONT); });
}

void place_fleet::start_late(core::milliseconds after)
{
    schedule(after, [this] {
        start_gateway(number_started_);
        ++number_started_;
        last().start_callers(records_, history_, random_);
    });
}

} // namespace knapweed::soak
