#include "matrix/faults.h"

#include <utility>

namespace knapweed::matrix {

namespace {

using fault_action = std::function<void(simulated_cluster&, const fault_roles&)>;

constexpr core::milliseconds flood_interval{5};

void no_action(simulated_cluster& /*cluster*/, const fault_roles& /*roles*/) {}

fault process_death(const std::string& name, int fault_roles::*role, core::milliseconds until_restart)
{
    const auto node_of = [role](const fault_roles& roles) { return roles.*role; };
    return {name,
            [node_of](simulated_cluster& cluster, const fault_roles& roles) { cluster.kill(node_of(roles)); },
            [node_of](simulated_cluster& cluster, const fault_roles& roles) {
                if (!cluster.is_up(node_of(roles)))
                    cluster.start(node_of(roles));
            },
            until_restart};
}

fault store_fault(const std::string& name, fake_store::fault kind)
{
    return {name,
            [kind, name](simulated_cluster& cluster, const fault_roles& roles) {
                cluster.store.set_fault(kind);
                // Publishes a change during the fault, so that a slow or lost answer affects a transaction.
                if (cluster.is_up(roles.owner))
                    publish_change(cluster, roles.owner, name);
            },
            [](simulated_cluster& cluster, const fault_roles&) {
                cluster.store.set_fault(fake_store::fault::none);
            }};
}

fault partition(const std::string& name, std::function<bool(int, int, const fault_roles&)> separates)
{
    return {name,
            [separates = std::move(separates)](simulated_cluster& cluster, const fault_roles& roles) {
                for (int a = 0; a < node_count; ++a) {
                    for (int b = a + 1; b < node_count; ++b) {
                        if (separates(a, b, roles))
                            cluster.set_link_cut(a, b, true);
                    }
                }
            },
            [](simulated_cluster& cluster, const fault_roles&) { cluster.clear_network_faults(); }};
}

fault flood(const std::string& name, core::rank rank)
{
    return {name,
            [rank](simulated_cluster& cluster, const fault_roles& roles) {
                for (int i = 0; i < 300; ++i)
                    cluster.events.after(i * flood_interval,
                                         [send = roles.send, rank] { send(rank, false); });
            },
            no_action, core::milliseconds{2500}};
}

fault region_fault()
{
    return {"region_fails",
            [](simulated_cluster& cluster, const fault_roles& roles) {
                const int first_node = roles.owner / 2 * 2;
                cluster.kill(first_node);
                cluster.kill(first_node + 1);
                for (auto& [address, server] : cluster.servers) {
                    if (server->name()[2] == (first_node == 0 ? 'a' : 'b'))
                        server->crash();
                }
            },
            [](simulated_cluster& cluster, const fault_roles& roles) {
                const int first_node = roles.owner / 2 * 2;
                for (int node = first_node; node < first_node + 2; ++node) {
                    if (!cluster.is_up(node))
                        cluster.start(node);
                }
                for (auto& [address, server] : cluster.servers)
                    server->restart();
            }};
}

void publish_concurrently(simulated_cluster& cluster, const fault_roles& roles)
{
    if (!cluster.is_up(roles.owner))
        return;
    auto committed = std::make_shared<int>(0);
    const auto base_version = cluster.node(roles.owner).configuration().version();
    for (const int node : {roles.owner, roles.witness}) {
        if (!cluster.is_up(node) || cluster.node(node).configuration().version() == 0)
            continue;
        auto candidate = cluster.node(node).configuration().current();
        candidate.mutable_services(0)->set_max_run_ms(static_cast<std::uint32_t>(1001 + node));
        cluster.node(node).configuration().publish(
            candidate, base_version, {"race" + std::to_string(node), "operator", "race"},
            [&cluster, committed](const state::publish_result& result) {
                *committed += result.status == state::publish_status::committed ? 1 : 0;
                if (*committed > 1)
                    cluster.promises.report_violation(
                        "config_in_force", "two changes based on the same version were both committed");
            });
    }
}

} // namespace

void publish_change(simulated_cluster& cluster, int node, const std::string& operation,
                    const std::function<void(wire::configuration&)>& change)
{
    auto& store = cluster.node(node).configuration();
    if (store.version() == 0)
        return;
    auto candidate = store.current();
    candidate.mutable_services(0)->set_max_run_ms(candidate.services(0).max_run_ms() + 1);
    if (change)
        change(candidate);
    store.publish(candidate, store.version(), {operation, "operator", "change"},
                  [&cluster, operation](const state::publish_result& result) {
                      cluster.promises.trace("publication " + operation + ": " +
                                             std::string{core::name_of(result.status)} + " " + result.detail);
                  });
}

const std::vector<fault>& all_faults()
{
    using namespace std::chrono_literals;
    static const auto server_fault = [](const std::string& name, void (*begin)(fake_server&),
                                        void (*end)(fake_server&)) {
        return fault{name, [begin](simulated_cluster&, const fault_roles& roles) { begin(*roles.server); },
                     [end](simulated_cluster&, const fault_roles& roles) { end(*roles.server); }};
    };
    static const std::vector<fault> faults{
        {"measurements_stop",
         [](simulated_cluster& cluster, const fault_roles&) { cluster.set_probes_answered(false); },
         [](simulated_cluster& cluster, const fault_roles&) { cluster.clear_network_faults(); }},
        {"probes_lie",
         [](simulated_cluster& cluster, const fault_roles&) {
             for (auto& [address, server] : cluster.servers)
                 server->set_misreporting(true);
         },
         [](simulated_cluster& cluster, const fault_roles&) {
             for (auto& [address, server] : cluster.servers)
                 server->set_misreporting(false);
         }},
        process_death("owner_dies", &fault_roles::owner, 4000ms),
        process_death("witness_dies", &fault_roles::witness, 4000ms),
        process_death("pool_owner_dies", &fault_roles::pool_owner, 4000ms),
        process_death("owner_restarts", &fault_roles::owner, 50ms),
        process_death("witness_restarts", &fault_roles::witness, 50ms),
        process_death("pool_owner_restarts", &fault_roles::pool_owner, 50ms),
        region_fault(),
        flood("bulk_flood", core::rank::bulk),
        flood("urgent_flood", core::rank::urgent),
        store_fault("store_down", fake_store::fault::down),
        store_fault("store_slow", fake_store::fault::slow),
        store_fault("store_answer_lost", fake_store::fault::answer_lost),
        store_fault("stale_read", fake_store::fault::stale_read),
        {"owner_paused",
         [](simulated_cluster& cluster, const fault_roles& roles) { cluster.pause(roles.owner); },
         [](simulated_cluster& cluster, const fault_roles& roles) { cluster.resume(roles.owner); }, 5000ms},
        {"pool_owner_paused",
         [](simulated_cluster& cluster, const fault_roles& roles) { cluster.pause(roles.pool_owner); },
         [](simulated_cluster& cluster, const fault_roles& roles) { cluster.resume(roles.pool_owner); },
         5000ms},
        {"racing_operators", publish_concurrently, no_action, 1000ms},
        {"crashing_request",
         [](simulated_cluster& cluster, const fault_roles& roles) {
             for (int i = 0; i < 8; ++i)
                 cluster.events.after(i * 400ms, [send = roles.send] { send(core::rank::standard, true); });
         },
         no_action, 5500ms},
        partition("data_centres_cut", [](int a, int b, const fault_roles&) { return a / 2 == b / 2; }),
        partition("regions_cut", [](int a, int b, const fault_roles&) { return a / 2 != b / 2; }),
        partition("owner_cut",
                  [](int a, int b, const fault_roles& r) { return a == r.owner || b == r.owner; }),
        server_fault(
            "server_dies", [](fake_server& s) { s.crash(); }, [](fake_server& s) { s.restart(); }),
        server_fault(
            "server_hangs", [](fake_server& s) { s.set_hanging(true); },
            [](fake_server& s) { s.set_hanging(false); }),
        server_fault(
            "server_leaves", [](fake_server& s) { s.set_leaving(true); },
            [](fake_server& s) { s.set_leaving(false); }),
        server_fault(
            "server_sheds", [](fake_server& s) { s.set_shedding(true); },
            [](fake_server& s) { s.set_shedding(false); }),
        {"message_lost", [](simulated_cluster& cluster, const fault_roles&) { cluster.drop_messages(3); },
         [](simulated_cluster& cluster, const fault_roles&) { cluster.clear_network_faults(); }, 1000ms},
        {"message_duplicated",
         [](simulated_cluster& cluster, const fault_roles&) { cluster.duplicate_messages(true); },
         [](simulated_cluster& cluster, const fault_roles&) { cluster.clear_network_faults(); }, 1000ms},
    };
    return faults;
}

} // namespace knapweed::matrix
