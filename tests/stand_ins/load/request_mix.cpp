#include "stand_ins/load/request_mix.h"

#include <numeric>
#include <set>

namespace knapweed::stand_ins {

namespace {

const std::set<std::string> known_members{"service",    "path",       "method",     "rank",         "share",
                                          "idempotent", "timeout_ms", "body_bytes", "answer_bytes", "run_ms"};

/** Parses one element of a mix.

    @returns what is wrong, or an empty text.
    @throws nlohmann::json::exception when a member has the wrong type.
*/
std::string parse_kind(const nlohmann::json& json, request_kind& kind)
{
    for (const auto& [name, value] : json.items()) {
        if (!known_members.contains(name))
            return "unknown member '" + name + "'";
    }
    kind.service = json.at("service").get<std::string>();
    kind.path = json.value("path", kind.path);
    if (!kind.path.starts_with('/'))
        return "path must begin with '/'";
    kind.method = http::string_to_verb(json.value("method", "GET"));
    if (kind.method == http::verb::unknown)
        return "unknown method";
    const auto rank = core::parse_name<core::rank>(json.value("rank", "standard"));
    if (!rank)
        return "unknown rank";
    kind.rank = *rank;
    kind.share = json.value("share", kind.share);
    if (!(kind.share > 0))
        return "share must be positive";
    kind.idempotent = json.value("idempotent", kind.method == http::verb::get);
    kind.timeout = core::milliseconds{json.value("timeout_ms", std::uint32_t{5000})};
    if (kind.timeout < core::milliseconds{1})
        return "timeout_ms must be positive";
    kind.body_bytes = json.value("body_bytes", std::uint32_t{0});
    if (json.contains("answer_bytes"))
        kind.answer_bytes = json["answer_bytes"].get<std::uint32_t>();
    if (json.contains("run_ms"))
        kind.run_ms = json["run_ms"].get<std::uint32_t>();
    return "";
}

} // namespace

std::string request_kind::target() const
{
    std::string text = path;
    const auto append = [&text](std::string_view name, const std::optional<std::uint64_t>& value) {
        if (value) {
            text += text.find('?') == std::string::npos ? '?' : '&';
            text.append(name).append("=").append(std::to_string(*value));
        }
    };
    append("answer_bytes", answer_bytes);
    append("run_ms", run_ms);
    return text;
}

std::optional<request_mix> parse_mix(const nlohmann::json& json, std::string& error)
{
    if (!json.is_array() || json.empty()) {
        error = "expected a JSON array with at least one entry";
        return std::nullopt;
    }
    request_mix mix;
    for (const auto& item : json) {
        try {
            error = parse_kind(item, mix.emplace_back());
        }
        catch (const nlohmann::json::exception& failure) {
            error = failure.what();
        }
        if (!error.empty()) {
            error.insert(0, "entry " + std::to_string(mix.size()) + ": ");
            return std::nullopt;
        }
    }
    return mix;
}

const request_kind& pick_kind(const request_mix& mix, core::random_source& random)
{
    const double total = std::accumulate(
        mix.begin(), mix.end(), 0.0, [](double sum, const request_kind& kind) { return sum + kind.share; });
    double remaining = random.fraction() * total;
    for (const request_kind& kind : mix) {
        remaining -= kind.share;
        if (remaining < 0)
            return kind;
    }
    return mix.back();
}

} // namespace knapweed::stand_ins
