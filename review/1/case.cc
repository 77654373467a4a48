/** Orders that must not run twice are sent to an instance between 3.0 and 3.5 s after its SIGTERM, on new
   connections. It accepts them and passes them on, but exits before their servers answer. */
#include "../stand_ins.hh"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <memory>
#include <thread>

using namespace review;

namespace {

constexpr milliseconds warm_up{4000};
constexpr milliseconds traffic_before_stop{6000};
constexpr milliseconds grace{6000};
constexpr milliseconds time_limit{5000};
constexpr milliseconds between_orders{25};
constexpr int servers = 24;
constexpr unsigned slots = 5;
/** Orders that are sent up to this time after the SIGTERM may be cut while their server is still at work in
   the last sixth of the grace period. */
constexpr double excused_until_ms = 3000;
/** Clients keep a look-up's answer for up to three times its time to live. */
constexpr int longest_keep_factor = 3;

struct order {
    std::string id;
    double sent_ms = 0;
    double ended_ms = 0;
    int status = 0;      ///< of the answer; 0 for none
    bool cut = false;    ///< the connection was opened and ended without an answer
    bool opened = false; ///< the connection was opened and the order written
};

/** Work of 1,320 ms in the mean, and 3,000 ms at most. */
milliseconds work_time(const http_message& request)
{
    const auto number = std::stoul(request.field("request-id").substr(6));
    return number % 4 == 0 ? milliseconds(3000) : milliseconds(760);
}

void send_order(const std::string& address, order& sent, recorder& record)
{
    sent.sent_ms = now_ms();
    const auto limit = clock::now() + time_limit;
    const auto connected = connection::open(address);
    if (connected) {
        sent.opened = connected->send(
            make_request("POST", "/reserve/billet", sent.id, time_limit, std::string(1200, 'b')));
        if (const auto answer = sent.opened ? connected->read(limit) : std::nullopt)
            sent.status = answer->status();
        else
            sent.cut = sent.opened && connected->ended();
    }
    sent.ended_ms = now_ms();
    record.add("order", "request=" + sent.id + " sent_ms=" + std::to_string(sent.sent_ms) +
                            " status=" + std::to_string(sent.status) + " cut=" + std::to_string(sent.cut));
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = parse_case(argc, argv);
    recorder record(options.folder + "/record.txt");
    run_table runs;
    store platform;
    std::vector<std::unique_ptr<backend>> backends;
    for (int i = 0; i < servers; ++i) {
        server_options server{"i-" + std::to_string(i), "reserve", "kitami-a", slots, 15, work_time};
        backends.push_back(std::make_unique<backend>(server, runs, record));
        platform.put("servers", server.id, backends.back()->row());
    }
    platform.put("op", "config", make_configuration(7, {{"reserve", "unsafe", 5000, 1500}}));
    std::vector<std::unique_ptr<gateway>> gateways;
    for (const auto* name : {"front-kitami-a-1", "front-kitami-a-2"}) {
        gateways.push_back(std::make_unique<gateway>(
            name, platform.address(), std::map<std::string, std::string>{}, options.scratch, record));
        gateways.back()->start();
    }
    for (const auto& instance : gateways) {
        if (!instance->ready_within(milliseconds(10000))) {
            std::puts("an instance did not become ready");
            finish(exit_not_run);
        }
    }
    std::this_thread::sleep_for(warm_up);
    auto& stopped = *gateways.front();
    const auto lookup = connection::open(gateways.back()->lookups());
    const auto found =
        lookup && lookup->send("GET /resolve?name=shop.example&region=dotou&zone=kitami-a HTTP/1.1\r\n"
                               "Host: " +
                               gateways.back()->lookups() + "\r\n\r\n")
            ? lookup->read(clock::now() + milliseconds(1000))
            : std::nullopt;
    if (!found || found->status() != 200 || found->body.find(stopped.callers()) == std::string::npos) {
        std::puts("the directory does not name the instance");
        finish(exit_not_run);
    }
    record.add("looked_up", found->body);
    const auto looked_up_ms = now_ms();
    // The time to live that the directory states is 4 s.
    const auto kept_until_ms = looked_up_ms + longest_keep_factor * 4000;

    std::atomic<bool> stopping = false;
    std::vector<std::unique_ptr<order>> orders;
    std::vector<std::thread> callers;
    const auto began = clock::now();
    double signalled_ms = 0;
    std::string ended_early;
    for (int i = 0; now_ms() < kept_until_ms && clock::now() < began + traffic_before_stop + grace; ++i) {
        if (signalled_ms == 0 && clock::now() >= began + traffic_before_stop) {
            signalled_ms = now_ms();
            if (options.trouble)
                stopped.send(SIGTERM);
        }
        orders.push_back(std::make_unique<order>());
        orders.back()->id = "order-" + std::to_string(i);
        callers.emplace_back([&stopped, &record, sent = orders.back().get()] {
            send_order(stopped.callers(), *sent, record);
        });
        std::this_thread::sleep_for(between_orders);
    }
    for (auto& caller : callers)
        caller.join();
    if (options.trouble && !stopped.ended_within(grace))
        stopped.send(SIGKILL);

    int answered = 0;
    int refused = 0;
    int excused = 0;
    int lost = 0;
    for (const auto& sent : orders) {
        const auto request_runs = runs.of(sent->id);
        answered += sent->status == 200 ? 1 : 0;
        refused += sent->status == 503 ? 1 : 0;
        if (!sent->cut || request_runs.empty())
            continue;
        const auto after_signal = sent->sent_ms - signalled_ms;
        const bool is_late = sent->ended_ms - sent->sent_ms >= static_cast<double>(time_limit.count());
        if (after_signal <= excused_until_ms || is_late) {
            ++excused;
            continue;
        }
        ++lost;
        const auto& run = request_runs.front();
        record.add("LOST", "request=" + sent->id + " sent_after_signal_ms=" + std::to_string(after_signal) +
                               " cut_after_signal_ms=" + std::to_string(sent->ended_ms - signalled_ms) +
                               " passed_on_to=" + run.server +
                               " dropped_by_server=" + std::to_string(run.dropped));
    }
    std::printf("%zu orders: %d answered, %d refused, %d cut and excused, %d cut and not excused\n",
                orders.size(), answered, refused, excused, lost);
    record.add("result", "orders=" + std::to_string(orders.size()) + " answered=" + std::to_string(answered) +
                             " refused=" + std::to_string(refused) + " excused=" + std::to_string(excused) +
                             " lost=" + std::to_string(lost));
    gateways.clear();
    const bool could_run = answered > 100;
    finish(!could_run ? exit_not_run : lost > 0 ? exit_broken : exit_held);
}
