#include "gateway/gateway_metrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace knapweed::gateway {

namespace {

/** Upper bounds in seconds; the target latencies of the routes are between 0.1 and 2 s. */
const prometheus::Histogram::BucketBoundaries latency_buckets{0.05, 0.1,  0.15, 0.2, 0.3, 0.4,
                                                              0.5,  0.75, 1,    1.5, 2,   5};

template <typename Enum>
std::vector<prometheus::Counter*> make_counters(prometheus::Registry& registry, const char* name,
                                                const char* help)
{
    auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    std::vector<prometheus::Counter*> counters;
    counters.reserve(core::number_of_values<Enum>);
    for (const auto reason : core::names_of<Enum>::table)
        counters.push_back(&family.Add({{"reason", std::string(reason)}}));
    return counters;
}

template <typename Enum>
prometheus::Counter& select(const std::vector<prometheus::Counter*>& counters, Enum reason)
{
    return *counters.at(static_cast<std::size_t>(reason));
}

} // namespace

struct gateway_metrics::series {
    prometheus::Registry registry;
    std::vector<prometheus::Counter*> refusals = make_counters<core::refusal_reason>(
        registry, "knapweed_refusals_total", "Requests refused without having been run.");
    std::vector<prometheus::Counter*> unknowns = make_counters<core::unknown_reason>(
        registry, "knapweed_unknowns_total", "Requests whose outcome is unknown.");
    std::vector<prometheus::Counter*> retries = make_counters<core::retry_reason>(
        registry, "knapweed_retries_total", "Requests sent to a further server.");
    std::vector<prometheus::Counter*> network = make_counters<net::counter>(
        registry, "knapweed_network_total", "Events of the network layer, by kind.");
    prometheus::Family<prometheus::Histogram>& latencies =
        prometheus::BuildHistogram()
            .Name("knapweed_answer_seconds")
            .Help("Time from a request's arrival to the end of its answer.")
            .Register(registry);
    prometheus::Gauge& dropped_lines = prometheus::BuildGauge()
                                           .Name("knapweed_log_lines_dropped")
                                           .Help("Log lines beyond the rate or the buffer.")
                                           .Register(registry)
                                           .Add({});
    prometheus::Gauge& quarantined =
        prometheus::BuildGauge()
            .Name("knapweed_quarantined_requests")
            .Help("Fingerprints of requests that are refused because servers ended under them.")
            .Register(registry)
            .Add({});
    std::map<std::pair<std::string, unsigned>, prometheus::Histogram*> by_route;
};

gateway_metrics::gateway_metrics() : series_(std::make_unique<series>()) {}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::add(net::counter which, std::uint64_t amount)
{
    select(series_->network, which).Increment(static_cast<double>(amount));
}

void gateway_metrics::count(core::refusal_reason reason)
{
    select(series_->refusals, reason).Increment();
}

void gateway_metrics::count(core::unknown_reason reason)
{
    select(series_->unknowns, reason).Increment();
}

void gateway_metrics::count(core::retry_reason reason)
{
    select(series_->retries, reason).Increment();
}

void gateway_metrics::observe_answer(const std::string& route, unsigned status, core::duration latency)
{
    constexpr unsigned statuses_per_class = 100;
    auto& histogram = series_->by_route[{route, status / statuses_per_class}];
    if (histogram == nullptr) {
        histogram = &series_->latencies.Add(
            {{"route", route}, {"status", std::to_string(status / statuses_per_class) + "xx"}},
            latency_buckets);
    }
    histogram->Observe(std::chrono::duration<double>(latency).count());
}

void gateway_metrics::set_log_lines_dropped(std::uint64_t total)
{
    series_->dropped_lines.Set(static_cast<double>(total));
}

void gateway_metrics::set_quarantined_requests(std::size_t number)
{
    series_->quarantined.Set(static_cast<double>(number));
}

std::string gateway_metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, series_->registry.Collect());
    return out.str();
}

} // namespace knapweed::gateway
