#include "leave_run.h"

#include "statement_checker.h"

#include <algorithm>

namespace knapweed::soak {

namespace asio = net::asio;

namespace {

/** The instances are ready and know each other after this time. */
constexpr core::milliseconds warm_up{2500};
constexpr core::milliseconds load_before{1000};
constexpr core::milliseconds trouble_start{1500};
constexpr core::milliseconds trouble_length{2000};
/** Times from the first answers that state it. */
constexpr core::milliseconds entry_removed{1000};
constexpr core::milliseconds entry_written{3500};
constexpr core::milliseconds time_to_start_again{9000};
constexpr core::milliseconds load_after{4000};
constexpr core::milliseconds longest_request{3000};
/** A new process is used like the others after this time. */
constexpr core::milliseconds time_to_use{1500};
constexpr double least_use = 0.4; ///< part of what the others get on average
/** Requests for a service without servers are refused within this time of their arrival. */
constexpr core::milliseconds refusal_limit{500};
constexpr double least_share_refused_in_time = 0.98;
const std::string abandoned_service = "moved"; ///< all its servers leave

} // namespace

leave_run::leave_run(const trouble_options& options)
    : kind_(options.kind), fleet_(make_fleet_options("leave", options))
{}

trouble_result leave_run::run()
{
    choose_servers();
    result_.history = fleet_.history_file();
    result_.broken = fleet_.run(kind_ == gateway_trouble::late, [this] { return play(); });
    const statement_checker checker(fleet_.records(), [this](const auto& record, const auto&, auto told) {
        return is_judged(record, told);
    });
    const auto late = checker.check_leaving();
    result_.broken.insert(result_.broken.end(), late.begin(), late.end());
    check_use_of_new_processes();
    check_refusals();
    result_.summary = std::to_string(leaving_.size()) + " servers left, gateways were told " +
                      std::to_string(checker.number_told()) + " times" + result_.summary;
    return result_;
}

/** Chooses all servers of one service, and one or two of each other service. */
void leave_run::choose_servers()
{
    auto& random = fleet_.random();
    std::map<std::string, std::size_t> chosen;
    for (std::size_t number = 0; number < fleet_.servers().size(); ++number) {
        const auto& server = *fleet_.servers()[number];
        const bool is_abandoned = server.service() == abandoned_service;
        if (!is_abandoned && (chosen[server.service()] == 2 || random.below(3) == 0))
            continue;
        ++chosen[server.service()];
        leaving_server leaving{number, server.id()};
        leaving.way = static_cast<leave_way>(leaving_.size() % core::number_of_values<leave_way>);
        leaving.starts_again = !is_abandoned && random.below(2) == 0;
        leaving_.push_back(std::move(leaving));
    }
}

void leave_run::begin_to_leave()
{
    began_at_ = fleet_.history().elapsed();
    for (const auto& leaving : leaving_) {
        auto& server = *fleet_.servers()[leaving.number];
        server.set_leaving(leaving.way == leave_way::wavers ? 0.5 : 1);
        if (leaving.way == leave_way::rejects)
            server.set_fault(server_fault::sheds);
        fleet_.history().add("leaving", {{"server", leaving.id}, {"way", core::name_of(leaving.way)}});
        if (leaving.way == leave_way::loses_entry)
            fleet_.schedule(entry_removed, [this, &leaving] { fleet_.remove_entry(leaving.number); });
        if (leaving.way == leave_way::loses_entry || leaving.way == leave_way::rewrites_entry)
            fleet_.schedule(entry_written, [this, &leaving] { fleet_.write_entry(leaving.number); });
    }
}

void leave_run::start_again()
{
    started_again_at_ = fleet_.history().elapsed();
    for (const auto& leaving : leaving_) {
        if (leaving.starts_again)
            fleet_.restart_server(leaving.number);
    }
}

/** @param told when the gateway had an answer that the server leaves.
    @returns whether the request left its own gateway, and this one has run since it was told. */
bool leave_run::is_judged(const request_record& record, core::milliseconds told) const
{
    if (fleet_.concerns_previous_program(record))
        return false;
    if (record.gateway != fleet_.troubled_gateway())
        return true;
    const auto begin = began_at_ + trouble_start;
    const auto end = begin + trouble_length;
    if (kind_ == gateway_trouble::cut)
        return record.sent < begin || record.sent > end;
    return kind_ != gateway_trouble::freeze || record.sent < begin || told > end;
}

/** New processes of servers that have left must get requests like the others. */
void leave_run::check_use_of_new_processes()
{
    std::map<std::string, std::size_t> requests; // by server
    for (const auto& [id, record] : fleet_.records()) {
        for (const auto& arrival : record.arrivals) {
            if (arrival.at >= started_again_at_ + time_to_use)
                ++requests[arrival.server];
        }
    }
    double got = 0;
    double expected = 0;
    for (const auto& leaving : leaving_) {
        if (!leaving.starts_again)
            continue;
        const auto& server = *fleet_.servers()[leaving.number];
        double others = 0;
        double of_others = 0;
        for (std::size_t number = 0; number < fleet_.servers().size(); ++number) {
            const auto& other = *fleet_.servers()[number];
            const bool has_left =
                std::any_of(leaving_.begin(), leaving_.end(),
                            [number](const auto& candidate) { return candidate.number == number; });
            if (has_left || other.service() != server.service())
                continue;
            ++others;
            of_others += static_cast<double>(requests[other.id()]);
        }
        got += static_cast<double>(requests[server.id()]);
        expected += of_others / others;
    }
    result_.summary = "; new processes got " + std::to_string(static_cast<int>(got)) +
                      " requests, as many others " + std::to_string(static_cast<int>(expected));
    if (got < least_use * expected)
        result_.broken.push_back("new processes are hardly used" + result_.summary);
}

/** Requests for a service whose servers have all left are refused at once. */
void leave_run::check_refusals()
{
    std::size_t refused = 0;
    std::size_t in_time = 0;
    for (const auto& [id, record] : fleet_.records()) {
        if (record.route != "/" + abandoned_service + "/" || record.result != caller_result::answered ||
            record.status != 503)
            continue;
        ++refused;
        if (record.ended - record.sent <= refusal_limit)
            ++in_time;
    }
    result_.summary += "; " + std::to_string(refused) + " refused";
    if (static_cast<double>(in_time) < least_share_refused_in_time * static_cast<double>(refused))
        result_.broken.push_back("refusals came late" + result_.summary);
}

asio::awaitable<void> leave_run::play()
{
    co_await fleet_.sleep(warm_up);
    fleet_.start_callers();
    co_await fleet_.sleep(load_before);
    begin_to_leave();
    fleet_.trouble_last(kind_, trouble_start, trouble_length);
    co_await fleet_.sleep(time_to_start_again);
    start_again();
    co_await fleet_.sleep(load_after);
    fleet_.stop_callers();
    co_await fleet_.sleep(longest_request);
}

} // namespace knapweed::soak
