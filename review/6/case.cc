// A machine starts while servers of a large fleet drain.
#include "../stand_ins_2.hh"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

constexpr double drain_ms = 2500;
constexpr double contact_ms = 4000;
constexpr milliseconds linger{
    9000}; // servers serve for drainMs after the ack and "a little longer (at times many seconds)"
constexpr int clients_per_machine = 60;

struct fleet_part {
    std::string service;
    int servers;
    double draining_share;
};

struct departure {
    double acked_ms = 0;
    bool reported = true; // as `draining`; otherwise the entry was removed
};

struct answers {
    int asked = 0;
    int served = 0;
    int lost = 0; // not served, and no promise that it has not run
};

awaitable<void> ask_all_the_time(asio::io_context& io, record& log, const gateway_process& machine, bool safe,
                                 const bool& stop, answers& counts,
                                 std::map<std::string, const gateway_process*>& asked_at)
{
    std::unique_ptr<client> connection;
    while (!stop) {
        if (!connection || !connection->is_open()) {
            connection = std::make_unique<client>(io, machine.callers());
            if (!co_await connection->connect()) {
                co_await pause(milliseconds(100));
                continue;
            }
        }
        question asked;
        asked.host = "calls.example";
        asked.method = safe ? "GET" : "POST";
        asked.path = safe ? "/records/a" : "/quotes/a";
        asked.body = safe ? "" : "an approval";
        asked.deadline_ms = 1500;
        asked_at[asked.id] = &machine;
        const auto got = co_await connection->ask(asked, log);
        ++counts.asked;
        if (got.whole && got.status == 200)
            ++counts.served;
        else if (got.status != 503 && got.status != 429)
            ++counts.lost;
        co_await pause(milliseconds(20));
    }
}

const std::vector<std::pair<std::string, std::string>> zones{{"kl-a", "semenanjung"}, {"pg-b", "semenanjung"},
                                                             {"kch-a", "sarawak"},    {"mri-b", "sarawak"},
                                                             {"bki-a", "sabah"},      {"sdk-b", "sabah"}};

// Those of large/kwr-glb-large.toml; the routes here use the first two.
const std::vector<fleet_part> parts{{"panel-records", 453, 0.15},
                                    {"quote-desk", 183, 0.15},
                                    {"cartoon-vault", 36, 0},
                                    {"came-stores", 45, 0}};

json configuration()
{
    std::vector<std::string> services;
    for (const auto& part : parts)
        services.push_back(part.service);
    return make_configuration(
        "00000007",
        {{"records", "calls.example", "/records/", "safe", "panel-records", 1500, 600, 2, 1},
         {"quotes", "calls.example", "/quotes/", "unsafe", "quote-desk", 1500, 600, 2, 0}},
        services);
}

gateway_place place(const std::string& name, const std::string& ip, const std::string& zone,
                    const std::string& region, const std::string& metadata)
{
    gateway_place result;
    result.name = name;
    result.ip = ip;
    result.zone = zone;
    result.region = region;
    result.store = metadata;
    result.zones = zones;
    return result;
}

std::vector<gateway_process*> both(gateway_process& first, gateway_process& second)
{
    return {&first, &second};
}

std::vector<std::string> addresses_of(const std::vector<gateway_process*>& machines)
{
    std::vector<std::string> ips;
    for (const auto* machine : machines)
        ips.push_back(machine->place().ip);
    return ips;
}

