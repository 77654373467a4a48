#include "state/configuration_rules.h"

#include "core/rank.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstdint>
#include <set>

namespace knapweed::state {

namespace {

constexpr std::size_t longest_name = 64;
constexpr std::uint32_t total_permille = 1000;
constexpr std::uint32_t longest_run_ms = 3'600'000;
constexpr std::uint32_t shortest_window_ms = 100;
constexpr std::uint32_t longest_window_ms = 600'000; ///< equals the history that `shift_limiter` keeps
constexpr std::uint32_t max_slots = 10'000;
constexpr std::uint32_t max_connections = 100'000;
constexpr std::uint32_t max_queue_permille = 1'000'000;

/** @returns the path of a list's element, such as `services[orders]`. */
std::string element_path(std::string_view list, const std::string& name)
{
    return std::string{list} + "[" + name + "]";
}

/** Checks one configuration and collects its errors. */
class configuration_validator {
public:
    explicit configuration_validator(const wire::configuration& configuration) : configuration_(configuration)
    {}

    std::vector<configuration_error> run()
    {
        check_data_centres();
        check_services();
        check_ranks();
        check_links();
        return std::move(errors_);
    }

private:
    void add_error(std::string field, std::string reason)
    {
        errors_.push_back({std::move(field), std::move(reason)});
    }

    void check_range(const std::string& field, std::uint64_t value, std::uint64_t min, std::uint64_t max)
    {
        if (value < min || value > max) {
            add_error(field, "is " + std::to_string(value) + ", must be " + std::to_string(min) + " to " +
                                 std::to_string(max));
        }
    }

    void check_name(const std::string& field, const std::string& name, std::set<std::string>& names)
    {
        if (!is_name(name))
            add_error(field + ".name", "must have 1 to 64 characters of [A-Za-z0-9._-]");
        else if (!names.insert(name).second)
            add_error(field + ".name", "is used more than once");
    }

    void check_data_centres()
    {
        for (const auto& data_centre : configuration_.data_centres()) {
            const auto field = element_path("data_centres", data_centre.name());
            check_name(field, data_centre.name(), data_centres_);
            if (!is_name(data_centre.region()))
                add_error(field + ".region", "must have 1 to 64 characters of [A-Za-z0-9._-]");
            regions_.insert(data_centre.region());
        }
    }

    void check_services()
    {
        std::set<std::string> names;
        for (const auto& service : configuration_.services()) {
            const auto field = element_path("services", service.name());
            check_name(field, service.name(), names);
            check_range(field + ".max_run_ms", service.max_run_ms(), 1, longest_run_ms);
            check_range(field + ".shift_cap_permille", service.shift_cap_permille(), 1, total_permille);
            check_range(field + ".shift_window_ms", service.shift_window_ms(), shortest_window_ms,
                        longest_window_ms);
            std::set<std::string> servers;
            for (const auto& server : service.backend_servers())
                check_server(field + "." + element_path("backend_servers", server.name()), server, servers);
        }
    }

    void check_server(const std::string& field, const wire::backend_server& server,
                      std::set<std::string>& names)
    {
        check_name(field, server.name(), names);
        if (!data_centres_.contains(server.data_centre()))
            add_error(field + ".data_centre", "names no data centre of this configuration");
        if (!is_address(server.address()))
            add_error(field + ".address", "must be ip:port");
        else if (!addresses_.insert(server.address()).second)
            add_error(field + ".address", "is used by more than one backend server");
        check_range(field + ".slots", server.slots(), 1, max_slots);
        check_range(field + ".connections", server.connections(), server.slots(), max_connections);
    }

    void check_ranks()
    {
        std::set<std::string> names;
        std::uint64_t floors = 0;
        for (const auto& policy : configuration_.ranks()) {
            const auto field = element_path("ranks", policy.rank());
            if (!core::parse_name<core::rank>(policy.rank()))
                add_error(field + ".rank", "must be urgent, standard or bulk");
            else if (!names.insert(policy.rank()).second)
                add_error(field + ".rank", "is used more than once");
            check_range(field + ".floor_permille", policy.floor_permille(), 0, total_permille - 1);
            check_range(field + ".queue_per_slot_permille", policy.queue_per_slot_permille(), 0,
                        max_queue_permille);
            floors += policy.floor_permille();
        }
        if (floors >= total_permille)
            add_error("ranks.floor_permille", "sum is " + std::to_string(floors) + ", must be below 1000");
    }

    void check_links()
    {
        std::set<std::pair<std::string, std::string>> pairs;
        for (const auto& link : configuration_.links()) {
            const auto field = element_path("links", link.region_a() + "," + link.region_b());
            if (!regions_.contains(link.region_a()))
                add_error(field + ".region_a", "names no region of a data centre");
            if (!regions_.contains(link.region_b()))
                add_error(field + ".region_b", "names no region of a data centre");
            if (link.region_a() == link.region_b())
                add_error(field + ".region_b", "must differ from region_a");
            else if (!pairs.insert(std::minmax(link.region_a(), link.region_b())).second)
                add_error(field, "is listed more than once");
            if (link.bytes_per_second() == 0)
                add_error(field + ".bytes_per_second", "must be positive");
        }
    }

    const wire::configuration& configuration_;
    std::set<std::string> data_centres_;
    std::set<std::string> regions_;
    std::set<std::string> addresses_;
    std::vector<configuration_error> errors_;
};

bool is_ip(const std::string& host)
{
    in6_addr buffer{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &buffer) == 1;
    return inet_pton(AF_INET, host.c_str(), &buffer) == 1;
}

} // namespace

std::vector<configuration_error> validate(const wire::configuration& configuration)
{
    return configuration_validator{configuration}.run();
}

std::string describe(const std::vector<configuration_error>& errors)
{
    std::string text;
    for (const auto& error : errors)
        text += (text.empty() ? "" : "; ") + error.field + " " + error.reason;
    return text;
}

bool is_name(std::string_view text)
{
    const auto is_allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
               c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= longest_name && std::all_of(text.begin(), text.end(), is_allowed);
}

bool is_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const auto digits = text.substr(colon + 1);
    std::uint32_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    constexpr std::uint32_t highest_port = 65535;
    if (error != std::errc{} || end != digits.data() + digits.size() || port < 1 || port > highest_port)
        return false;
    return is_ip(std::string{text.substr(0, colon)});
}

} // namespace knapweed::state
