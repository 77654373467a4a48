#include "command_line.h"
#include "entry_daemon.h"
#include "operators/settings_reader.h"

#include <csignal>
#include <cstdio>

namespace {

using namespace knapweed;

constexpr const char* usage = R"(usage: knapweedd --settings FILE
       knapweedd --check-config FILE
  -s, --settings FILE      serve with these settings
  -c, --check-config FILE  check the settings and exit
  -h, --help               show this text and exit
  -v, --version            show the version and exit
Exit status: 0 after a graceful shutdown, 1 when the address can't be listened on, 2 for bad settings or arguments.
)";

int serve(const daemons::command_line& line)
{
    const auto read = operators::read_settings(line.settings_file);
    for (const auto& error : read.errors)
        std::fprintf(stderr, "knapweedd: %s\n", operators::to_string(error).c_str());
    if (!read.errors.empty())
        return daemons::exit_bad_input;
    if (line.requested_action == daemons::command_line::action::check_config) {
        std::printf("%s: ok\n", line.settings_file.c_str());
        return daemons::exit_ok;
    }
    // A write to a connection that the other side closed must return an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    daemons::entry_daemon daemon(read.settings);
    return daemon.run();
}

} // namespace

int main(int argc, char** argv)
{
    return daemons::run_command(daemons::parse_command_line(argc, argv), "knapweedd", usage, serve);
}
