#include "experiment/deployment.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <set>
#include <sstream>

namespace knapweed::experiment {

namespace {

namespace pt = boost::property_tree;

constexpr std::string_view region_prefix = "region ";

/** Reads the keys of one section and reports malformed, negative and unknown ones. */
class section_reader {
public:
    section_reader(std::string name, const pt::ptree& section, std::vector<std::string>& errors)
        : name_(std::move(name)), section_(section), errors_(errors)
    {}

    template <typename Number>
    void read(const char* key, Number& value)
    {
        known_.insert(key);
        const auto text = section_.get_optional<std::string>(key);
        if (!text)
            return;
        const auto number = section_.get_optional<double>(key);
        if (number && *number >= 0)
            value = static_cast<Number>(*number);
        else
            errors_.push_back(name_ + "." + key + " must be a number that is not negative");
    }

    void read(const char* key, core::milliseconds& value)
    {
        auto count = value.count();
        read(key, count);
        value = core::milliseconds(count);
    }

    void reject_unknown_keys()
    {
        for (const auto& [key, value] : section_) {
            if (!known_.contains(key))
                errors_.push_back(name_ + "." + key + " is unknown");
        }
    }

private:
    std::string name_;
    const pt::ptree& section_;
    std::vector<std::string>& errors_;
    std::set<std::string> known_;
};

void read_region(section_reader& reader, region_shape& region)
{
    reader.read("data_centres", region.data_centres);
    reader.read("instances", region.instances);
    reader.read("servers", region.servers);
    reader.read("requests_per_second", region.requests_per_second);
    reader.read("phase", region.phase);
}

void read_service(section_reader& reader, service_shape& service)
{
    reader.read("object_affinity", service.object_affinity);
    reader.read("slots", service.slots);
    reader.read("queue", service.queue);
    reader.read("objects", service.objects);
    reader.read("cached_requests", service.cached_requests);
    reader.read("cached_run_ms", service.cached_run_time);
    reader.read("fetch_run_ms", service.fetch_run_time);
    reader.read("target_ms", service.target);
    reader.read("timeout_ms", service.timeout);
    reader.read("time_limit_ms", service.time_limit);
    reader.read("late_worth", service.late_worth);
}

void read_run(section_reader& reader, deployment& description)
{
    reader.read("delay_in_data_centre_ms", description.delay_in_data_centre);
    reader.read("delay_in_region_ms", description.delay_in_region);
    reader.read("delay_between_regions_ms", description.delay_between_regions);
    reader.read("swing", description.swing);
    reader.read("swing_period_ms", description.swing_period);
    reader.read("length_ms", description.length);
    reader.read("power_cut_at_ms", description.power_cut_at);
}

} // namespace

deployment_result parse_deployment(const std::string& text)
{
    deployment_result result;
    pt::ptree tree;
    try {
        std::istringstream input(text);
        pt::read_ini(input, tree);
    }
    catch (const pt::ini_parser_error& error) {
        result.errors.push_back("line " + std::to_string(error.line()) + ": " + error.message());
        return result;
    }
    for (const auto& [name, section] : tree) {
        section_reader reader(name, section, result.errors);
        if (name.starts_with(region_prefix)) {
            auto& region = result.description.regions.emplace_back();
            region.name = name.substr(region_prefix.size());
            read_region(reader, region);
        }
        else if (name == "service") {
            read_service(reader, result.description.service);
        }
        else if (name == "run") {
            read_run(reader, result.description);
        }
        else {
            result.errors.push_back("section " + name + " is unknown");
            continue;
        }
        reader.reject_unknown_keys();
    }
    if (result.description.regions.empty())
        result.errors.emplace_back("there is no section [region NAME]");
    return result;
}

} // namespace knapweed::experiment
