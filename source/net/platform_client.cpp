#include "net/platform_client.h"

#include <nlohmann/json.hpp>

namespace knapweed::net {

namespace {

using nlohmann::json;
using state::platform_status;

// A configuration or snapshot of the target size has a few megabytes.
constexpr std::size_t answer_limit_bytes = 64U << 20U;

template <typename... Cases>
struct overloaded : Cases... {
    using Cases::operator()...;
};
template <typename... Cases>
overloaded(Cases...) -> overloaded<Cases...>;

/** Escapes a table, key or object name for use in a path; `/` separates parts of a name. */
std::string escape(const std::string& name)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string escaped;
    for (const char c : name) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || std::string_view("-._~/").find(c) != std::string_view::npos) {
            escaped += c;
            continue;
        }
        escaped += '%';
        escaped += digits[byte >> 4U];
        escaped += digits[byte & 15U];
    }
    return escaped;
}

std::string dump(const state::row_transaction& transaction)
{
    auto conditions = json::array();
    for (const auto& condition : transaction.conditions) {
        conditions.push_back(
            {{"table", condition.table}, {"key", condition.key}, {"version", condition.version}});
    }
    auto writes = json::array();
    for (const auto& write : transaction.writes) {
        writes.push_back({{"table", write.table},
                          {"key", write.key},
                          {"value", write.value ? json(*write.value) : json(nullptr)}});
    }
    return json{{"conditions", std::move(conditions)}, {"writes", std::move(writes)}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

void read_instances(const json& parsed, state::platform_reply& reply)
{
    for (const auto& item : parsed.at("instances")) {
        reply.instances.push_back(
            {core::instance_id{item.at("instance").get<std::string>()}, item.at("address").get<std::string>(),
             core::data_centre_id{item.at("data_centre").get<std::string>()},
             core::region_id{item.at("region").get<std::string>()}, item.value("leaving", false)});
    }
}

void read_successful_answer(const state::platform_operation& operation, std::string body,
                            state::platform_reply& reply)
{
    const overloaded read{
        [&](const state::row_read&) {
            const auto parsed = json::parse(body);
            reply.version = parsed.at("version").get<std::uint64_t>();
            reply.body = parsed.at("value").get<std::string>();
        },
        [&](const state::row_transaction&) {
            reply.version = json::parse(body).at("version").get<std::uint64_t>();
        },
        [&](const state::object_read&) { reply.body = std::move(body); }, [](const state::object_write&) {},
        [&](const state::instance_list_read&) { read_instances(json::parse(body), reply); }};
    std::visit(read, operation);
}

bool is_read(const state::platform_operation& operation)
{
    return !std::holds_alternative<state::row_transaction>(operation) &&
           !std::holds_alternative<state::object_write>(operation);
}

} // namespace

outgoing_request make_platform_request(const state::platform_operation& operation, std::string& body)
{
    outgoing_request request;
    request.method = "GET";
    const overloaded make{
        [&](const state::row_read& read) {
            request.target = "/tables/" + escape(read.table) + "/" + escape(read.key);
        },
        [&](const state::row_transaction& transaction) {
            request.method = "POST";
            request.target = "/transactions";
            request.fields = {{"Content-Type", "application/json"}};
            body = dump(transaction);
        },
        [&](const state::object_read& read) { request.target = "/objects/" + escape(read.name); },
        [&](const state::object_write& write) {
            request.method = "PUT";
            request.target = "/objects/" + escape(write.name);
            body = write.body;
        },
        [&](const state::instance_list_read&) { request.target = "/instances"; }};
    std::visit(make, operation);
    request.body = body;
    return request;
}

void read_platform_answer(const state::platform_operation& operation, unsigned http_status, std::string body,
                          state::platform_reply& reply)
{
    reply.status = platform_status::timed_out;
    if (http_status == 404)
        reply.status = platform_status::not_found;
    if (http_status == 409)
        reply.status = platform_status::conflict;
    if (http_status != 200)
        return;
    try {
        read_successful_answer(operation, std::move(body), reply);
        reply.status = platform_status::ok;
    }
    catch (const json::exception&) {
        reply.instances.clear();
    }
}

platform_client::platform_client(http_client& client, std::string address, telemetry& reports)
    : client_(client), address_(std::move(address)), reports_(reports)
{}

asio::awaitable<state::platform_reply> platform_client::execute(state::platform_call call)
{
    state::platform_reply reply;
    reply.call = call.call;
    std::string body;
    const auto request = make_platform_request(call.operation, body);
    const auto deadline = std::chrono::steady_clock::now() + call.timeout;
    reports_.add(counter::platform_calls);
    auto result = co_await client_.fetch(address_, request, call.timeout, answer_limit_bytes);
    // The platform may close an idle connection while a request is in transit; a read can be repeated safely.
    const auto remaining = deadline - std::chrono::steady_clock::now();
    if (result.status == fetch_status::lost && result.reused_connection && is_read(call.operation) &&
        remaining > core::duration::zero())
        result = co_await client_.fetch(address_, request, remaining, answer_limit_bytes);
    reports_.add(counter::bytes_to_platform, result.bytes_sent);
    if (result.status == fetch_status::answered)
        read_platform_answer(call.operation, result.http_status, std::move(result.body), reply);
    else
        reply.status = result.status == fetch_status::not_sent ? platform_status::unreachable
                                                               : platform_status::timed_out;
    if (reply.status == platform_status::unreachable || reply.status == platform_status::timed_out)
        reports_.add(counter::platform_calls_failed);
    co_return reply;
}

} // namespace knapweed::net
