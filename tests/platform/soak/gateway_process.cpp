#include "gateway_process.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace knapweed::soak {

gateway_process::gateway_process(std::string program, std::string directory, gateway_place place,
                                 event_history& history)
    : program_(std::move(program)), directory_(std::move(directory)), place_(std::move(place)),
      history_(history)
{
    start();
}

gateway_process::~gateway_process()
{
    if (process_ <= 0)
        return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
}

net::tcp::endpoint gateway_process::caller_address() const
{
    return {net::asio::ip::address_v4::loopback(), place_.first_port};
}

void gateway_process::write_settings() const
{
    const auto address = [this](int offset) {
        return "127.0.0.1:" + std::to_string(place_.first_port + offset) + "\n";
    };
    std::ofstream file(directory_ + "/" + place_.name + ".ini");
    file << "[instance]\nname = " << place_.name << "\ndata_centre = " << place_.data_centre
         << "\nregion = " << place_.region;
    if (place_.memory_mb > 0)
        file << "\nmemory_mb = " << place_.memory_mb;
    file << "\n[listen]\ncallers = " << address(0) << "lookups = " << address(1)
         << "readiness = " << address(2) << "metrics = " << address(3)
         << "peers = " << address(peer_port_offset) << "[platform]\nstore = " << place_.store_address
         << "\n[timing]\ngrace_ms = " << grace_period.count() << "\n[data_centres]\n";
    for (const auto& [data_centre, region] : place_.data_centres)
        file << data_centre << " = " << region << "\n";
}

void gateway_process::start()
{
    write_settings();
    ++incarnation_;
    told_to_end_ = false;
    const auto settings = directory_ + "/" + place_.name + ".ini";
    const auto log = directory_ + "/" + place_.name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions,
                                             STDERR_FILENO + 1); // the listening sockets of the stand-ins
    std::string option = "--settings";
    std::string program = runs_previous_program(incarnation_) ? place_.previous_program : program_;
    std::array<char*, 4> arguments{program.data(), option.data(), const_cast<char*>(settings.c_str()),
                                   nullptr};
    if (::posix_spawn(&process_, program.c_str(), &actions, nullptr, arguments.data(), environ) != 0)
        process_ = 0;
    posix_spawn_file_actions_destroy(&actions);
    history_.add("start", {{"gateway", place_.name}, {"process", process_}, {"program", program}});
}

void gateway_process::send(int signal)
{
    if (process_ <= 0)
        return;
    if (signal == SIGTERM || signal == SIGKILL)
        told_to_end_ = true;
    history_.add("signal", {{"gateway", place_.name}, {"signal", signal}});
    ::kill(process_, signal);
}

std::string gateway_process::check()
{
    int status = 0;
    if (process_ <= 0 || ::waitpid(process_, &status, WNOHANG) != process_)
        return {};
    process_ = 0;
    history_.add("end", {{"gateway", place_.name}, {"status", status}});
    if (told_to_end_)
        return {};
    return place_.name + " ended by itself, " +
           (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                : "exit status " + std::to_string(WEXITSTATUS(status)));
}

std::size_t gateway_process::open_descriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(process_) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

std::size_t gateway_process::peak_memory_kb() const
{
    std::ifstream file("/proc/" + std::to_string(process_) + "/status");
    std::string word;
    while (file >> word) {
        std::size_t kilobytes = 0;
        if (word == "VmHWM:" && file >> kilobytes)
            return kilobytes;
    }
    return 0;
}

} // namespace knapweed::soak
