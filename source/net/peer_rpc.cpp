#include "net/peer_rpc.h"

#include "peer_rpc_server.h"

#include <google/protobuf/util/json_util.h>
#include <json/writer.h>

namespace knapweed::net {

class peer_rpc::server final : public peer_rpc_server {
public:
    server(jsonrpc::AbstractServerConnector& connector, event_port& events, telemetry& reports)
        : peer_rpc_server(connector), events_(events), reports_(reports)
    {
        writer_["indentation"] = "";
    }

    void deliver(const Json::Value& batch) override
    {
        for (const auto& message_json : batch)
            deliver_message(message_json);
    }

private:
    void deliver_message(const Json::Value& message_json)
    {
        decision::peer_message_received received;
        const auto text = Json::writeString(writer_, message_json);
        if (!google::protobuf::util::JsonStringToMessage(text, &received.message).ok()) {
            reports_.add(counter::peer_messages_malformed);
            return;
        }
        reports_.add(counter::peer_messages_received);
        if (!events_.try_send(std::move(received)))
            reports_.add(counter::peer_messages_dropped);
    }

    event_port& events_;
    telemetry& reports_;
    Json::StreamWriterBuilder writer_;
};

peer_rpc::peer_rpc(event_port& events, telemetry& reports)
    : server_(std::make_unique<server>(connector_, events, reports))
{}

peer_rpc::~peer_rpc() = default;

std::string peer_rpc::receive(const std::string& request)
{
    return connector_.respond(request);
}

} // namespace knapweed::net
