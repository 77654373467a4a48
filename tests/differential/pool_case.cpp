#include "decision/pool.h"
#include "differential/differential_case.h"
#include "differential/naive_pool.h"

namespace knapweed::differential {

namespace {

using namespace std::chrono_literals;
using decision::run_end;

constexpr int steps = 400;

/** Applies the same random history to a pool and to its model. */
class pool_history {
public:
    explicit pool_history(std::uint64_t seed) : random_(seed), pool_({}, time_)
    {
        decision::pool_settings settings;
        const auto servers = 1 + random_.below(5);
        std::size_t slots = 0;
        for (std::uint64_t i = 0; i < servers; ++i) {
            const auto name = "s" + std::to_string(i);
            const auto server_slots = static_cast<std::uint32_t>(1 + random_.below(4));
            settings.servers.push_back({core::server_id{name}, "10.0.0.1:80", server_slots, 360, false});
            naive_.servers[name].slots = server_slots;
            slots += server_slots;
        }
        settings.ranks = {{{0, 4}, {0, 4}, {0, 4}}};
        naive_.capacity = 4 * slots;
        pool_.apply(settings);
        pool_.accept({});
        pool_.set_peers({{core::instance_id{"e1"}, true}});
    }

    std::string run()
    {
        for (int step = 0; step < steps && difference_.empty(); ++step) {
            // The pool ignores a second report of the same time, so time always advances.
            time_.advance(std::chrono::milliseconds{1 + random_.below(20)});
            perform_random_operation();
            compare_schedule();
            if (difference_.empty() && pool_.busy() != running_.size())
                difference_ = "number of runs differs";
        }
        return difference_;
    }

private:
    struct running_request {
        std::string server;
        core::rank rank = core::rank::standard;
    };

    void perform_random_operation()
    {
        switch (random_.below(8)) {
        case 0:
        case 1:
        case 2:
            offer();
            break;
        case 3:
        case 4:
        case 5:
            finish();
            break;
        case 6:
            withdraw_or_acknowledge();
            break;
        default:
            report();
            break;
        }
    }

    void offer()
    {
        decision::pool_request request;
        request.exchange = {next_exchange_++};
        request.from = core::instance_id{"e1"};
        request.rank = core::all_ranks[random_.below(core::number_of_ranks)];
        request.deadline = time_.now() + std::chrono::milliseconds{1000 + random_.below(4000)};
        request.ready = random_.below(4) != 0;
        request.fingerprint = {request.exchange.value};
        const auto budget = request.deadline - time_.now();
        request.latest_start = request.deadline - pool_.needed_time(request.rank, budget);
        const auto start = time_.now() + pool_.estimated_wait(request.rank, request.deadline);
        const auto refused = pool_.offer(request);
        // Credit also counts running requests, so it may run out while the queue still has places.
        if (refused == core::refusal_reason::no_credit && outstanding(request.rank) >= naive_.capacity)
            return;
        if (refused == core::refusal_reason::deadline_unmeetable && start > request.latest_start)
            return;
        if (const auto expected = naive_.offer(request); refused != expected)
            difference_ = "offer: " + describe(refused) + " instead of " + describe(expected);
    }

    [[nodiscard]] static std::string describe(std::optional<core::refusal_reason> reason)
    {
        return reason ? std::string{core::name_of(*reason)} : "queued";
    }

    [[nodiscard]] std::size_t outstanding(core::rank rank) const
    {
        std::size_t count = 0;
        for (const auto& request : naive_.queued)
            count += request.rank == rank ? 1 : 0;
        for (const auto& [exchange, run] : running_)
            count += run.rank == rank ? 1 : 0;
        return count;
    }

    void finish()
    {
        if (running_.empty())
            return;
        auto chosen =
            std::next(running_.begin(), static_cast<std::ptrdiff_t>(random_.below(running_.size())));
        auto& server = naive_.servers.at(chosen->second.server);
        std::erase(server.running, chosen->first);
        if (random_.below(5) != 0) {
            server.slow_start_limit = std::min(server.slow_start_limit + 1, server.slots);
            pool_.finish({chosen->first}, run_end::answered);
        }
        else {
            pool_.finish({chosen->first}, run_end::cancelled);
            // The slot of a cancelled run is free again after 5 ms.
            time_.advance(5ms);
        }
        running_.erase(chosen);
    }

    void withdraw_or_acknowledge()
    {
        if (naive_.queued.empty())
            return;
        const auto index = random_.below(naive_.queued.size());
        auto& request = naive_.queued[index];
        if (!request.ready) {
            request.ready = true;
            if (!pool_.mark_ready(request.exchange))
                difference_ = "mark_ready returned false for a queued request";
            return;
        }
        if (!pool_.withdraw(request.exchange))
            difference_ = "withdraw returned false for a queued request";
        naive_.queued.erase(naive_.queued.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void report()
    {
        auto server = std::next(naive_.servers.begin(),
                                static_cast<std::ptrdiff_t>(random_.below(naive_.servers.size())));
        const bool leaving = random_.below(3) == 0;
        // The reported load is random: it must not change which requests start.
        const auto busy = static_cast<std::uint32_t>(random_.below(10));
        pool_.observe({{}, core::server_id{server->first}, true, time_.now(), {true, leaving, busy}});
        if (server->second.leaving && !leaving)
            time_.advance(2s); // the pool keeps the server closed for 2 s after the first such report,
                               // against lagging ones
        server->second.leaving = leaving;
    }

    void compare_schedule()
    {
        auto expired = naive_.expire(time_.now());
        const auto expected = naive_.choose_next(time_.now());
        for (const auto exchange : expected.past_latest_start) {
            expired.push_back(exchange);
            std::erase_if(naive_.queued, [&](const auto& other) { return other.exchange.value == exchange; });
        }
        std::sort(expired.begin(), expired.end());
        const auto result = pool_.schedule();
        std::vector<std::uint64_t> dropped;
        for (const auto& request : result.dropped)
            dropped.push_back(request.exchange.value);
        std::sort(dropped.begin(), dropped.end());
        std::vector<std::uint64_t> started;
        for (const auto& run : result.started) {
            started.push_back(run.exchange.value);
            auto& server = naive_.servers.at(run.server.str());
            if (naive_pool::free_slots(server) == 0)
                difference_ = "a request started on a server without a free slot";
            server.running.push_back(run.exchange.value);
            const auto queued =
                std::find_if(naive_.queued.begin(), naive_.queued.end(),
                             [&](const auto& other) { return other.exchange == run.exchange; });
            if (queued == naive_.queued.end()) {
                difference_ = "a request that is not queued started";
                return;
            }
            running_.emplace(run.exchange.value, running_request{run.server.str(), queued->rank});
            naive_.queued.erase(queued);
        }
        if (dropped != expired)
            difference_ = "expired requests differ";
        if (started != expected.started)
            difference_ = "started requests differ";
    }

    core::random_source random_;
    core::simulated_clock time_;
    decision::pool pool_;
    naive_pool naive_;
    std::map<std::uint64_t, running_request> running_;
    std::uint64_t next_exchange_ = 1;
    std::string difference_;
};

// Guards against a request that is lost, started twice, started out of order or sent to a server without a
// free slot.
const register_case pool_case{"pool", [](std::uint64_t seed) { return pool_history{seed}.run(); }};

} // namespace

} // namespace knapweed::differential
