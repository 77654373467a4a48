#pragma once

#include "net/rpc_connector.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace knapweed::net {

/** One call of the method `execute`. */
struct operator_command {
    std::string command;
    std::string operation;     ///< empty when the client sent none
    std::string operator_name; ///< empty when the client sent none
};

/** A parsed `POST /operator`. The response has a placeholder for the result of each command. */
struct operator_call {
    std::vector<operator_command> commands;
    std::string response; ///< complete if there is no command, for example after an error
};

/** Parses operators' JSON-RPC requests. The decision thread executes the commands, so the generated stub only
    records them, and `complete` inserts the results later.
*/
class operator_rpc {
public:
    operator_rpc();
    operator_rpc(const operator_rpc&) = delete;
    operator_rpc& operator=(const operator_rpc&) = delete;
    ~operator_rpc();

    /** Parses a JSON-RPC request or batch and collects its commands. */
    [[nodiscard]] operator_call parse(const std::string& request);

    /** @param results one JSON object for each command. @returns the JSON-RPC response. */
    [[nodiscard]] static std::string complete(const operator_call& call,
                                              const std::vector<std::string>& results);

private:
    class server;

    rpc_connector connector_;
    std::unique_ptr<server> server_;
};

} // namespace knapweed::net
