#include "stand_ins/platform/platform_service.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace knapweed::stand_ins {

namespace {

constexpr std::string_view tables_prefix = "/tables/";
constexpr std::string_view objects_prefix = "/objects/";

row_name parse_row_name(const nlohmann::json& entry)
{
    return {entry.at("table").get<std::string>(), entry.at("key").get<std::string>()};
}

/** @throws nlohmann::json::exception when the text is not a transaction. */
table_transaction parse_transaction(const std::string& text)
{
    const nlohmann::json body = nlohmann::json::parse(text);
    table_transaction transaction;
    for (const auto& condition : body.value("conditions", nlohmann::json::array()))
        transaction.conditions.emplace_back(parse_row_name(condition),
                                            condition.at("version").get<std::uint64_t>());
    for (const auto& write : body.value("writes", nlohmann::json::array())) {
        const nlohmann::json& value = write.at("value");
        transaction.writes.emplace_back(
            parse_row_name(write), value.is_null() ? std::nullopt : std::optional{value.get<std::string>()});
    }
    return transaction;
}

bool is_write(const http_request& request)
{
    return request.method() != http::verb::get;
}

} // namespace

platform_service::platform_service(const asio::any_io_executor& executor, const core::clock& clock,
                                   core::milliseconds instance_lag, nlohmann::json instances)
    : executor_(executor), instances_(clock, instance_lag, std::move(instances)),
      server_(executor, [this](http_request request) { return answer(std::move(request)); })
{}

asio::awaitable<void> platform_service::wait(core::duration time)
{
    if (time <= core::duration::zero())
        co_return;
    asio::steady_timer timer{executor_, time};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<std::optional<http_response>> platform_service::answer(http_request request)
{
    const std::string path = parse_target(request.target()).path;
    if (auto response = handle_control_request(request, path))
        co_return response;
    // Half of the delay passes before the change takes effect and half after it, so the change of a call that
    // the client has given up may still take effect.
    const core::duration half_delay = faults_.delay / 2;
    co_await wait(half_delay);
    if (faults_.outage) {
        ++refused_by_outage_;
        co_return std::nullopt;
    }
    http_response response = handle_request(request, path);
    co_await wait(half_delay);
    if (is_write(request) && faults_.lose_answers_every != 0 && writes_ % faults_.lose_answers_every == 0) {
        ++lost_answers_;
        co_return std::nullopt;
    }
    co_return response;
}

http_response platform_service::handle_request(const http_request& request, const std::string& path)
{
    ++(is_write(request) ? writes_ : reads_);
    if (path == "/instances" && request.method() == http::verb::get)
        return make_json_response(http::status::ok, instances_.read());
    if (path.starts_with(tables_prefix) && request.method() == http::verb::get)
        return read_row(path.substr(tables_prefix.size()));
    if (path == "/transactions" && request.method() == http::verb::post)
        return commit(request);
    if (path.starts_with(objects_prefix))
        return handle_object_request(request, path.substr(objects_prefix.size()));
    return make_error(http::status::not_found, "unknown path");
}

http_response platform_service::read_row(const std::string& path)
{
    const std::size_t slash = path.find('/');
    if (slash == std::string::npos)
        return make_error(http::status::bad_request, "expected /tables/TABLE/KEY");
    const row_name name{path.substr(0, slash), path.substr(slash + 1)};
    const auto row = faults_.stale_reads ? tables_.read_previous(name) : tables_.read(name);
    if (!row)
        return make_error(http::status::not_found, "no such row");
    return make_json_response(http::status::ok, {{"version", row->version}, {"value", row->value}});
}

http_response platform_service::commit(const http_request& request)
{
    try {
        const auto version = tables_.commit(parse_transaction(request.body()));
        if (version)
            return make_json_response(http::status::ok, {{"version", *version}});
        ++conflicts_;
        return make_error(http::status::conflict, "conflict");
    }
    catch (const nlohmann::json::exception& error) {
        return make_error(http::status::bad_request, error.what());
    }
}

http_response platform_service::handle_object_request(const http_request& request, const std::string& name)
{
    if (request.method() == http::verb::put) {
        objects_[name] = request.body();
        return make_json_response(http::status::ok, nlohmann::json::object());
    }
    const auto found = objects_.find(name);
    if (request.method() != http::verb::get || found == objects_.end())
        return make_error(http::status::not_found, "no such object");
    return make_response(http::status::ok, "application/octet-stream", found->second);
}

std::optional<http_response> platform_service::handle_control_request(const http_request& request,
                                                                      const std::string& path)
{
    if (path == "/faults" && request.method() == http::verb::post)
        return replace_faults(request);
    if (path == "/instances" && request.method() == http::verb::put)
        return replace_instances(request);
    if (path == "/statistics" && request.method() == http::verb::get)
        return make_json_response(http::status::ok, statistics());
    return std::nullopt;
}

http_response platform_service::replace_faults(const http_request& request)
{
    const auto plan = parse_fault_plan(nlohmann::json::parse(request.body(), nullptr, false));
    if (!plan)
        return make_error(http::status::bad_request, "not a fault plan");
    faults_ = *plan;
    return make_json_response(http::status::ok, nlohmann::json::object());
}

http_response platform_service::replace_instances(const http_request& request)
{
    nlohmann::json list = nlohmann::json::parse(request.body(), nullptr, false);
    if (!list.is_object() || !list.contains("instances") || !list["instances"].is_array())
        return make_error(http::status::bad_request, "not an instance list");
    instances_.set(std::move(list));
    return make_json_response(http::status::ok, nlohmann::json::object());
}

nlohmann::json platform_service::statistics() const
{
    return {{"reads", reads_},
            {"writes", writes_},
            {"conflicts", conflicts_},
            {"lost_answers", lost_answers_},
            {"refused_by_outage", refused_by_outage_}};
}

} // namespace knapweed::stand_ins
