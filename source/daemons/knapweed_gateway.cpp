#include "command_line.h"
#include "platform/platform.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>

namespace {

using namespace knapweed;

constexpr int exit_cannot_listen = 1;

constexpr const char* usage = R"(usage: knapweed-gateway [--settings FILE]
       knapweed-gateway --check-config FILE
  -s, --settings FILE      serve with these settings; without it, with those that the platform rendered
  -c, --check-config FILE  check the settings and exit
  -h, --help               show this text and exit
  -v, --version            show the version and exit
Exit status: 0 after a graceful shutdown, 1 when an address can't be listened on, 2 for bad settings or arguments.
)";

/** Has large blocks returned to the system when they are freed. By default the allocator keeps blocks of up
   to 32 MiB after a while, and the memory of bodies that were given up would stay with the process. */
void return_freed_memory()
{
    constexpr int large_block_bytes = 16384;
    (void)::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    (void)::mallopt(M_TRIM_THRESHOLD, 8 * large_block_bytes);
}

int serve(const daemons::command_line& line)
{
    const auto read = gateway::read_gateway_settings(line.settings_file);
    for (const auto& error : read.errors)
        std::fprintf(stderr, "knapweed-gateway: %s: %s\n", line.settings_file.c_str(), error.c_str());
    if (!read.errors.empty())
        return daemons::exit_bad_input;
    if (line.requested_action == daemons::command_line::action::check_config) {
        std::printf("%s: ok\n", line.settings_file.c_str());
        return daemons::exit_ok;
    }
    // A write to a connection that the other side closed must return an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    return_freed_memory();
    gateway::gateway instance(read.settings, line.settings_file, platform::make_dialect());
    if (const auto failure = instance.listen(); !failure.empty()) {
        std::fprintf(stderr, "knapweed-gateway: %s\n", failure.c_str());
        return exit_cannot_listen;
    }
    platform::store_watcher watcher(instance);
    watcher.start();
    instance.run();
    // Joining the thread pool of the logging library can take longer than the grace period, so the process
    // exits without destructors; the operating system frees its resources.
    std::quick_exit(daemons::exit_ok);
}

} // namespace

int main(int argc, char** argv)
{
    return daemons::run_command(daemons::parse_command_line(argc, argv, platform::settings_path()),
                                "knapweed-gateway", usage, serve);
}
