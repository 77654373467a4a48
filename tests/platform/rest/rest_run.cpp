#include "rest_run.h"

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
constexpr core::milliseconds time_turned_away{6000};
constexpr core::milliseconds load_after{7000};
constexpr core::milliseconds longest_request{3000};
/** Servers are used like the others this long after their rest. */
constexpr core::milliseconds time_to_use{4500};
constexpr double least_use = 0.4; ///< part of what the others get on average
/** A longer rest than the run. */
constexpr core::milliseconds endless{3600000};

const std::array<stated_rest, 9> stated_rests{{{"3", core::milliseconds(3000)},
                                               {"1.5", core::milliseconds(1500)},
                                               {"-2", core::milliseconds(0)},
                                               {"0.75", core::milliseconds(750)},
                                               {"1e9", endless},
                                               {"soon", core::milliseconds(0)},
                                               {"2.25", core::milliseconds(2250)},
                                               {"Fri, 31 Dec 2027 23:59:59 GMT", core::milliseconds(0)},
                                               {"0", core::milliseconds(0)}}};

} // namespace

rest_run::rest_run(const trouble_options& options)
    : kind_(options.kind), fleet_(make_fleet_options("rest", options))
{}

trouble_result rest_run::run()
{
    choose_servers();
    result_.history = fleet_.history_file();
    result_.broken = fleet_.run(kind_ == gateway_trouble::late, [this] { return play(); });
    const statement_checker checker(
        fleet_.records(), [this](const auto& record, const auto&, auto) { return is_judged(record); });
    const auto unheeded = checker.check_rests();
    result_.broken.insert(result_.broken.end(), unheeded.begin(), unheeded.end());
    check_use_afterwards();
    result_.summary = std::to_string(resting_.size()) + " servers turned " +
                      std::to_string(checker.number_turned_away()) + " requests away, at most " +
                      std::to_string(checker.most_during_rest()) + " in a time of rest" + result_.summary;
    return result_;
}

/** Chooses half of the servers of each service. */
void rest_run::choose_servers()
{
    auto& random = fleet_.random();
    std::map<std::string, std::size_t> chosen;
    const auto first_rest = random.below(stated_rests.size());
    for (std::size_t number = 0; number < fleet_.servers().size(); ++number) {
        const auto& server = *fleet_.servers()[number];
        if (chosen[server.service()] == cut_place::number_of_places / 2 || random.below(3) == 0)
            continue;
        ++chosen[server.service()];
        const auto& stated = stated_rests.at((first_rest + resting_.size()) % stated_rests.size());
        resting_.push_back({number, server.id(), stated});
    }
}

void rest_run::begin_to_rest()
{
    for (const auto& resting : resting_) {
        fleet_.servers()[resting.number]->set_rest(resting.stated);
        fleet_.history().add("rests", {{"server", resting.id}, {"text", resting.stated.text}});
    }
}

void rest_run::serve_again()
{
    served_again_at_ = fleet_.history().elapsed();
    for (const auto& resting : resting_)
        fleet_.servers()[resting.number]->set_rest(std::nullopt);
}

bool rest_run::is_judged(const request_record& record) const
{
    const bool is_excused = (kind_ == gateway_trouble::cut || kind_ == gateway_trouble::freeze) &&
                            record.gateway == fleet_.troubled_gateway();
    return !is_excused && !fleet_.concerns_previous_program(record);
}

/** Servers that serve again must get requests like the others, unless their rest goes on. */
void rest_run::check_use_afterwards()
{
    std::map<std::string, std::size_t> requests; // by server
    for (const auto& [id, record] : fleet_.records()) {
        for (const auto& arrival : record.arrivals) {
            if (arrival.at >= served_again_at_ + time_to_use)
                ++requests[arrival.server];
        }
    }
    double got = 0;
    double expected = 0;
    for (const auto& resting : resting_) {
        if (resting.stated.rest == endless)
            continue;
        double others = 0;
        double of_others = 0;
        for (std::size_t number = 0; number < fleet_.servers().size(); ++number) {
            const auto& other = *fleet_.servers()[number];
            const bool rests = std::any_of(resting_.begin(), resting_.end(), [number](const auto& candidate) {
                return candidate.number == number;
            });
            if (rests || other.service() != fleet_.servers()[resting.number]->service())
                continue;
            ++others;
            of_others += static_cast<double>(requests[other.id()]);
        }
        got += static_cast<double>(requests[resting.id]);
        expected += of_others / others;
    }
    result_.summary = "; afterwards they got " + std::to_string(static_cast<int>(got)) +
                      " requests, as many others " + std::to_string(static_cast<int>(expected));
    if (got < least_use * expected)
        result_.broken.push_back("servers are hardly used after their rest" + result_.summary);
}

asio::awaitable<void> rest_run::play()
{
    co_await fleet_.sleep(warm_up);
    fleet_.start_callers();
    co_await fleet_.sleep(load_before);
    begin_to_rest();
    fleet_.trouble_last(kind_, trouble_start, trouble_length);
    co_await fleet_.sleep(time_turned_away);
    serve_again();
    co_await fleet_.sleep(load_after);
    fleet_.stop_callers();
    co_await fleet_.sleep(longest_request);
}

} // namespace knapweed::soak
