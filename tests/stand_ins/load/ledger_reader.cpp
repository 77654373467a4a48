#include "stand_ins/load/ledger_reader.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace knapweed::stand_ins {

namespace {

constexpr core::milliseconds read_timeout{10'000};
/** A server that has crashed refuses connections for some seconds until it restarts, so reads are retried. */
constexpr int read_attempts = 10;
constexpr core::milliseconds retry_interval{500};

struct key_runs {
    std::uint64_t runs = 0;
    bool idempotent = true;
};

void add_ledger(const nlohmann::json& ledger, std::map<std::string, key_runs>& runs)
{
    for (const auto& run : ledger.at("runs")) {
        key_runs& key = runs[run.at("key").get<std::string>()];
        key.runs += run.at("runs").get<std::uint64_t>();
        key.idempotent = key.idempotent && run.at("idempotent").get<bool>();
    }
}

asio::awaitable<std::optional<nlohmann::json>> read_statistics(http_client& client, tcp::endpoint server)
{
    asio::steady_timer timer{client.executor()};
    for (int attempt = 1;; ++attempt) {
        auto statistics = co_await client.fetch_json(server, "/statistics", read_timeout);
        if (statistics || attempt == read_attempts)
            co_return statistics;
        timer.expires_after(retry_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace

asio::awaitable<backend_report> read_ledgers(http_client& client, std::vector<tcp::endpoint> servers,
                                             const std::set<std::string>& refused_keys)
{
    backend_report report;
    std::set<std::string> ledgers;
    std::map<std::string, key_runs> runs;
    for (const tcp::endpoint& server : servers) {
        const auto statistics = co_await read_statistics(client, server);
        if (!statistics) {
            ++report.unreachable;
            continue;
        }
        report.runs += statistics->at("runs").get<std::uint64_t>();
        report.shed += statistics->at("shed").get<std::uint64_t>();
        report.cancelled += statistics->at("cancelled").get<std::uint64_t>();
        if (!ledgers.insert(statistics->at("ledger").get<std::string>()).second)
            continue;
        if (const auto ledger = co_await client.fetch_json(server, "/runs", read_timeout))
            add_ledger(*ledger, runs);
        else
            ++report.unreachable;
    }
    report.ledgers = ledgers.size();
    report.doubled =
        static_cast<std::uint64_t>(std::count_if(runs.begin(), runs.end(), [](const auto& entry) {
            return !entry.second.idempotent && entry.second.runs > 1;
        }));
    report.not_run_but_ran = static_cast<std::uint64_t>(
        std::count_if(refused_keys.begin(), refused_keys.end(),
                      [&runs](const std::string& key) { return runs.contains(key); }));
    co_return report;
}

} // namespace knapweed::stand_ins
