#include "core/system_clock.h"
#include "stand_ins/http/option_parser.h"
#include "stand_ins/http/process_lifetime.h"
#include "stand_ins/platform/platform_service.h"

#include <fstream>
#include <iostream>

using namespace knapweed;

namespace {

nlohmann::json read_instances(const std::string& file)
{
    if (file.empty())
        return {{"instances", nlohmann::json::array()}};
    std::ifstream stream{file};
    return nlohmann::json::parse(stream, nullptr, false);
}

} // namespace

int main(int argument_count, char** arguments)
{
    std::uint64_t port = 7000;
    std::uint64_t lifetime_seconds = 600;
    std::string instance_file;
    core::milliseconds instance_lag{0};
    stand_ins::option_parser options{"knapweed_platform",
                                     "Emulates the platform: table service, object store, instance list."};
    options.add_number("port", "port on 127.0.0.1", port, 1, 65535);
    options.add_text("instances", "FILE", "JSON file with the initial answer of GET /instances",
                     instance_file);
    options.add_milliseconds("instance-lag-ms", "time after which PUT /instances takes effect", instance_lag);
    options.add_number("lifetime-s", "seconds after which the process ends", lifetime_seconds, 1, 86400);
    if (const auto exit_code = options.parse(argument_count, arguments))
        return *exit_code;
    nlohmann::json instances = read_instances(instance_file);
    if (!instances.is_object() || !instances.contains("instances"))
        return options.fail("--instances: '" + instance_file + "' does not contain an instance list");
    try {
        const core::system_clock clock;
        boost::asio::io_context context;
        stand_ins::platform_service platform{context.get_executor(), clock, instance_lag,
                                             std::move(instances)};
        platform.listen(static_cast<std::uint16_t>(port));
        stand_ins::run_for_lifetime(context, lifetime_seconds);
    }
    catch (const std::exception& error) {
        std::cerr << "knapweed_platform: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