awaitable<int> run(asio::io_context& io, record& log, const std::string& folder)
{
    const addresses net;
    store metadata(io, log);
    // The store stands in semenanjung: 55 ms one way to a machine in another region.
    const auto near_store = metadata.listen_at(net.machine(0), milliseconds(0));
    const auto far_store = metadata.listen_at(net.machine(3), milliseconds(55));
    std::vector<arrival> arrivals;
    std::vector<std::unique_ptr<server>> servers;
    std::vector<server*> leaving;
    for (const auto& part : parts) {
        for (int i = 0; i < part.servers; ++i) {
            server_settings settings;
            settings.service = part.service;
            settings.zone = zones.at(servers.size() % zones.size()).first;
            servers.push_back(std::make_unique<server>(io, metadata, log, arrivals,
                                                       net.machine(10 + static_cast<int>(servers.size())),
                                                       "i-" + random_hex(8), settings));
            servers.back()->enter("ready");
            if (i < part.servers * part.draining_share)
                leaving.push_back(servers.back().get());
        }
    }
    metadata.put("op", "config", configuration());
    gateway_process near_machine(place("front-kl-a-1", net.machine(1), "kl-a", "semenanjung", near_store),
                                 folder, log);
    gateway_process far_machine(place("front-kch-a-1", net.machine(2), "kch-a", "sarawak", far_store), folder,
                                log);
    const std::vector<gateway_process*> machines = both(near_machine, far_machine);
    if (!near_machine.start() || !far_machine.start() ||
        !co_await wait_ready(io, addresses_of(machines), milliseconds(10000)))
        co_return could_not_run;

    bool stop = false;
    std::map<std::string, answers> counts;
    std::map<std::string, const gateway_process*> asked_at;
    for (int i = 0; i < clients_per_machine; ++i) {
        for (auto* machine : machines)
            asio::co_spawn(io,
                           ask_all_the_time(io, log, *machine, i % 2 == 0, stop,
                                            counts[machine->place().name], asked_at),
                           asio::detached);
    }
    co_await pause(milliseconds(5000));

    // The disruption: a machine's process is killed and started again after a short delay, as planned work
    // goes on.
    if (with_trouble()) {
        far_machine.signal(SIGKILL);
        co_await pause(milliseconds(700));
        far_machine.ended();
        if (!far_machine.start())
            co_return could_not_run;
    }
    std::map<std::string, departure> departures;
    // "Some servers never report `draining`: their entry is removed, and they continue serving for the same
    // time."
    int number = 0;
    for (auto* server : leaving) {
        const bool reports = ++number % 3 != 0;
        departures[server->id()] =
            departure{reports ? server->enter("draining") : server->leave_table(), reports};
        co_await pause(milliseconds(8));
    }
    log.say("%zu servers drain, the last one since now", leaving.size());
    co_await pause(linger);
    for (auto* server : leaving) {
        if (departures[server->id()].reported)
            server->leave_table();
        server->end();
        co_await pause(milliseconds(8));
    }
    co_await pause(milliseconds(1500));
    stop = true;
    co_await pause(milliseconds(1600));

    std::map<std::string, int> late;
    std::set<std::string> stale;
    int shown = 0;
    for (const auto& got : arrivals) {
        const auto found = departures.find(got.server);
        if (found == departures.end())
            continue;
        const auto& machine = *asked_at.at(got.id);
        const bool in_touch = got.at_ms > machine.started_ms() + contact_ms;
        if (!in_touch || got.at_ms <= found->second.acked_ms + drain_ms)
            continue;
        ++late[machine.place().name];
        stale.insert(got.server);
        if (++shown <= 10)
            log.say("request %s from %s reaches server %s %.0f ms after the ack of its %s", got.id.c_str(),
                    machine.place().name.c_str(), got.server.c_str(), got.at_ms - found->second.acked_ms,
                    found->second.reported ? "`draining`" : "removal");
    }
    for (const auto& [name, count] : counts)
        log.say("machine %s: %d requests, %d served, %d ended without a promise; %d reached draining servers "
                "later than drainMs after the ack",
                name.c_str(), count.asked, count.served, count.lost, late[name]);
    std::size_t lost_runs = 0;
    for (const auto* server : leaving)
        lost_runs += server->lost_runs();
    log.say(
        "%zu of %zu draining servers got late requests; %zu requests were running when their server ended",
        stale.size(), leaving.size(), lost_runs);
    co_return late.empty() || shown == 0 ? held : broken;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = argc > 1 ? argv[1] : "review/6";
    const std::string scratch = argc > 2 ? argv[2] : folder;
    return play([&](asio::io_context& io, record& log) { return run(io, log, scratch); }, folder,
                milliseconds(110000));
}
