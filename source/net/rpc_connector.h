#pragma once

#include <jsonrpccpp/server/abstractserverconnector.h>
#include <string>

namespace knapweed::net {

/** Passes JSON-RPC requests that the HTTP server received to a generated server stub. */
class rpc_connector final : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string& response, void* context) override;

    /** @returns the JSON-RPC response to a request; empty for a notification. */
    [[nodiscard]] std::string respond(const std::string& request);
};

} // namespace knapweed::net
