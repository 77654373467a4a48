// The machines of two regions lose their path to the platform's store while servers leave that report
// nothing.
#include "../stand_ins_2.hh"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

constexpr double drain_ms = 2500;
constexpr int linger_ms =
    9000; // servers serve for drainMs after the ack "and a little longer (at times many seconds)"
constexpr double contact_ms = 3000;
constexpr int clients_per_machine = 12;

const std::vector<std::pair<std::string, std::string>> zones{
    {"kitami-a", "dotou"}, {"sapporo-a", "doou"}, {"asahikawa-a", "dohoku"},
    {"kitami-b", "dotou"}, {"sapporo-b", "doou"}, {"asahikawa-b", "dohoku"}};

// One machine in each zone.
const std::vector<std::string> machine_zones{"kitami-a",  "kitami-b",    "sapporo-a",
                                             "sapporo-b", "asahikawa-a", "asahikawa-b"};

std::string region_of(const std::string& zone)
{
    return std::find_if(zones.begin(), zones.end(), [&](const auto& entry) { return entry.first == zone; })
        ->second;
}

json configuration()
{
    return make_configuration(
        "00000007",
        {{"deposits", "calls.example", "/deposits/", "unsafe", "deposit-desk", 1200, 600, 2, 1},
         {"listings", "calls.example", "/stock/", "safe", "ledger-stock", 1200, 600, 2, 1}},
        {"ledger-stock", "deposit-desk"});
}

struct machine {
    std::unique_ptr<gateway_process> process;
    std::string store;
    std::string region;
    double cut_ms = -1;
    double healed_ms = -1;
    int asked = 0;
    int served = 0;
    int late = 0; // requests that reached a server that had left, later than drainMs after the ack
};

awaitable<void> ask_all_the_time(asio::io_context& io, record& log, machine& at, const bool& stop,
                                 std::map<std::string, std::pair<machine*, double>>& asked)
{
    std::unique_ptr<client> connection;
    while (!stop) {
        if (!connection || !connection->is_open()) {
            connection = std::make_unique<client>(io, at.process->callers());
            if (!co_await connection->connect()) {
                co_await pause(milliseconds(100));
                continue;
            }
        }
        question next;
        next.host = "calls.example";
        next.path = at.asked % 2 == 0 ? "/deposits/a" : "/stock/a";
        next.method = at.asked % 2 == 0 ? "POST" : "GET";
        next.body = at.asked % 2 == 0 ? "a deposit" : "";
        asked[next.id] = std::make_pair(&at, log.now_ms());
        const auto got = co_await connection->ask(next, log);
        ++at.asked;
        if (got.whole && got.status == 200)
            ++at.served;
        co_await pause(milliseconds(100));
    }
}

gateway_place place(int number, const std::string& ip, const std::string& metadata)
{
    gateway_place result;
    result.zone = machine_zones.at(static_cast<std::size_t>(number));
    result.name = "front-" + result.zone + "-" + std::to_string(number + 1);
    result.ip = ip;
    result.region = region_of(result.zone);
    result.store = metadata;
    result.zones = zones;
    return result;
}

void cut(store& metadata, record& log, machine& of)
{
    metadata.cut(of.store);
    of.cut_ms = log.now_ms();
}

void heal(store& metadata, record& log, machine& of)
{
    metadata.heal(of.store);
    of.healed_ms = log.now_ms();
}

awaitable<int> run(asio::io_context& io, record& log, const std::string& folder)
{
    const addresses net;
    store metadata(io, log);
    std::vector<arrival> arrivals;
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 0; i < 16; ++i) {
        server_settings settings;
        settings.service = i < 4 ? "deposit-desk" : "ledger-stock";
        settings.zone = zones.at(static_cast<std::size_t>(i) % zones.size()).first;
        settings.slots = 4;
        servers.push_back(std::make_unique<server>(io, metadata, log, arrivals, net.machine(20 + i),
                                                   "i-" + random_hex(8), settings));
        servers.back()->enter("ready");
    }
    metadata.put("op", "config", configuration());
    std::vector<machine> machines(machine_zones.size());
    std::vector<std::string> ips;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        const int number = static_cast<int>(i);
        machines[i].region = region_of(machine_zones[i]);
        machines[i].store = metadata.listen_at(net.machine(10 + number),
                                               milliseconds(machines[i].region == "dotou" ? 1 : 20));
        machines[i].process = std::make_unique<gateway_process>(
            place(number, net.machine(number), machines[i].store), folder, log);
        ips.push_back(net.machine(number));
        if (!machines[i].process->start())
            co_return could_not_run;
    }
    if (!co_await wait_ready(io, ips, milliseconds(10000)))
        co_return could_not_run;
    bool stop = false;
    std::map<std::string, std::pair<machine*, double>> asked;
    for (auto& each : machines) {
        for (int i = 0; i < clients_per_machine; ++i)
            asio::co_spawn(io, ask_all_the_time(io, log, each, stop, asked), asio::detached);
    }
    co_await pause(milliseconds(6000));

    const auto begin = steady::now();
    const auto at = [begin](int ms) { return pause_until(begin + milliseconds(ms)); };
    const bool trouble = with_trouble();
    // The disruption: two cuts of two of the six machines each (a third), of 12 s. Those of dotou have no
    // impairment.
    for (std::size_t i = 2; trouble && i < machines.size(); ++i) {
        if (i == 4)
            co_await at(500);
        cut(metadata, log, machines[i]);
    }
    // Planned work: one server in four leaves, and 0.1 s later one more, both of dotou. Neither reports
    // `draining`.
    std::map<std::string, double> acked_ms;
    std::vector<server*> leaving;
    leaving.push_back(servers[0].get());
    leaving.push_back(servers[3].get());
    for (std::size_t i = 0; i < leaving.size(); ++i) {
        co_await at(4000 + static_cast<int>(i) * 100);
        acked_ms[leaving[i]->id()] = leaving[i]->leave_table();
    }
    co_await at(12000);
    for (std::size_t i = 2; trouble && i < machines.size(); ++i)
        heal(metadata, log, machines[i]);
    co_await at(5000 + linger_ms);
    for (auto* server : leaving)
        server->end();
    co_await at(18000);
    stop = true;
    co_await pause(milliseconds(1500));

    int late = 0;
    for (const auto& got : arrivals) {
        const auto found = acked_ms.find(got.server);
        const auto& [machine, sent_ms] = asked.at(got.id);
        const bool in_touch = machine->cut_ms < 0 && sent_ms > machine->process->started_ms() + contact_ms;
        if (!in_touch || found == acked_ms.end() || got.at_ms <= found->second + drain_ms)
            continue;
        ++machine->late;
        if (++late <= 5)
            log.say("request %s from %s reaches server %s %.0f ms after the ack of its removal",
                    got.id.c_str(), machine->process->place().name.c_str(), got.server.c_str(),
                    got.at_ms - found->second);
    }
    for (const auto& each : machines)
        log.say(
            "%s%s: %d requests, %d served; %d reached servers that had left, later than drainMs, in touch",
            each.process->place().name.c_str(), each.cut_ms < 0 ? "" : " (was cut off)", each.asked,
            each.served, each.late);
    log.say("%zu requests were running when these servers ended",
            leaving[0]->lost_runs() + leaving[1]->lost_runs());
    co_return late == 0 ? held : broken;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string folder = argc > 1 ? argv[1] : "review/8";
    const std::string scratch = argc > 2 ? argv[2] : folder;
    return play([&](asio::io_context& io, record& log) { return run(io, log, scratch); }, folder,
                milliseconds(110000));
}
