#include "growth_run.h"

#include "promise_checker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>

namespace knapweed::soak {

namespace asio = net::asio;

namespace {

/** The instances are ready and know each other after this time. */
constexpr core::milliseconds warm_up{3000};
constexpr core::milliseconds load_before{500};
constexpr core::milliseconds time_between{1000};
constexpr core::milliseconds time_between_in_storm{400};
constexpr core::milliseconds load_after{5500};
constexpr core::milliseconds longest_request{2500};
constexpr core::milliseconds trouble_after{100};
constexpr core::milliseconds freeze_time{1500};

/** A configuration is in force this long after its confirmation. */
constexpr core::milliseconds configuration_limit{2500};
/** Gateways that were in trouble themselves, or started, are judged from this time on. */
constexpr core::milliseconds contact_time{3000};

constexpr int number_of_gateways = 12;
constexpr std::size_t number_of_regions = 2;
constexpr int number_of_callers = 12;
constexpr int servers_per_service = 2;
constexpr unsigned routes_added = 1400;
constexpr std::size_t killed_gateways = 3;
/** Of all answers of the store together. */
constexpr std::size_t bytes_per_second = 1500000;
/** Each region may read a configuration once and a half: a reader may be replaced while it reads. */
constexpr double reads_per_region = 1.5;
/** The store encodes four bytes for three. */
constexpr std::size_t encoded_bytes(std::size_t bytes)
{
    return bytes * 4 / 3;
}

const std::vector<std::string> moved_services{"moved-1", "moved-2", "moved-3", "moved-4", "moved-5"};

} // namespace

growth_run::growth_run(const growth_options& options)
    : options_(options),
      fleet_({options.program, options.directory, options.previous_program,
              "growth-" + std::string(core::name_of(options.kind)) + "-" + std::to_string(options.seed),
              options.seed * core::number_of_values<growth_kind> + static_cast<std::uint64_t>(options.kind),
              number_of_gateways})
{}

growth_result growth_run::run()
{
    result_.history = fleet_.history_file();
    start();
    asio::co_spawn(fleet_.io(), watch_processes(), asio::detached);
    asio::co_spawn(fleet_.io(), play(), [this](const std::exception_ptr& error) {
        fleet_.io().stop();
        if (error)
            std::rethrow_exception(error);
    });
    fleet_.io().run();
    planned_changes changes;
    changes.services_in_order = moved_services;
    changes.only_planned = false;
    const auto promises = check_promises(fleet_.records(), changes);
    result_.broken.insert(result_.broken.end(), promises.begin(), promises.end());
    check_configurations();
    check_store_load();
    result_.summary = std::to_string(fleet_.records().size()) + " requests" + result_.summary;
    return result_;
}

void growth_run::start()
{
    for (const auto* service : {"read", "once"})
        fleet_.add_servers(service, servers_per_service);
    for (const auto& service : moved_services)
        fleet_.add_servers(service, servers_per_service);
    for (const auto& place : fleet_.servers())
        fleet_.write_server(place, false);
    fleet_.write_configuration(1, moved_services.front());
    fleet_.start_gateways();
}

/** Writes a configuration that moves a route to the next service. */
void growth_run::write_configuration(unsigned more_routes)
{
    const auto number = static_cast<unsigned>(configurations_.size()) + 1;
    const auto bytes = fleet_.write_configuration(3 * number, moved_services.at(number), more_routes);
    configurations_.push_back({fleet_.history().elapsed(), moved_services.at(number)});
    written_bytes_ += encoded_bytes(bytes);
}

void growth_run::trouble_gateways()
{
    auto& gateways = fleet_.gateways();
    switch (options_.kind) {
    case growth_kind::steady:
    case growth_kind::storm:
    case growth_kind::shrink:
        break;
    case growth_kind::restart:
        for (std::size_t i = 0; i < killed_gateways; ++i) {
            // Every third one, so that both regions lose some.
            auto& gateway = *gateways.at((fleet_.random().below(4) + 4 * i) % gateways.size());
            troubled_.push_back(gateway.place().name);
            gateway.send(SIGKILL);
        }
        break;
    case growth_kind::cut:
        troubled_.push_back(gateways.back()->place().name);
        fleet_.store_links().back()->set_fault(link_fault::silent);
        break;
    case growth_kind::freeze:
        troubled_.push_back(gateways.back()->place().name);
        gateways.back()->send(SIGSTOP);
        fleet_.schedule(freeze_time, [this] { fleet_.gateways().back()->send(SIGCONT); });
        calm_since_ = fleet_.history().elapsed() + freeze_time;
        break;
    }
    calm_since_ = std::max(calm_since_, fleet_.history().elapsed());
}

asio::awaitable<void> growth_run::play()
{
    co_await fleet_.sleep(warm_up);
    fleet_.start_callers(number_of_callers);
    co_await fleet_.sleep(load_before);
    fleet_.store().set_answer_rate(bytes_per_second);
    answered_bytes_before_ = fleet_.store().answered_bytes("op");
    write_configuration(routes_added);
    fleet_.schedule(trouble_after, [this] { trouble_gateways(); });
    if (options_.kind == growth_kind::storm) {
        for (unsigned i = 2; i < moved_services.size(); ++i) {
            co_await fleet_.sleep(time_between_in_storm);
            write_configuration(routes_added + 100 * i);
        }
    }
    else {
        co_await fleet_.sleep(time_between);
        write_configuration(options_.kind == growth_kind::shrink ? 0 : routes_added);
    }
    co_await fleet_.sleep(load_after);
    for (const auto& caller : fleet_.callers())
        caller->stop();
    co_await fleet_.sleep(longest_request);
    finished_ = true;
}

asio::awaitable<void> growth_run::watch_processes()
{
    constexpr core::milliseconds watch_interval{10};
    while (!finished_) {
        const auto unexpected_ends = fleet_.restart_ended_gateways();
        result_.broken.insert(result_.broken.end(), unexpected_ends.begin(), unexpected_ends.end());
        co_await fleet_.sleep(watch_interval);
    }
}

/** @returns whether the gateway of a request was in touch with the store for long enough. */
bool growth_run::is_judged(const request_record& record) const
{
    if (fleet_.concerns_previous_program(record))
        return false;
    const bool is_troubled = std::find(troubled_.begin(), troubled_.end(), record.gateway) != troubled_.end();
    if (!is_troubled)
        return true;
    return options_.kind != growth_kind::cut && record.sent >= calm_since_ + contact_time;
}

/** Confirmed configurations are in force in time and stay so. */
void growth_run::check_configurations()
{
    const auto position = [](const std::string& service) {
        return std::find(moved_services.begin(), moved_services.end(), service) - moved_services.begin();
    };
    std::size_t late = 0;
    std::size_t followed = 0;
    for (const auto& [id, record] : fleet_.records()) {
        if (record.route != "/moved/" || record.arrivals.empty() || !is_judged(record))
            continue;
        const auto reached = position(record.arrivals.front().service);
        for (const auto& configuration : configurations_) {
            if (record.sent <= configuration.at + configuration_limit)
                continue;
            ++(reached < position(configuration.service) ? late : followed);
        }
    }
    result_.summary += "; " + std::to_string(followed) + " followed the confirmed configuration, " +
                       std::to_string(late) + " an older one";
    if (late > 0 || followed == 0)
        result_.broken.push_back("CONFIG: " + std::to_string(late) +
                                 " requests followed an older configuration than the confirmed one");
}

/** What a change costs the store grows with the regions, not with the instances. */
void growth_run::check_store_load()
{
    const auto answered = fleet_.store().answered_bytes("op") - answered_bytes_before_;
    const auto reads = static_cast<double>(answered) / static_cast<double>(written_bytes_);
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "; each configuration was read %.1f times", reads);
    result_.summary += text.data();
    auto allowed = reads_per_region * number_of_regions;
    if (options_.kind == growth_kind::restart)
        allowed += killed_gateways; // a gateway that starts reads the table as a whole
    if (options_.previous_program.empty() && reads > allowed)
        result_.broken.push_back("the store sent what grows with the instances" + result_.summary);
}

} // namespace knapweed::soak
