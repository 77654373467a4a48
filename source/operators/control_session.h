#pragma once

#include "operators/control_options.h"

#include <functional>

namespace knapweed::operators {

/** Result of a call to one instance. */
struct call_result {
    bool reached = false; ///< whether a reply arrived before the timeout
    std::string body;     ///< a JSON-RPC response
};

/** Output and exit code of knapweedctl. */
struct control_outcome {
    exit_code code = exit_code::ok;
    std::string output; ///< for standard output
    std::string errors; ///< for standard error
};

/** Runs one command of knapweedctl against one or several instances.

    The transport and the clock are passed in as functions, so that tests need no sockets.
*/
class control_session {
public:
    /** Sends a JSON-RPC request to an address and waits for the reply until the timeout. */
    using call_function = std::function<call_result(const std::string& address, const std::string& request,
                                                    core::milliseconds timeout)>;
    /** Waits for a duration and returns the time since the session began. */
    using wait_function = std::function<core::milliseconds(core::milliseconds)>;

    /** @param operation unique identifier of the change; every instance that is tried receives the same
        one. */
    control_session(control_options options, std::string operation, call_function call, wait_function wait);

    /** Checks the command, runs it and, with the option `--wait`, waits until the change is in force. */
    [[nodiscard]] control_outcome run();

    static constexpr core::milliseconds poll_interval{200};
    /** Longer than `poll_timeout`, because a change may need several calls to the platform, each with its own
        timeout. */
    static constexpr core::milliseconds command_timeout{20000};
    static constexpr core::milliseconds poll_timeout{1000};
    /** Polls without an answer after which an instance is treated as unreachable. */
    static constexpr unsigned max_unanswered_polls = 5;

private:
    [[nodiscard]] std::string request(const std::string& line) const;
    void wait_until_in_force(std::uint64_t version, control_outcome& outcome);

    control_options options_;
    std::string operation_;
    call_function call_;
    wait_function wait_;
};

/** @returns a JSON text as one line of `name=value` pairs; nested names are joined by dots. */
[[nodiscard]] std::string one_line(const std::string& json);

} // namespace knapweed::operators
