#include "decision/pool.h"
#include "differential/differential_case.h"
#include "differential/naive_pool.h"

namespace knapweed::differential {

namespace {

using namespace std::chrono_literals;
using decision::run_end;

constexpr int steps = 400;

/** Drives a pool and its naive version with the same random history. */
class pool_history {
public:
    explicit pool_history(std::uint64_t seed) : random_(seed), tested_({}, time_)
    {
        decision::pool_settings settings;
        const auto servers = 1 + random_.below(5);
        std::size_t slots = 0;
        for (std::uint64_t i = 0; i < servers; ++i) {
            const auto name = "s" + std::to_string(i);
            const auto own = static_cast<std::uint32_t>(1 + random_.below(4));
            settings.servers.push_back({core::server_id{name}, "10.0.0.1:80", own, 360, false});
            naive_.servers[name].slots = own;
            slots += own;
        }
        settings.ranks = {{{0, 4}, {0, 4}, {0, 4}}};
        naive_.capacity = 4 * slots;
        tested_.apply(settings);
        tested_.accept({});
        tested_.set_peers({{core::instance_id{"e1"}, true}});
    }

    std::string run()
    {
        for (int step = 0; step < steps && difference_.empty(); ++step) {
            // Two reports at the same instant have no order, so time always moves.
            time_.advance(std::chrono::milliseconds{1 + random_.below(20)});
            act();
            compare_turn();
            if (difference_.empty() && tested_.busy() != running_.size())
                difference_ = "busy differs";
        }
        return difference_;
    }

private:
    struct placed {
        std::string server;
        core::rank rank = core::rank::standard;
    };

    void act()
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
        request.exchange = {next_++};
        request.from = core::instance_id{"e1"};
        request.rank = core::all_ranks[random_.below(core::number_of_ranks)];
        request.deadline = time_.now() + std::chrono::milliseconds{1000 + random_.below(4000)};
        request.ready = random_.below(4) != 0;
        request.fingerprint = {request.exchange.value};
        const auto budget = request.deadline - time_.now();
        request.latest_start = request.deadline - tested_.needed_time(request.rank, budget);
        const auto start = time_.now() + tested_.estimated_wait(request.rank, request.deadline);
        const auto refused = tested_.offer(request);
        // Credit counts running requests, too, so the window can refuse what the queue would take.
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
            server.warm = std::min(server.warm + 1, server.slots);
            tested_.finish({chosen->first}, run_end::answered);
        }
        else {
            tested_.finish({chosen->first}, run_end::cancelled);
            // The slot of a cancelled run is free again after 5 ms.
            time_.advance(5ms);
        }
        running_.erase(chosen);
    }

    void withdraw_or_acknowledge()
    {
        if (naive_.queued.empty())
            return;
        const auto at = random_.below(naive_.queued.size());
        auto& request = naive_.queued[at];
        if (!request.ready) {
            request.ready = true;
            if (!tested_.mark_ready(request.exchange))
                difference_ = "mark_ready differs";
            return;
        }
        if (!tested_.withdraw(request.exchange))
            difference_ = "withdraw differs";
        naive_.queued.erase(naive_.queued.begin() + static_cast<std::ptrdiff_t>(at));
    }

    void report()
    {
        auto server = std::next(naive_.servers.begin(),
                                static_cast<std::ptrdiff_t>(random_.below(naive_.servers.size())));
        const bool leaving = random_.below(3) == 0;
        // The load is random: whatever a report says of it must not change what starts.
        const auto busy = static_cast<std::uint32_t>(random_.below(10));
        tested_.observe({{}, core::server_id{server->first}, true, time_.now(), {true, leaving, busy}});
        if (server->second.leaving && !leaving)
            time_.advance(2s); // departure is held for 2 s against lagging reports
        server->second.leaving = leaving;
    }

    void compare_turn()
    {
        auto expired = naive_.expire(time_.now());
        const auto expected = naive_.next(time_.now());
        for (const auto late : expected.late) {
            expired.push_back(late);
            std::erase_if(naive_.queued, [&](const auto& other) { return other.exchange.value == late; });
        }
        std::sort(expired.begin(), expired.end());
        const auto turn = tested_.schedule();
        std::vector<std::uint64_t> dropped;
        for (const auto& each : turn.dropped)
            dropped.push_back(each.exchange.value);
        std::sort(dropped.begin(), dropped.end());
        std::vector<std::uint64_t> started;
        for (const auto& each : turn.started) {
            started.push_back(each.exchange.value);
            auto& server = naive_.servers.at(each.server.str());
            if (naive_pool::room(server) == 0)
                difference_ = "a server without a free slot got work";
            server.running.push_back(each.exchange.value);
            const auto queued =
                std::find_if(naive_.queued.begin(), naive_.queued.end(),
                             [&](const auto& other) { return other.exchange == each.exchange; });
            if (queued == naive_.queued.end()) {
                difference_ = "a request that is not queued started";
                return;
            }
            running_.emplace(each.exchange.value, placed{each.server.str(), queued->rank});
            naive_.queued.erase(queued);
        }
        if (dropped != expired)
            difference_ = "expired requests differ";
        if (started != expected.started)
            difference_ = "started requests differ";
    }

    core::random_source random_;
    core::simulated_clock time_;
    decision::pool tested_;
    naive_pool naive_;
    std::map<std::uint64_t, placed> running_;
    std::uint64_t next_ = 1;
    std::string difference_;
};

// Guards against a request that is lost, started twice, started out of order or sent to a server without a
// free slot.
const register_case pool_case{"pool", [](std::uint64_t seed) { return pool_history{seed}.run(); }};

} // namespace

} // namespace knapweed::differential
