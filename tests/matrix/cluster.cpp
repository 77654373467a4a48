#include "matrix/cluster.h"

#include "state/configuration_json.h"
#include "state/configuration_rows.h"

#include <cmath>

namespace knapweed::matrix {

namespace {

constexpr core::milliseconds tick_interval{10};
constexpr core::milliseconds instance_list_lag{1000};
constexpr core::milliseconds exchange_grace{2000}; ///< an exchange has ended by this time after its deadline
constexpr std::array<const char*, node_count> data_centres{"a1", "a2", "b1", "b2"};
constexpr std::array<const char*, node_count> regions{"ra", "ra", "rb", "rb"};

} // namespace

simulated_cluster::simulated_cluster(const cluster_options& options, bool verbose)
    : promises(events.clock(), verbose), store(events), options_(options)
{
    configure(options.variant, options.seed);
    for (int node = 0; node < node_count; ++node)
        start(node);
}

const std::array<std::string, node_count>& simulated_cluster::names()
{
    static const std::array<std::string, node_count> all{"ea1", "ea2", "eb1", "eb2"};
    return all;
}

core::milliseconds simulated_cluster::latency(int a, int b)
{
    if (a == b)
        return core::milliseconds{0};
    return core::milliseconds{a / 2 == b / 2 ? 2 : 30};
}

void simulated_cluster::configure(int variant, std::uint64_t /*seed*/)
{
    configuration_.set_version(1);
    auto& service = *configuration_.add_services();
    service.set_name("orders");
    service.set_max_run_ms(1000);
    service.set_shift_cap_permille(200);
    service.set_shift_window_ms(10000);
    for (int node = 0; node < node_count; ++node) {
        auto& centre = *configuration_.add_data_centres();
        centre.set_name(data_centres.at(index(node)));
        centre.set_region(regions.at(index(node)));
        if (node < variant)
            continue;
        for (int number = 0; number < 2; ++number) {
            auto& server = *service.add_backend_servers();
            server.set_name("s" + std::to_string(number) + data_centres.at(index(node)));
            server.set_data_centre(data_centres.at(index(node)));
            server.set_address("127.0.0.1:" + std::to_string(9000 + 2 * node + number));
            server.set_slots(2);
            server.set_connections(360);
            servers[server.address()] =
                std::make_unique<fake_server>(events, promises, server.name(), server.slots());
            servers[server.address()]->set_count_runs_twice(options_.count_runs_twice);
            servers[server.address()]->on_started = [this](const attempt_tag& tag) {
                report_step(request_step::running, tag, -1);
            };
            servers[server.address()]->on_ended = [this](const attempt_tag& tag) {
                report_step(request_step::answered, tag, -1);
            };
        }
    }
    auto& link = *configuration_.add_links();
    link.set_region_a("ra");
    link.set_region_b("rb");
    link.set_bytes_per_second(35'000'000);
    store.put(state::configuration_table, state::current_key, state::to_json(configuration_));
}

void simulated_cluster::start(int node)
{
    auto& target = state_of(node);
    target = {};
    target.process_number = next_id_++;
    decision::node_options options;
    options.instance = core::instance_id{names().at(index(node))};
    options.incarnation = {static_cast<std::uint64_t>(events.now().time_since_epoch().count()) / 1000 +
                           target.process_number};
    options.data_centre = core::data_centre_id{data_centres.at(index(node))};
    options.region = core::region_id{regions.at(index(node))};
    options.address = "127.0.0.1:" + std::to_string(7000 + node);
    for (int peer = 0; peer < node_count; ++peer) {
        if (peer != node)
            options.seed_addresses.push_back("127.0.0.1:" + std::to_string(7000 + peer));
    }
    target.process = std::make_unique<decision::entry_node>(options, events.clock(),
                                                            options_.seed * 100 + target.process_number);
    promises.trace(names().at(index(node)) + " starts");
    update_instance_list();
    tick({node, target.process_number});
}

void simulated_cluster::update_instance_list()
{
    std::vector<state::listed_instance> list;
    for (int node = 0; node < node_count; ++node) {
        if (!is_up(node))
            continue;
        list.push_back({core::instance_id{names().at(index(node))},
                        "127.0.0.1:" + std::to_string(7000 + node),
                        core::data_centre_id{data_centres.at(index(node))},
                        core::region_id{regions.at(index(node))}, state_of(node).process->leaving()});
    }
    events.after(instance_list_lag, [this, list] { store.set_instances(list); });
}

void simulated_cluster::kill(int node)
{
    if (!is_up(node))
        return;
    promises.trace(names().at(index(node)) + " is killed");
    const auto killed = std::move(state_of(node));
    state_of(node) = {};
    update_instance_list();
    for (const auto& [id, exchange] : killed.open_exchanges) {
        if (exchange.reply && !exchange.closed)
            events.after(core::milliseconds{1}, [hook = exchange.reply] { hook({}); });
    }
    for (const auto& [id, dispatch] : killed.dispatches) {
        if (dispatch.peer < 0 || dispatch.peer_exchange == 0)
            continue;
        events.after(core::milliseconds{1},
                     [this, to = dispatch.peer, exchange = dispatch.peer_exchange] { close(to, exchange); });
    }
}

void simulated_cluster::pause(int node)
{
    promises.trace(names().at(index(node)) + " is paused");
    state_of(node).paused = true;
}

void simulated_cluster::resume(int node)
{
    if (!is_up(node) || !state_of(node).paused)
        return;
    promises.trace(names().at(index(node)) + " resumes");
    state_of(node).paused = false;
    const auto process_number = state_of(node).process_number;
    for (const auto& action : std::exchange(state_of(node).inbox, {}))
        in_process({node, process_number}, action);
}

void simulated_cluster::stop(int node)
{
    promises.trace(names().at(index(node)) + " receives a stop request");
    in_process({node, state_of(node).process_number}, [this, node] {
        handle(node, decision::stop_requested{});
        update_instance_list();
    });
}

int simulated_cluster::find(const std::string& instance) const
{
    for (int node = 0; node < node_count; ++node) {
        if (names().at(index(node)) == instance)
            return node;
    }
    return -1;
}

int simulated_cluster::owner_of_pool(const std::string& data_centre) const
{
    for (int node = 0; node < node_count; ++node) {
        if (!is_up(node))
            continue;
        const auto& pools = nodes_.at(index(node)).process->pools().pools();
        const auto found = pools.find({core::service_id{"orders"}, core::data_centre_id{data_centre}});
        if (found != pools.end() && found->second->owned())
            return node;
    }
    return -1;
}

void simulated_cluster::set_link_cut(int a, int b, bool is_cut)
{
    const std::pair pair{std::min(a, b), std::max(a, b)};
    if (is_cut)
        cut_links_.insert(pair);
    else
        cut_links_.erase(pair);
}

void simulated_cluster::clear_network_faults()
{
    cut_links_.clear();
    messages_to_drop_ = 0;
    duplicates_messages_ = false;
    probes_answered_ = true;
}

void simulated_cluster::in_process(process_key process, const std::function<void()>& action)
{
    auto& target = state_of(process.first);
    if (target.process == nullptr || target.process_number != process.second)
        return;
    if (target.paused)
        target.inbox.emplace_back([this, process, action] { in_process(process, action); });
    else
        action();
}

void simulated_cluster::handle(int node, const decision::event& input)
{
    decision::action_list actions;
    state_of(node).process->handle(input, actions);
    perform(node, actions);
}

void simulated_cluster::tick(process_key process)
{
    auto& target = state_of(process.first);
    if (target.process == nullptr || target.process_number != process.second)
        return;
    events.after(tick_interval, [this, process] { tick(process); });
    if (target.paused)
        return;
    decision::action_list actions;
    target.process->tick(actions);
    perform(process.first, actions);
    if (is_up(process.first))
        check_node(process.first);
}

void simulated_cluster::check_node(int node)
{
    auto& target = state_of(node);
    const auto version = target.process->configuration().version();
    if (version < target.version)
        promises.report_violation("config_in_force",
                                  names().at(index(node)) + " went back to an older version");
    target.version = version;
    const auto* limiter = target.process->routes().weights(core::service_id{"orders"});
    if (limiter == nullptr || limiter->weights().empty())
        return;
    constexpr core::milliseconds sample_interval{100};
    constexpr core::milliseconds window{10000};
    constexpr double cap = 0.2 + 1e-6; // `shift_cap_permille`, with room for rounding
    auto& samples = target.weights["orders"];
    if (!samples.empty() && events.now() - samples.back().first < sample_interval)
        return;
    while (!samples.empty() && events.now() - samples.front().first >= window)
        samples.pop_front();
    const auto& current = limiter->weights();
    if (samples.empty() || samples.back().second != current) {
        for (const auto& [time, earlier] : samples) {
            double moved = 0;
            for (const auto* centre : data_centres) {
                const core::data_centre_id name{centre};
                moved += std::abs((current.contains(name) ? current.at(name) : 0) -
                                  (earlier.contains(name) ? earlier.at(name) : 0));
            }
            if (moved / 2 > cap)
                promises.report_violation("shift_within_cap",
                                          names().at(index(node)) + " moved " + std::to_string(moved / 2));
        }
    }
    samples.emplace_back(events.now(), current);
}

void simulated_cluster::report_step(request_step step, const attempt_tag& tag, int node)
{
    if (on_step)
        on_step(step, tag, node);
}

void simulated_cluster::check_open_exchanges()
{
    for (int node = 0; node < node_count; ++node) {
        if (!is_up(node))
            continue;
        for (const auto& [id, exchange] : state_of(node).open_exchanges) {
            if (!state_of(node).paused && events.now() > exchange.deadline + exchange_grace)
                promises.report_violation("whole_own_answer", names().at(index(node)) +
                                                                  " never ended an exchange of operation " +
                                                                  std::to_string(exchange.tag.operation));
        }
    }
}

void simulated_cluster::check_versions()
{
    std::uint64_t highest = 0;
    for (int node = 0; node < node_count; ++node)
        highest = std::max(highest, is_up(node) ? state_of(node).process->configuration().version() : 0);
    for (int node = 0; node < node_count; ++node) {
        if (is_up(node) && state_of(node).process->configuration().version() != highest)
            promises.report_violation("config_in_force",
                                      names().at(index(node)) + " has version " +
                                          std::to_string(state_of(node).process->configuration().version()) +
                                          " and not " + std::to_string(highest));
    }
}

} // namespace knapweed::matrix
