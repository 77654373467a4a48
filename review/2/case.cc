/** Callers that send further requests before earlier ones are answered keep their connections to an instance
   that got a SIGTERM. Its answers never close these connections, and it exits with requests unanswered. */
#include "../stand_ins.hh"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <deque>
#include <memory>
#include <thread>

using namespace review;

namespace {

constexpr milliseconds warm_up{4000};
constexpr milliseconds traffic_before_stop{3000};
constexpr milliseconds grace{6000};
constexpr milliseconds time_limit{1200};
constexpr milliseconds work{240};
constexpr std::size_t outstanding_requests = 3;
constexpr int number_of_callers = 6;
constexpr int servers = 12;
constexpr unsigned slots = 4;
constexpr double excused_until_ms = 3000;

struct sent_request {
    std::string id;
    double sent_ms = 0;
    double ended_ms = 0;
    int status = 0;
    bool cut = false; ///< the connection ended before the answer, and within the time limit
};

/** A caller that holds one connection with several unanswered `safe` requests. It stops sending on a
   connection when an answer closes it, and opens another one. */
class pipelining_caller {
public:
    pipelining_caller(std::string name, std::string address, recorder& record)
        : name_(std::move(name)), address_(std::move(address)), record_(record)
    {}

    void run(const std::atomic<bool>& stopping)
    {
        while (!stopping) {
            const auto connected = connection::open(address_);
            if (!connected) {
                std::this_thread::sleep_for(milliseconds(50));
                continue;
            }
            use(*connected, stopping);
        }
    }
    [[nodiscard]] const std::vector<sent_request>& ended() const { return ended_; }
    [[nodiscard]] int closing_answers() const { return closing_answers_; }

private:
    void use(connection& connected, const std::atomic<bool>& stopping)
    {
        std::deque<sent_request> open;
        bool sends = true;
        while (sends || !open.empty()) {
            while (sends && open.size() < outstanding_requests) {
                sent_request next{name_ + "-" + std::to_string(++sent_), now_ms()};
                const bool written =
                    connected.send(make_request("GET", "/stock/billet", next.id, time_limit));
                if (!written)
                    sends = false;
                else
                    open.push_back(next);
            }
            if (open.empty())
                return;
            const auto left = milliseconds(static_cast<long>(open.front().sent_ms - now_ms())) + time_limit;
            const auto answer = connected.read(clock::now() + std::max(left, milliseconds(0)));
            if (!answer) {
                for (auto& unanswered : open)
                    end(unanswered, 0, connected.ended());
                return;
            }
            if (answer->field("request-id") != open.front().id)
                record_.add("foreign_answer", "expected=" + open.front().id);
            end(open.front(), answer->status(), false);
            open.pop_front();
            if (answer->closes()) {
                ++closing_answers_;
                return; // requests behind it count as not read, and are sent again
            }
            sends = sends && !stopping;
        }
    }

    void end(sent_request request, int status, bool cut)
    {
        request.ended_ms = now_ms();
        request.status = status;
        request.cut = cut;
        record_.add("ended", "request=" + request.id + " sent_ms=" + std::to_string(request.sent_ms) +
                                 " status=" + std::to_string(status) + " cut=" + std::to_string(cut));
        ended_.push_back(request);
    }

    std::string name_;
    std::string address_;
    recorder& record_;
    int sent_ = 0;
    int closing_answers_ = 0;
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
    for (int i = 0; i < servers; ++i) {
        server_options server{"i-" + std::to_string(i),
                              "stock",
                              "kitami-a",
                              slots,
                              12,
                              [](const http_message&) { return work; },
                              5000};
        backends.push_back(std::make_unique<backend>(server, runs, record));
        platform.put("servers", server.id, backends.back()->row());
    }
    platform.put("op", "config", make_configuration(7, {{"stock", "safe", 1200, 500}}));
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
    std::atomic<bool> stopping = false;
    std::vector<std::unique_ptr<pipelining_caller>> callers;
    std::vector<std::thread> threads;
    for (int i = 0; i < number_of_callers; ++i) {
        callers.push_back(
            std::make_unique<pipelining_caller>("caller" + std::to_string(i), stopped.callers(), record));
        threads.emplace_back([caller = callers.back().get(), &stopping] { caller->run(stopping); });
    }
    std::this_thread::sleep_for(traffic_before_stop);
    const auto signalled_ms = now_ms();
    if (options.trouble)
        stopped.send(SIGTERM);
    // All callers have looked the instance up less than 12 s ago, which is three times the directory's time
    // to live.
    std::this_thread::sleep_for(grace);
    stopping = true;
    for (auto& thread : threads)
        thread.join();
    if (options.trouble && !stopped.ended_within(milliseconds(1000)))
        stopped.send(SIGKILL);

    int requests = 0;
    int answered = 0;
    int closing_answers = 0;
    int lost = 0;
    for (const auto& caller : callers) {
        closing_answers += caller->closing_answers();
        for (const auto& request : caller->ended()) {
            ++requests;
            answered += request.status == 200 ? 1 : 0;
            const auto request_runs = runs.of(request.id);
            const auto after_signal = request.sent_ms - signalled_ms;
            if (!request.cut || request_runs.empty() || after_signal <= excused_until_ms)
                continue;
            ++lost;
            record.add("LOST", "request=" + request.id +
                                   " sent_after_signal_ms=" + std::to_string(after_signal) +
                                   " cut_after_signal_ms=" + std::to_string(request.ended_ms - signalled_ms) +
                                   " passed_on_to=" + request_runs.front().server);
        }
    }
    std::printf(
        "%d requests: %d answered, %d answers closed their connection, %d cut after they were passed on\n",
        requests, answered, closing_answers, lost);
    record.add("result", "requests=" + std::to_string(requests) + " answered=" + std::to_string(answered) +
                             " closing_answers=" + std::to_string(closing_answers) +
                             " lost=" + std::to_string(lost));
    gateways.clear();
    finish(answered < 100 ? exit_not_run : lost > 0 ? exit_broken : exit_held);
}
