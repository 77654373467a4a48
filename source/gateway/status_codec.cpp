#include "gateway/status_codec.h"

#include "instance_status.pb.h"
#include "net/address.h"
#include "replication/transfer_message.h"

#include <algorithm>
#include <cmath>

namespace knapweed::gateway {

namespace {

using demand_map = std::map<core::service_id, double>;

template <typename Message>
void add_demand(Message& message, const demand_map& demand)
{
    for (const auto& [service, rate] : demand) {
        auto* entry = message.add_demand();
        entry->set_service(service.str());
        entry->set_requests_per_second(rate);
    }
}

template <typename Message>
demand_map read_demand(const Message& message)
{
    demand_map result;
    for (const auto& entry : message.demand()) {
        const double rate = entry.requests_per_second();
        if (std::isfinite(rate) && rate >= 0)
            result[core::service_id{entry.service()}] = rate;
    }
    return result;
}

void fill_message(wire::instance_status& message, const steering::instance_status& status)
{
    message.set_instance(status.instance.str());
    message.set_data_centre(status.location.data_centre.str());
    message.set_region(status.location.region.str());
    message.set_caller_address(status.caller_address);
    message.set_peer_address(status.peer_address);
    message.set_incarnation(status.incarnation.value);
    message.set_sequence(status.sequence);
    message.set_ready(status.ready);
    message.set_leaving(status.leaving);
    message.set_servers_cut(!status.reaches_servers);
    message.set_capacity(status.capacity);
    add_demand(message, status.demand);
    auto* store = message.mutable_store();
    store->set_reads(status.store.reads);
    store->set_reachable(status.store.reachable);
    store->set_era(status.store.era);
    store->set_shares_copies(status.store.shares_copies);
    for (const auto version : status.store.newest_change)
        store->add_newest_change(version);
    if (!status.region_sum)
        return;
    auto* sum = message.mutable_region_sum();
    sum->set_instances(static_cast<std::uint32_t>(status.region_sum->instances));
    add_demand(*sum, status.region_sum->demand);
}

/** @returns whether a status message names its instance, and an address that callers can be sent to if it
 * names one. */
bool is_usable(const wire::instance_status& message)
{
    return !message.instance().empty() &&
           (message.caller_address().empty() || net::parse_address(message.caller_address()));
}

steering::instance_status from_message(const wire::instance_status& message)
{
    steering::instance_status status;
    status.instance = core::instance_id{message.instance()};
    status.location = {core::data_centre_id{message.data_centre()}, core::region_id{message.region()}};
    status.caller_address = message.caller_address();
    status.peer_address = message.peer_address();
    status.incarnation = {message.incarnation()};
    status.sequence = message.sequence();
    status.ready = message.ready();
    status.leaving = message.leaving();
    status.reaches_servers = !message.servers_cut();
    if (std::isfinite(message.capacity()) && message.capacity() > 0)
        status.capacity = message.capacity();
    status.demand = read_demand(message);
    if (message.has_region_sum())
        status.region_sum = {message.region_sum().instances(), read_demand(message.region_sum())};
    status.store.reads = message.store().reads();
    status.store.reachable = message.store().reachable();
    status.store.era = message.store().era();
    status.store.shares_copies = message.store().shares_copies();
    const auto table_count =
        std::min<std::size_t>(message.store().newest_change_size(), status.store.newest_change.size());
    for (std::size_t i = 0; i < table_count; ++i)
        status.store.newest_change.at(i) = message.store().newest_change(static_cast<int>(i));
    return status;
}

steering::instance_load from_message(const wire::instance_load& message)
{
    steering::instance_load load;
    load.instance = core::instance_id{message.instance()};
    load.incarnation = {message.incarnation()};
    load.sequence = message.sequence();
    const int entry_count = std::min(message.server_size(), message.running_size());
    for (int i = 0; i < entry_count; ++i)
        load.servers.push_back({message.server(i), message.running(i)});
    load.region = core::region_id{message.region()};
    return load;
}

peer_message from_message(const wire::table_change& message)
{
    if (message.table() >= steering::number_of_replicated_tables)
        return {};
    steering::table_change change;
    change.table = static_cast<steering::replicated_table>(message.table());
    change.follows = message.follows();
    change.newest = message.newest();
    change.version = message.version();
    change.era = message.era();
    for (const auto& row : message.rows())
        change.rows.push_back({row.key(), row.value(), row.version(), row.removed()});
    return change;
}

std::uint32_t to_wire(core::milliseconds age)
{
    return static_cast<std::uint32_t>(std::max<core::milliseconds::rep>(age.count(), 0));
}

std::vector<steering::crash_report> from_message(const wire::crash_reports& message)
{
    std::vector<steering::crash_report> reports;
    for (const auto& received : message.reports()) {
        steering::crash_report report{
            core::fingerprint{received.request()}, {}, std::nullopt, received.suspected()};
        const int end_count =
            std::min({received.process_size(), received.began_age_ms_size(), received.ended_age_ms_size()});
        for (int i = 0; i < end_count; ++i)
            report.ends.push_back({received.process(i), core::milliseconds(received.began_age_ms(i)),
                                   core::milliseconds(received.ended_age_ms(i))});
        if (received.answered())
            report.answered_age = core::milliseconds(received.answered_age_ms());
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<steering::limit_report> from_message(const wire::limit_reports& message)
{
    std::vector<steering::limit_report> reports;
    for (const auto& received : message.reports()) {
        const double limit = received.requests_per_second();
        if (!std::isfinite(limit) || limit < 0)
            continue;
        reports.push_back({received.server(), received.process(),
                           received.in_force() ? std::optional(limit) : std::nullopt,
                           core::milliseconds(received.age_ms())});
    }
    return reports;
}

std::vector<steering::leaving_report> from_message(const wire::leaving_reports& message)
{
    std::vector<steering::leaving_report> reports;
    for (int i = 0; i < std::min(message.server_size(), message.process_size()); ++i)
        reports.push_back({message.server(i), message.process(i)});
    return reports;
}

peer_message from_message(const wire::account_loads& message)
{
    constexpr std::size_t max_accounts = 10000;
    if (message.instance().empty() || message.scope() >= steering::number_of_load_scopes)
        return {};
    steering::account_load_message result;
    result.instance = core::instance_id{message.instance()};
    result.incarnation = {message.incarnation()};
    result.sequence = message.sequence();
    result.scope = static_cast<steering::load_scope>(message.scope());
    result.region = core::region_id{message.region()};
    const auto count = std::min({message.account_size(), message.demand_size(), message.admitted_size()});
    for (int i = 0; i < count && result.loads.size() < max_accounts; ++i) {
        const double demand = message.demand(i);
        const double admitted = message.admitted(i);
        // A comparison with a number that is none is false, too.
        if (demand >= 0 && admitted >= 0 && std::isfinite(demand) && std::isfinite(admitted))
            result.loads.push_back({message.account(i), demand, admitted});
    }
    return result;
}

} // namespace

std::string encode_status(const steering::instance_status& status)
{
    wire::instance_status message;
    fill_message(message, status);
    return message.SerializeAsString();
}

std::optional<steering::instance_status> decode_status(std::string_view message)
{
    wire::instance_status parsed;
    if (!parsed.ParseFromArray(message.data(), static_cast<int>(message.size())) || !is_usable(parsed))
        return std::nullopt;
    return from_message(parsed);
}

std::string encode_datagram(const steering::instance_status& status)
{
    wire::peer_datagram datagram;
    fill_message(*datagram.mutable_status(), status);
    return datagram.SerializeAsString();
}

std::string encode_datagram(const steering::instance_load& load)
{
    wire::peer_datagram datagram;
    auto* message = datagram.mutable_load();
    message->set_instance(load.instance.str());
    message->set_incarnation(load.incarnation.value);
    message->set_sequence(load.sequence);
    message->set_region(load.region.str());
    for (const auto& entry : load.servers) {
        message->add_server(entry.server);
        message->add_running(entry.running);
    }
    return datagram.SerializeAsString();
}

std::string encode_datagram(const steering::table_change& change)
{
    wire::peer_datagram datagram;
    auto* message = datagram.mutable_change();
    message->set_table(static_cast<std::uint32_t>(change.table));
    message->set_follows(change.follows);
    message->set_newest(change.newest);
    message->set_version(change.version);
    message->set_era(change.era);
    for (const auto& row : change.rows) {
        auto* added_row = message->add_rows();
        added_row->set_key(row.key);
        added_row->set_value(row.value);
        added_row->set_version(row.version);
        added_row->set_removed(row.removed);
    }
    return datagram.SerializeAsString();
}

std::string encode_datagram(const replication::table_transfer& transfer)
{
    wire::peer_datagram datagram;
    replication::fill_message(*datagram.mutable_transfer(), transfer);
    return datagram.SerializeAsString();
}

std::string encode_datagram(const std::vector<steering::crash_report>& reports)
{
    wire::peer_datagram datagram;
    for (const auto& report : reports) {
        auto* message = datagram.mutable_crashes()->add_reports();
        message->set_request(report.request.value);
        message->set_suspected(report.suspected);
        for (const auto& end : report.ends) {
            message->add_process(end.process);
            message->add_began_age_ms(to_wire(end.began_age));
            message->add_ended_age_ms(to_wire(end.ended_age));
        }
        if (report.answered_age) {
            message->set_answered(true);
            message->set_answered_age_ms(to_wire(*report.answered_age));
        }
    }
    return datagram.SerializeAsString();
}

std::string encode_datagram(const std::vector<steering::limit_report>& reports)
{
    wire::peer_datagram datagram;
    for (const auto& report : reports) {
        auto* message = datagram.mutable_limits()->add_reports();
        message->set_server(report.server);
        message->set_process(report.process);
        message->set_in_force(report.per_second.has_value());
        message->set_requests_per_second(report.per_second.value_or(0));
        message->set_age_ms(to_wire(report.age));
    }
    return datagram.SerializeAsString();
}

std::string encode_datagram(const std::vector<steering::leaving_report>& reports)
{
    wire::peer_datagram datagram;
    auto* message = datagram.mutable_leaving();
    for (const auto& report : reports) {
        message->add_server(report.server);
        message->add_process(report.process);
    }
    return datagram.SerializeAsString();
}

std::string encode_datagram(const steering::account_load_message& loads)
{
    wire::peer_datagram datagram;
    auto* message = datagram.mutable_accounts();
    message->set_instance(loads.instance.str());
    message->set_incarnation(loads.incarnation.value);
    message->set_sequence(loads.sequence);
    message->set_scope(static_cast<std::uint32_t>(loads.scope));
    message->set_region(loads.region.str());
    for (const auto& load : loads.loads) {
        message->add_account(load.account);
        message->add_demand(static_cast<float>(load.demand));
        message->add_admitted(static_cast<float>(load.admitted));
    }
    return datagram.SerializeAsString();
}

peer_message decode_datagram(std::string_view datagram)
{
    wire::peer_datagram parsed;
    if (!parsed.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
        return {};
    if (parsed.has_status() && is_usable(parsed.status()))
        return from_message(parsed.status());
    if (parsed.has_load() && !parsed.load().instance().empty())
        return from_message(parsed.load());
    if (parsed.has_change())
        return from_message(parsed.change());
    if (parsed.has_crashes())
        return from_message(parsed.crashes());
    if (parsed.has_limits())
        return from_message(parsed.limits());
    if (parsed.has_leaving())
        return from_message(parsed.leaving());
    if (parsed.has_accounts())
        return from_message(parsed.accounts());
    if (parsed.has_transfer()) {
        auto transfer = replication::from_message(parsed.transfer());
        return transfer ? peer_message(std::move(*transfer)) : peer_message();
    }
    return {};
}

} // namespace knapweed::gateway
