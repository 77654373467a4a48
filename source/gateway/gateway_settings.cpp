#include "gateway/gateway_settings.h"

#include "net/address.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <fstream>
#include <sstream>

namespace knapweed::gateway {

namespace {

namespace pt = boost::property_tree;

/** Reads and validates the values of one settings file and collects all errors. */
class value_reader {
public:
    value_reader(const pt::ptree& tree, std::vector<std::string>& errors) : tree_(tree), errors_(errors) {}

    std::string required(const std::string& key)
    {
        const auto value = tree_.get_optional<std::string>(path(key));
        if (!value || value->empty())
            errors_.push_back(key + " is required");
        return value.value_or("");
    }

    std::string address(const std::string& key)
    {
        auto text = required(key);
        if (!text.empty() && !net::parse_address(text))
            errors_.push_back(key + " must be ip:port");
        return text;
    }

    double number(const std::string& key, double default_value, double min, double max)
    {
        const auto text = tree_.get_optional<std::string>(path(key));
        if (!text || text->empty())
            return default_value;
        const auto value = tree_.get_optional<double>(path(key));
        if (value && *value >= min && *value <= max)
            return *value;
        std::ostringstream message;
        message << key << " must be a number from " << min << " to " << max;
        errors_.push_back(message.str());
        return default_value;
    }

    core::milliseconds time(const std::string& key, core::milliseconds default_value, double min_ms,
                            double max_ms)
    {
        const double value = number(key, static_cast<double>(default_value.count()), min_ms, max_ms);
        return core::milliseconds(static_cast<core::milliseconds::rep>(value));
    }

    /** Reads a time in seconds, which may have a fraction. */
    core::milliseconds seconds(const std::string& key, core::milliseconds default_value, double min_s,
                               double max_s)
    {
        const std::chrono::duration<double> value(
            number(key, std::chrono::duration<double>(default_value).count(), min_s, max_s));
        return std::chrono::round<core::milliseconds>(value);
    }

    /** Reads a size in megabytes. @returns bytes. */
    std::uint64_t megabytes(const std::string& key, std::uint64_t default_bytes, double min_mb, double max_mb)
    {
        constexpr double megabyte = 1e6;
        return static_cast<std::uint64_t>(
            number(key, static_cast<double>(default_bytes) / megabyte, min_mb, max_mb) * megabyte);
    }

    /** Reads fingerprints of 16 hexadecimal digits each, separated by commas. */
    std::vector<core::fingerprint> fingerprints(const std::string& key)
    {
        std::vector<core::fingerprint> result;
        std::istringstream list(tree_.get<std::string>(path(key), ""));
        for (std::string text; std::getline(list, text, ',');) {
            if (const auto value = core::parse_hex(text))
                result.push_back({*value});
            else
                errors_.push_back(key +
                                  " must list fingerprints of 16 hexadecimal digits, separated by commas");
        }
        return result;
    }

private:
    /** Splits `section.key` into the path of a tree node; section and key must not contain the dot itself. */
    static pt::ptree::path_type path(const std::string& key) { return {key, '.'}; }

    const pt::ptree& tree_;
    std::vector<std::string>& errors_;
};

void read_data_centres(const pt::ptree& tree, settings_result& result)
{
    const auto section = tree.get_child_optional("data_centres");
    if (!section || section->empty()) {
        result.errors.emplace_back("data_centres must list each data centre with its region");
        return;
    }
    for (const auto& [name, region] : *section)
        result.settings.data_centres[core::data_centre_id{name}] = core::region_id{region.data()};
}

} // namespace

settings_result parse_gateway_settings(const std::string& text)
{
    settings_result result;
    pt::ptree tree;
    std::istringstream in(text);
    try {
        pt::read_ini(in, tree);
    }
    catch (const pt::ini_parser_error& error) {
        result.errors.push_back("line " + std::to_string(error.line()) + ": " + error.message());
        return result;
    }
    value_reader reader(tree, result.errors);
    auto& settings = result.settings;
    settings.instance = core::instance_id{reader.required("instance.name")};
    settings.data_centre = core::data_centre_id{reader.required("instance.data_centre")};
    settings.region = core::region_id{reader.required("instance.region")};
    settings.caller_address = reader.address("listen.callers");
    settings.readiness_address = reader.address("listen.readiness");
    settings.lookup_address = reader.address("listen.lookups");
    settings.peer_address = reader.address("listen.peers");
    settings.metrics_address = reader.address("listen.metrics");
    settings.store_address = reader.address("platform.store");
    settings.grace_period = tree.get_optional<std::string>("timing.grace_s")
                                ? reader.seconds("timing.grace_s", settings.grace_period, 1, 600)
                                : reader.time("timing.grace_ms", settings.grace_period, 1000, 600000);
    settings.lookup_ttl = reader.time("timing.lookup_ttl_ms", settings.lookup_ttl, 100, 600000);
    settings.capacity = reader.number("instance.cpu_share", 1, 0.001, 1000) *
                        reader.number("instance.core_speed", 1, 0.001, 1000);
    settings.memory_bytes = reader.megabytes("instance.memory_mb", settings.memory_bytes, 16, 1000000);
    settings.max_descriptors = static_cast<unsigned>(
        reader.number("instance.max_descriptors", settings.max_descriptors, 64, 10000000));
    settings.largest_shift = reader.number("steering.largest_shift", settings.largest_shift, 0.001, 1);
    settings.cold_multiplier = reader.number("steering.cold_multiplier", settings.cold_multiplier, 0.1, 1000);
    settings.cold_slack = reader.number("steering.cold_slack", settings.cold_slack, 0, 100000);
    settings.retry_ratio = reader.number("steering.retry_ratio", settings.retry_ratio, 0, 10);
    settings.retry_extra = reader.number("steering.retry_extra", settings.retry_extra, 0, 1000000);
    settings.quota_margin.excess =
        reader.number("steering.quota_excess", settings.quota_margin.excess, 0, 10);
    settings.quota_margin.slack =
        reader.number("steering.quota_slack", settings.quota_margin.slack, 0, 100000);
    settings.log_lines_per_second = static_cast<unsigned>(
        reader.number("log.lines_per_second", settings.log_lines_per_second, 1, 100000));
    settings.released_requests = reader.fingerprints("quarantine.released");
    read_data_centres(tree, result);
    return result;
}

settings_result read_gateway_settings(const std::string& file)
{
    const std::ifstream in(file);
    if (!in)
        return {{}, {file + " can't be read"}};
    std::ostringstream text;
    text << in.rdbuf();
    return parse_gateway_settings(text.str());
}

steering::steerer_options make_steerer_options(const gateway_settings& settings, std::uint64_t seed)
{
    steering::steerer_options options;
    options.instance = settings.instance;
    options.location = {settings.data_centre, settings.region};
    options.capacity = settings.capacity;
    options.largest_shift = settings.largest_shift;
    options.cold_multiplier = settings.cold_multiplier;
    options.cold_slack = settings.cold_slack;
    options.retry_ratio = settings.retry_ratio;
    options.retry_extra = settings.retry_extra;
    options.quota_margin = settings.quota_margin;
    options.seed = seed;
    return options;
}

} // namespace knapweed::gateway
