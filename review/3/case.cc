/** During a planned stop, the last answer of a connection announces that it closes the connection. A request
   that its caller has sent before it can know that is read and passed on to a server, and then dropped
   without an answer. */
#include "../stand_ins.hh"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <memory>
#include <random>
#include <thread>

using namespace review;

namespace {

constexpr milliseconds warm_up{4000};
constexpr milliseconds traffic_before_stop{2000};
constexpr milliseconds traffic_after_stop{3500};
constexpr milliseconds time_limit{1200};
constexpr milliseconds work{192};
constexpr milliseconds one_way{3}; ///< between callers and instances, as on the sheet
constexpr int number_of_callers = 40;
constexpr int servers_per_service = 16;
constexpr unsigned slots = 3;
constexpr std::size_t download_bytes = 90000;

struct sent_request {
    std::string id;
    double sent_ms = 0;
    double ended_ms = 0;
    bool behind_closing_answer = false;
    bool answered = false;
};

/** Sends a download, and a further `safe` request on the same connection before the download is answered. */
class downloading_caller {
public:
    downloading_caller(std::string name, std::string address, unsigned seed, recorder& record)
        : name_(std::move(name)), address_(std::move(address)), record_(record), random_(seed)
    {}

    void run(const std::atomic<bool>& stopping)
    {
        std::uniform_int_distribution<int> pause(150, 230);
        while (!stopping) {
            const auto connected = connection::open(address_);
            if (!connected) {
                std::this_thread::sleep_for(milliseconds(50));
                continue;
            }
            bool stays_open = true;
            while (stays_open && !stopping)
                stays_open = exchange(*connected, milliseconds(pause(random_)));
        }
    }
    [[nodiscard]] const std::vector<sent_request>& ended() const { return ended_; }

private:
    /** @returns whether the connection can be used again. */
    bool exchange(connection& connected, milliseconds pause)
    {
        sent_request first{name_ + "-" + std::to_string(++sent_), now_ms()};
        if (!connected.send(make_request("GET", "/scan/billet", first.id, time_limit)))
            return false;
        const bool answer_has_begun = connected.readable_within(pause);
        if (answer_has_begun) {
            const auto answer = connected.read(clock::now() + time_limit);
            end(first, answer.has_value());
            return answer && !answer->closes();
        }
        sent_request second{name_ + "-" + std::to_string(++sent_), now_ms()};
        if (!connected.send(make_request("GET", "/stock/billet", second.id, time_limit)))
            return false;
        const auto answer = connected.read(clock::now() + time_limit);
        end(first, answer.has_value());
        if (!answer) {
            end(second, false);
            return false;
        }
        second.behind_closing_answer = answer->closes();
        const auto limit = clock::now() + time_limit;
        const auto second_answer = connected.read(limit);
        end(second, second_answer.has_value());
        return second_answer && !answer->closes() && !second_answer->closes();
    }

    void end(sent_request request, bool answered)
    {
        request.ended_ms = now_ms();
        request.answered = answered;
        record_.add("ended", "request=" + request.id + " sent_ms=" + std::to_string(request.sent_ms) +
                                 " answered=" + std::to_string(answered) +
                                 " behind_closing_answer=" + std::to_string(request.behind_closing_answer));
        ended_.push_back(request);
    }

    std::string name_;
    std::string address_;
    recorder& record_;
    std::mt19937 random_;
    int sent_ = 0;
    std::vector<sent_request> ended_;
};

} // namespace

int main(int argc, char** argv)
{
    const auto options = parse_case(argc, argv);
    recorder record(options.folder + "/record.txt");
    run_table runs;
    store platform;
    std::vector<std::unique_ptr<backend>> backends;
    for (const std::string service : {"scan", "stock"}) {
        for (int i = 0; i < servers_per_service; ++i) {
            server_options server{"i-" + service + std::to_string(i),
                                  service,
                                  "kitami-a",
                                  slots,
                                  9,
                                  [](const http_message&) { return work; },
                                  service == "scan" ? download_bytes : 5000};
            backends.push_back(std::make_unique<backend>(server, runs, record));
            platform.put("servers", server.id, backends.back()->row());
        }
    }
    platform.put("op", "config",
                 make_configuration(7, {{"scan", "download", 1200, 400}, {"stock", "safe", 1200, 400}}));
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
    const delay_proxy link(stopped.callers(), one_way);
    std::atomic<bool> stopping = false;
    std::vector<std::unique_ptr<downloading_caller>> callers;
    std::vector<std::thread> threads;
    for (int i = 0; i < number_of_callers; ++i) {
        callers.push_back(std::make_unique<downloading_caller>("caller" + std::to_string(i), link.address(),
                                                               static_cast<unsigned>(i), record));
        threads.emplace_back([caller = callers.back().get(), &stopping] { caller->run(stopping); });
    }
    std::this_thread::sleep_for(traffic_before_stop);
    const auto signalled_ms = now_ms();
    if (options.trouble)
        stopped.send(SIGTERM);
    // Callers may keep the instance's address for 12 s, three times the directory's time to live.
    std::this_thread::sleep_for(traffic_after_stop);
    stopping = true;
    for (auto& thread : threads)
        thread.join();

    int requests = 0;
    int answered = 0;
    int behind = 0;
    int lost = 0;
    for (const auto& caller : callers) {
        for (const auto& request : caller->ended()) {
            ++requests;
            answered += request.answered ? 1 : 0;
            behind += request.behind_closing_answer ? 1 : 0;
            const auto request_runs = runs.of(request.id);
            const bool is_late =
                request.ended_ms - request.sent_ms >= static_cast<double>(time_limit.count());
            if (request.answered || is_late || request_runs.empty())
                continue;
            ++lost;
            const auto& run = request_runs.front();
            record.add("LOST",
                       "request=" + request.id +
                           " sent_after_signal_ms=" + std::to_string(request.sent_ms - signalled_ms) +
                           " ended_after_signal_ms=" + std::to_string(request.ended_ms - signalled_ms) +
                           " passed_on_to=" + run.server +
                           " dropped_by_server=" + std::to_string(run.dropped));
        }
    }
    std::printf("%d requests: %d answered, %d sent before a closing answer, %d passed on and not answered\n",
                requests, answered, behind, lost);
    record.add("result", "requests=" + std::to_string(requests) + " answered=" + std::to_string(answered) +
                             " behind=" + std::to_string(behind) + " lost=" + std::to_string(lost));
    gateways.clear();
    finish(answered < 100 ? exit_not_run : lost > 0 ? exit_broken : exit_held);
}
