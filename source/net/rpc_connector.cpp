#include "net/rpc_connector.h"

#include <exception>

namespace knapweed::net {

bool rpc_connector::SendResponse(const std::string& response, void* context)
{
    *static_cast<std::string*>(context) = response;
    return true;
}

std::string rpc_connector::respond(const std::string& request)
{
    std::string response;
    try {
        OnRequest(request, &response);
    }
    catch (const std::exception&) {
        // jsoncpp throws if the input is nested too deeply.
        return R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"JSON could not be parsed"}})";
    }
    return response;
}

} // namespace knapweed::net
