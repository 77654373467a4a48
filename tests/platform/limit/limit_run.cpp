#include "limit_run.h"

#include <algorithm>

namespace knapweed::soak {

namespace asio = net::asio;

namespace {

/** The instances are ready and know each other after this time. */
constexpr core::milliseconds warm_up{2500};
constexpr core::milliseconds load_before{1000};
constexpr core::milliseconds time_to_lowering{5500};
constexpr core::milliseconds time_to_end{6500};
constexpr core::milliseconds load_after{3500};
constexpr core::milliseconds longest_request{3000};
constexpr core::milliseconds trouble_start{2000};
constexpr core::milliseconds trouble_length{2000};
/** Time from the first naming of a limit after which it holds, and of a lower one. */
constexpr core::milliseconds contact_time{3000};
constexpr core::milliseconds window{4000};
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5;
/** A server whose limit has ended is used like the others again after this time. */
constexpr core::milliseconds time_to_use{1500};
constexpr double least_use = 0.4; ///< part of what the servers without limits get on average
constexpr std::size_t limited_divisor = 4;
constexpr std::size_t regions = 2;

} // namespace

limit_run::limit_run(const trouble_options& options)
    : kind_(options.kind), fleet_(make_fleet_options("limit", options, regions))
{}

trouble_result limit_run::run()
{
    choose_servers();
    result_.history = fleet_.history_file();
    result_.broken = fleet_.run(kind_ == gateway_trouble::late, [this] { return play(); });
    for (const auto& limited : limited_)
        check_limits(limited);
    check_use_after_limits();
    result_.summary = std::to_string(limited_.size()) + " servers named limits, and got at most " +
                      std::to_string(static_cast<int>(greatest_part_ * 100)) + " % of what is allowed" +
                      result_.summary;
    return result_;
}

void limit_run::choose_servers()
{
    auto& random = fleet_.random();
    for (std::size_t number = 0; number < fleet_.servers().size(); ++number) {
        if (random.below(limited_divisor) != 0 && number != 0)
            continue;
        limited_server limited{number, fleet_.servers()[number]->id()};
        limited.first_limit = 3 + 5 * random.fraction();
        limited.lowered_limit = limited.first_limit / 2;
        limited.starts_again = random.below(2) == 0;
        limited_.push_back(std::move(limited));
    }
}

void limit_run::set_limits(bool lowered)
{
    (lowered ? lowered_at_ : named_at_) = fleet_.history().elapsed();
    for (const auto& limited : limited_) {
        const double limit = lowered ? limited.lowered_limit : limited.first_limit;
        fleet_.servers()[limited.number]->set_limit(limit);
        fleet_.history().add("limit", {{"server", limited.id}, {"per_second", limit}});
    }
}

void limit_run::end_limits()
{
    ended_at_ = fleet_.history().elapsed();
    for (const auto& limited : limited_) {
        if (limited.starts_again)
            fleet_.restart_server(limited.number);
        else
            fleet_.servers()[limited.number]->set_limit(std::nullopt);
    }
}

/** @param of_troubled_gateway also counts the gateway that is restarted, cut off or frozen. */
std::vector<core::milliseconds> limit_run::arrivals_at(const std::string& server,
                                                       bool of_troubled_gateway) const
{
    std::vector<core::milliseconds> result;
    for (const auto& [id, record] : fleet_.records()) {
        if (!of_troubled_gateway && record.gateway == fleet_.troubled_gateway())
            continue;
        if (fleet_.concerns_previous_program(record))
            continue;
        for (const auto& arrival : record.arrivals) {
            if (arrival.server == server)
                result.push_back(arrival.at);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

/** Checks all windows from the contact time on, also those in which the limit is lowered. */
void limit_run::check_limits(const limited_server& limited)
{
    const auto arrivals =
        arrivals_at(limited.id, kind_ == gateway_trouble::steady || kind_ == gateway_trouble::late);
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = *first + window;
        if (*first < named_at_ + contact_time || end > ended_at_)
            continue;
        const auto number = std::lower_bound(first, arrivals.end(), end) - first;
        const bool is_lowered = *first >= lowered_at_;
        const double limit = is_lowered ? limited.lowered_limit : limited.first_limit;
        const double allowed =
            limit * std::chrono::duration<double>(window).count() * allowed_factor + allowed_extra;
        greatest_part_ = std::max(greatest_part_, static_cast<double>(number) / allowed);
        if (static_cast<double>(number) <= allowed)
            continue;
        result_.broken.push_back("LIMIT: " + limited.id + " named " + std::to_string(limit) +
                                 " a second and got " + std::to_string(number) + " in 4 s from " +
                                 std::to_string(first->count()) + " ms on, allowed " +
                                 std::to_string(allowed));
        return;
    }
}

/** Servers whose limits have ended must get requests like the others again. */
void limit_run::check_use_after_limits()
{
    std::map<std::string, std::pair<double, double>> others; // requests and servers, by service
    const auto count = [this](std::size_t number) {
        const auto arrivals = arrivals_at(fleet_.servers()[number]->id(), true);
        return static_cast<double>(
            std::count_if(arrivals.begin(), arrivals.end(),
                          [this](core::milliseconds at) { return at >= ended_at_ + time_to_use; }));
    };
    const auto is_limited = [this](std::size_t number) {
        return std::any_of(limited_.begin(), limited_.end(),
                           [number](const auto& limited) { return limited.number == number; });
    };
    for (std::size_t number = 0; number < fleet_.servers().size(); ++number) {
        if (is_limited(number))
            continue;
        auto& [requests, servers] = others[fleet_.servers()[number]->service()];
        requests += count(number);
        ++servers;
    }
    double got = 0;
    double expected = 0;
    for (const auto& limited : limited_) {
        const auto& [requests, servers] = others[fleet_.servers()[limited.number]->service()];
        got += count(limited.number);
        expected += servers > 0 ? requests / servers : 0;
    }
    result_.summary = "; after the limits they got " + std::to_string(static_cast<int>(got)) +
                      " requests, as many others " + std::to_string(static_cast<int>(expected));
    if (got < least_use * expected)
        result_.broken.push_back("servers are hardly used after their limits" + result_.summary);
}

asio::awaitable<void> limit_run::play()
{
    co_await fleet_.sleep(warm_up);
    fleet_.start_callers();
    co_await fleet_.sleep(load_before);
    set_limits(false);
    fleet_.trouble_last(kind_, trouble_start, trouble_length);
    co_await fleet_.sleep(time_to_lowering);
    set_limits(true);
    co_await fleet_.sleep(time_to_end);
    end_limits();
    co_await fleet_.sleep(load_after);
    fleet_.stop_callers();
    co_await fleet_.sleep(longest_request);
}

} // namespace knapweed::soak
