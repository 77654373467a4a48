#include "stand_ins/load/load_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <ostream>

namespace knapweed::stand_ins {

namespace {

std::uint64_t total(const std::map<std::string, std::uint64_t>& counts)
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto& entry) { return sum + entry.second; });
}

void print_reasons(std::ostream& stream, std::string_view outcome,
                   const std::map<std::string, std::uint64_t>& counts)
{
    for (const auto& [reason, count] : counts)
        stream << "    " << outcome << ' ' << reason << ": " << count << '\n';
}

} // namespace

double percentile_ms(std::vector<core::duration> latencies, double share)
{
    if (latencies.empty())
        return 0;
    std::sort(latencies.begin(), latencies.end());
    const double ordinal = std::ceil(share * static_cast<double>(latencies.size()));
    const auto index = static_cast<std::size_t>(std::max(ordinal, 1.0)) - 1;
    return std::chrono::duration<double, std::milli>{latencies[index]}.count();
}

bool load_report::passed(bool allow_cut_off) const
{
    const bool ranks_passed = std::all_of(ranks.begin(), ranks.end(), [&](const rank_report& rank) {
        const bool has_cut_off = rank.cut_off + rank.broken_off > 0;
        return rank.truncated + rank.crossed == 0 && rank.malformed.empty() &&
               (allow_cut_off || !has_cut_off);
    });
    return ranks_passed && backends.doubled + backends.not_run_but_ran + backends.unreachable == 0;
}

void load_report::print_table(std::ostream& stream) const
{
    constexpr int width = 10;
    const auto cell = [&stream](const auto& value) { stream << std::right << std::setw(width) << value; };
    stream << std::fixed << std::setprecision(1);
    for (const char* title :
         {"rank", "sent", "done", "refused", "unknown", "malformed", "truncated", "crossed", "cut off",
          "broken", "resent", "p50 ms", "p90 ms", "p99 ms", "max ms"})
        cell(title);
    stream << '\n';
    for (const core::rank rank : core::all_ranks) {
        const rank_report& row = ranks.at(core::index_of(rank));
        cell(core::name_of(rank));
        for (const std::uint64_t count :
             {row.sent, row.done, total(row.refused), total(row.unknown), total(row.malformed), row.truncated,
              row.crossed, row.cut_off, row.broken_off, row.resent})
            cell(count);
        for (const double share : {0.5, 0.9, 0.99, 1.0})
            cell(percentile_ms(row.latencies, share));
        stream << '\n';
        print_reasons(stream, "done with status", row.done_with_error);
        print_reasons(stream, "refused", row.refused);
        print_reasons(stream, "unknown", row.unknown);
        print_reasons(stream, "malformed", row.malformed);
    }
    print_totals(stream);
    if (backends.ledgers + backends.unreachable == 0) {
        stream << "backends: no ledgers were read, doubled runs are not known\n";
        return;
    }
    stream << "backends: " << backends.ledgers << " ledgers, " << backends.runs << " runs, " << backends.shed
           << " shed, " << backends.cancelled << " cancelled, " << backends.unreachable
           << " servers unreachable; doubled runs: " << backends.doubled
           << "; not run but ran: " << backends.not_run_but_ran << '\n';
}

void load_report::print_totals(std::ostream& stream) const
{
    const auto sum = [this](auto count) {
        return std::accumulate(
            ranks.begin(), ranks.end(), std::uint64_t{0},
            [&count](std::uint64_t all, const rank_report& row) { return all + count(row); });
    };
    stream << "total: " << sum([](const rank_report& row) { return row.sent; }) << " sent, "
           << sum([](const rank_report& row) { return row.done; }) << " done, "
           << sum([](const rank_report& row) { return total(row.refused); }) << " refused, "
           << sum([](const rank_report& row) { return total(row.unknown); }) << " unknown, "
           << sum([](const rank_report& row) { return total(row.malformed) + row.truncated + row.crossed; })
           << " wrong, " << sum([](const rank_report& row) { return row.cut_off + row.broken_off; })
           << " cut or broken off\n";
}

nlohmann::json load_report::to_json() const
{
    nlohmann::json by_rank;
    for (const core::rank rank : core::all_ranks) {
        const rank_report& row = ranks.at(core::index_of(rank));
        by_rank[std::string{core::name_of(rank)}] = {{"sent", row.sent},
                                                     {"done", row.done},
                                                     {"done_with_error", row.done_with_error},
                                                     {"refused", row.refused},
                                                     {"unknown", row.unknown},
                                                     {"malformed", row.malformed},
                                                     {"truncated", row.truncated},
                                                     {"crossed", row.crossed},
                                                     {"cut_off", row.cut_off},
                                                     {"broken_off", row.broken_off},
                                                     {"resent", row.resent},
                                                     {"p50_ms", percentile_ms(row.latencies, 0.5)},
                                                     {"p90_ms", percentile_ms(row.latencies, 0.9)},
                                                     {"p99_ms", percentile_ms(row.latencies, 0.99)},
                                                     {"max_ms", percentile_ms(row.latencies, 1.0)}};
    }
    return {{"ranks", std::move(by_rank)},
            {"backends",
             {{"ledgers", backends.ledgers},
              {"unreachable", backends.unreachable},
              {"runs", backends.runs},
              {"shed", backends.shed},
              {"cancelled", backends.cancelled},
              {"doubled", backends.doubled},
              {"not_run_but_ran", backends.not_run_but_ran}}}};
}

} // namespace knapweed::stand_ins
