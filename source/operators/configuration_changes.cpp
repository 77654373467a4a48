#include "operators/configuration_changes.h"

#include "operators/apply_command.h"
#include "operators/drain_forecast.h"

namespace knapweed::operators {

namespace {

using nlohmann::json;

/** @returns the command for the change record, without the configuration of `config apply`, which the history
    row contains anyway. */
std::string summary_of(const std::string& line)
{
    constexpr std::string_view apply = "config apply";
    return line.starts_with(apply) ? std::string{apply} : line;
}

json describe_change(std::uint64_t version, const wire::change_record& change)
{
    return {{"version", version},
            {"operator", change.operator_name()},
            {"operation", change.operation()},
            {"unix_ms", change.unix_ms()},
            {"replaced_version", change.replaced_version()},
            {"summary", change.summary()}};
}

void add_forecast(const std::vector<drain_forecast>& forecasts, json& body, std::string& text)
{
    auto& list = body["forecast"] = json::array();
    for (const auto& forecast : forecasts) {
        const auto seconds = static_cast<double>(forecast.duration.count()) / 1000;
        list.push_back({{"service", forecast.service.str()},
                        {"share", forecast.share},
                        {"cap", forecast.cap.share},
                        {"window_ms", forecast.cap.window.count()},
                        {"seconds", seconds}});
        text += "\n" + forecast.service.str() + ": " + percent(forecast.share) +
                " of its region's traffic has to move, at most " + percent(forecast.cap.share) + " in " +
                std::to_string(forecast.cap.window.count()) + " ms, so about " +
                std::to_string(forecast.duration.count() / 1000) + " s";
    }
}

} // namespace

void configuration_changes::publish(const command& change, const decision::operator_command_received& input)
{
    if (input.operation.size() > longest_operation || input.operator_name.size() > longest_operator_name) {
        answer_(input.exchange, refuse("`operation` may have 128 bytes and `operator` 64"));
        return;
    }
    const auto& current = node_.configuration().current();
    // The first configuration is made by `config apply`; it is written on condition that the table has none.
    if (current.version() == 0 && !std::holds_alternative<config_apply_command>(change)) {
        answer_(input.exchange, refuse("no configuration is known yet, so there is nothing to change"));
        return;
    }
    if (!input.operation.empty() && current.change().operation() == input.operation) {
        answer_(input.exchange, committed(change, current));
        return;
    }
    const auto candidate = apply_command(current, change);
    if (const auto* error = std::get_if<command_error>(&candidate)) {
        answer_(input.exchange, refuse(*error));
        return;
    }
    node_.configuration().publish(
        std::get<wire::configuration>(candidate), current.version(), origin_of(input),
        [this, exchange = input.exchange, change](const state::publish_result& result) {
            on_published(exchange, change, result);
        });
}

state::publish_origin configuration_changes::origin_of(const decision::operator_command_received& input)
{
    state::publish_origin origin{input.operation, input.operator_name, summary_of(input.command)};
    if (origin.operation.empty()) {
        const auto& options = node_.shared().options;
        origin.operation = options.instance.str() + "-" + std::to_string(options.incarnation.value) + "-" +
                           std::to_string(next_operation_++);
    }
    if (origin.operator_name.empty())
        origin.operator_name = "unnamed";
    return origin;
}

void configuration_changes::on_published(core::exchange_id exchange, const command& change,
                                         const state::publish_result& result)
{
    const std::string status{core::name_of(result.status)};
    if (result.status == state::publish_status::committed) {
        answer_(exchange, committed(change, result.configuration));
        return;
    }
    const auto reason =
        result.status == state::publish_status::invalid ? state::describe(result.errors) : result.detail;
    auto answer = refuse(status + ": " + reason);
    answer.body["status"] = status;
    if (result.status == state::publish_status::conflict)
        answer.body["winner"] =
            describe_change(result.configuration.version(), result.configuration.change());
    for (const auto& error : result.errors)
        answer.body["errors"].push_back({{"field", error.field}, {"reason", error.reason}});
    answer_(exchange, answer);
}

command_answer configuration_changes::committed(const command& change,
                                                const wire::configuration& written) const
{
    const auto version = written.version();
    std::string text = "version " + std::to_string(version) + " is committed";
    command_answer answer{true,
                          {{"status", core::name_of(state::publish_status::committed)},
                           {"version", version},
                           {"operation", written.change().operation()}}};
    const auto* drain = std::get_if<drain_command>(&change);
    if (drain != nullptr && drain->drained && drain->target == drain_target::data_centre)
        add_forecast(forecast_drain(written, core::data_centre_id{drain->name}), answer.body, text);
    answer.body["text"] = std::move(text);
    return answer;
}

void configuration_changes::history(core::exchange_id exchange)
{
    const auto newest = node_.configuration().version();
    state::read_configuration_history(
        node_.platform(), newest, history_rows,
        [this, exchange](const auto& result) { answer_(exchange, history_answer(result)); });
}

command_answer configuration_changes::history_answer(const state::history_result& result) const
{
    if (!result.complete && result.entries.empty())
        return refuse("the table service can't be reached, so the history can't be read now");
    json list = json::array();
    std::string text;
    for (const auto& entry : result.entries) {
        list.push_back(describe_change(entry.version, entry.change));
        text += (text.empty() ? "" : "\n") + std::to_string(entry.version) + " by " +
                entry.change.operator_name() + ", replaced " +
                std::to_string(entry.change.replaced_version()) + ": " + entry.change.summary();
    }
    if (!result.complete)
        text += "\nolder versions could not be read";
    return {true, {{"versions", std::move(list)}, {"complete", result.complete}, {"text", std::move(text)}}};
}

} // namespace knapweed::operators
