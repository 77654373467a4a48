#include "net/telemetry.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>
#include <vector>

namespace knapweed::net {

namespace {

template <typename Enum>
using counters_by_reason_and_rank = std::vector<core::per_rank<prometheus::Counter*>>;

template <typename Enum>
counters_by_reason_and_rank<Enum> make_reason_counters(prometheus::Registry& registry,
                                                       const std::string& name, const std::string& help)
{
    auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    counters_by_reason_and_rank<Enum> counters;
    for (const auto reason : core::names_of<Enum>::table) {
        auto& rank_counters = counters.emplace_back();
        for (const auto rank : core::all_ranks) {
            rank_counters.at(core::index_of(rank)) =
                &family.Add({{"reason", std::string(reason)}, {"rank", std::string(core::name_of(rank))}});
        }
    }
    return counters;
}

template <typename Enum>
prometheus::Counter& select(const counters_by_reason_and_rank<Enum>& counters, Enum reason, core::rank rank)
{
    return *counters.at(static_cast<std::size_t>(reason)).at(core::index_of(rank));
}

log4cplus::Logger make_logger(const std::string& instance)
{
    auto logger = log4cplus::Logger::getInstance(instance);
    logger.setAdditivity(false);
    logger.removeAllAppenders();
    constexpr bool to_stderr = true;
    constexpr bool flush_each_line = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(to_stderr, flush_each_line));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    logger.addAppender(appender);
    return logger;
}

} // namespace

struct telemetry::metrics {
    explicit metrics(const std::string& instance)
        : refusals(make_reason_counters<core::refusal_reason>(registry, "knapweed_refusals_total",
                                                              "Requests refused without having been run.")),
          unknowns(make_reason_counters<core::unknown_reason>(registry, "knapweed_unknowns_total",
                                                              "Requests whose outcome is unknown.")),
          retries(make_reason_counters<core::retry_reason>(registry, "knapweed_retries_total",
                                                           "Requests tried again.")),
          logger(make_logger(instance))
    {
        for (const auto name : core::names_of<counter>::table) {
            counters.push_back(&prometheus::BuildCounter()
                                    .Name("knapweed_" + std::string(name) + "_total")
                                    .Help("Counter of the network layer.")
                                    .Register(registry)
                                    .Add({}));
        }
        for (const auto name : core::names_of<gauge>::table) {
            gauges.push_back(&prometheus::BuildGauge()
                                  .Name("knapweed_" + std::string(name))
                                  .Help("Gauge of the network layer.")
                                  .Register(registry)
                                  .Add({}));
        }
    }

    prometheus::Registry registry;
    counters_by_reason_and_rank<core::refusal_reason> refusals;
    counters_by_reason_and_rank<core::unknown_reason> unknowns;
    counters_by_reason_and_rank<core::retry_reason> retries;
    std::vector<prometheus::Counter*> counters;
    std::vector<prometheus::Gauge*> gauges;
    log4cplus::Logger logger;
};

telemetry::telemetry(std::string instance, log_level level, std::size_t ring_entries)
    : instance_(std::move(instance)), level_(level), metrics_(std::make_unique<metrics>(instance_))
{
    for (auto& log_ring : log_rings_)
        log_ring = std::make_unique<ring<log_line>>(ring_entries);
}

telemetry::~telemetry() = default;

void telemetry::add(counter which, std::uint64_t amount)
{
    metrics_->counters[static_cast<std::size_t>(which)]->Increment(static_cast<double>(amount));
}

void telemetry::set(gauge which, double value)
{
    metrics_->gauges[static_cast<std::size_t>(which)]->Set(value);
}

void telemetry::add(gauge which, double change)
{
    metrics_->gauges[static_cast<std::size_t>(which)]->Increment(change);
}

void telemetry::count(const decision::count_refusal& refusal)
{
    select(metrics_->refusals, refusal.reason, refusal.rank).Increment();
}

void telemetry::count(const decision::count_retry& retry)
{
    select(metrics_->retries, retry.reason, retry.rank).Increment();
}

void telemetry::count(const decision::count_unknown& unknown)
{
    select(metrics_->unknowns, unknown.reason, unknown.rank).Increment();
}

std::uint64_t telemetry::value(counter which) const
{
    return static_cast<std::uint64_t>(metrics_->counters[static_cast<std::size_t>(which)]->Value());
}

std::uint64_t telemetry::value(const decision::count_refusal& refusal) const
{
    return static_cast<std::uint64_t>(select(metrics_->refusals, refusal.reason, refusal.rank).Value());
}

void telemetry::log(log_source source, log_level level, std::string event, std::string detail)
{
    if (level < level_)
        return;
    log_line line{level, std::chrono::system_clock::now(), std::move(event), std::move(detail)};
    if (!log_rings_.at(static_cast<std::size_t>(source))->try_push(line))
        add(counter::log_lines_dropped);
}

void telemetry::write_pending_logs()
{
    log_line line;
    for (auto& log_ring : log_rings_) {
        while (log_ring->try_pop(line)) {
            const auto unix_ms =
                std::chrono::duration_cast<std::chrono::milliseconds>(line.time.time_since_epoch()).count();
            const nlohmann::json json{{"unix_ms", unix_ms},
                                      {"level", core::name_of(line.level)},
                                      {"instance", instance_},
                                      {"event", line.event},
                                      {"detail", line.detail}};
            const auto text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
            metrics_->logger.log(to_log4cplus(line.level), text);
        }
    }
}

std::string telemetry::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, metrics_->registry.Collect());
    return out.str();
}

} // namespace knapweed::net
