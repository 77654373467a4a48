#include "net/operator_rpc.h"

#include "operator_rpc_server.h"

#include <nlohmann/json.hpp>

namespace knapweed::net {

namespace {

constexpr const char* command_index_member = "command_index";

using nlohmann::json;

void insert_result(json& response, const std::vector<std::string>& results)
{
    const auto result = response.find("result");
    if (result == response.end() || !result->is_object() || !result->contains(command_index_member))
        return;
    const auto index = (*result)[command_index_member].get<std::size_t>();
    if (index < results.size())
        *result = json::parse(results[index], nullptr, false);
}

} // namespace

class operator_rpc::server final : public operator_rpc_server {
public:
    using operator_rpc_server::operator_rpc_server;

    /** The generated stub requires every parameter it declares, so the optional ones are read here. */
    void executeI(const Json::Value& request, Json::Value& response) override
    {
        operation_ = optional_text(request, "operation");
        operator_name_ = optional_text(request, "operator");
        operator_rpc_server::executeI(request, response);
    }

    Json::Value execute(const std::string& command) override
    {
        Json::Value result;
        result[command_index_member] = static_cast<Json::UInt64>(commands_.size());
        commands_.push_back({command, std::move(operation_), std::move(operator_name_)});
        return result;
    }

    [[nodiscard]] std::vector<operator_command> take_commands() { return std::exchange(commands_, {}); }

private:
    static std::string optional_text(const Json::Value& request, const char* name)
    {
        const bool has_text = request.isMember(name) && request[name].isString();
        return has_text ? request[name].asString() : std::string{};
    }

    std::vector<operator_command> commands_;
    std::string operation_;
    std::string operator_name_;
};

operator_rpc::operator_rpc() : server_(std::make_unique<server>(connector_)) {}

operator_rpc::~operator_rpc() = default;

operator_call operator_rpc::parse(const std::string& request)
{
    operator_call call;
    call.response = connector_.respond(request);
    call.commands = server_->take_commands();
    return call;
}

std::string operator_rpc::complete(const operator_call& call, const std::vector<std::string>& results)
{
    if (call.commands.empty())
        return call.response;
    auto response = json::parse(call.response, nullptr, false);
    if (response.is_array()) {
        for (auto& element : response)
            insert_result(element, results);
    }
    else if (response.is_object()) {
        insert_result(response, results);
    }
    return response.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace knapweed::net
