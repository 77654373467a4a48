#pragma once

#include "event_history.h"
#include "net/asio_types.h"

#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace knapweed::soak {

/** Offset of the peers' port from the first one. */
inline constexpr std::uint16_t peer_port_offset = 4;

/** Addresses and place of one gateway; they stay the same when its process is replaced. */
struct gateway_place {
    std::string name;
    std::string data_centre;
    std::string region;
    std::uint16_t first_port = 0; ///< callers; look-ups, readiness, metrics and peers follow
    std::string store_address;
    /** All data centres with their regions. */
    std::vector<std::pair<std::string, std::string>> data_centres{{"a", "east"}, {"b", "west"}};
    /** Path of an earlier build of the program, which every second process of the gateway runs, from the
     * first on; empty for none. */
    std::string previous_program;
    unsigned memory_mb = 0; ///< of the machine, 0 for the default of the settings
};

/** The real gateway as a process of its own, controlled by signals. */
class gateway_process {
public:
    /** @param program path of knapweed-gateway. @param directory for its settings and its log. */
    gateway_process(std::string program, std::string directory, gateway_place place, event_history& history);
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    ~gateway_process();

    [[nodiscard]] const gateway_place& place() const noexcept { return place_; }
    [[nodiscard]] net::tcp::endpoint caller_address() const;
    /** @returns whether a process of the gateway runs the earlier build. */
    [[nodiscard]] bool runs_previous_program(int incarnation) const
    {
        return !place_.previous_program.empty() && incarnation % 2 == 1;
    }
    /** @returns the number of processes started so far. */
    [[nodiscard]] int incarnation() const noexcept { return incarnation_; }
    [[nodiscard]] bool running() const noexcept { return process_ > 0; }
    /** @returns whether the process was told to end. */
    [[nodiscard]] bool told_to_end() const noexcept { return told_to_end_; }

    void start();
    /** Sends a signal; nothing happens when the process has ended. */
    void send(int signal);
    /** Notices the end of the process. @returns a description of an end that nobody asked for, or an empty
     * text. */
    [[nodiscard]] std::string check();
    /** @returns the greatest resident memory so far, in kilobytes; 0 when it can't be read. */
    [[nodiscard]] std::size_t peak_memory_kb() const;
    /** @returns the number of open descriptors; 0 when it can't be read. */
    [[nodiscard]] std::size_t open_descriptors() const;

private:
    void write_settings() const;

    std::string program_;
    std::string directory_;
    gateway_place place_;
    event_history& history_;
    pid_t process_ = 0;
    int incarnation_ = 0;
    bool told_to_end_ = false;
};

/** Time from SIGTERM to the end of a process. */
inline constexpr core::milliseconds grace_period{3000};

} // namespace knapweed::soak
