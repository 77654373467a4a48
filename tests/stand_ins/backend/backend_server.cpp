#include "stand_ins/backend/backend_server.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace knapweed::stand_ins {

namespace {

constexpr std::string_view runs_prefix = "/runs/";
/** Status of a cancelled run. It is not registered, but common for requests that the client has cancelled. */
constexpr unsigned cancelled_status = 499;

bool is_idempotent(const http_request& request)
{
    const std::string value = header(request, "Knapweed-Idempotent");
    return value.empty() ? request.method() == http::verb::get : value == "true";
}

std::optional<std::uint64_t> query_number(const request_target& target, const std::string& name)
{
    const auto found = target.query.find(name);
    return found == target.query.end() ? std::nullopt : parse_number(found->second);
}

std::int64_t to_milliseconds(core::duration time)
{
    return std::chrono::duration_cast<core::milliseconds>(time).count();
}

} // namespace

backend_server::backend_server(const asio::any_io_executor& executor, const core::clock& clock,
                               const backend_options& options, std::uint64_t seed, run_ledger& ledger)
    : clock_(&clock), options_(options), ledger_(&ledger), random_(seed),
      health_(clock, options.health_lag, health_state{}), health_override_(options.initial_health_override),
      cold_requests_left_(options.cold_requests), restart_(executor),
      server_(executor, [this](http_request request) { return answer(std::move(request)); })
{}

void backend_server::listen(std::uint16_t port)
{
    server_.listen(port);
    port_ = server_.port();
}

asio::awaitable<std::optional<http_response>> backend_server::answer(http_request request)
{
    request_target target = parse_target(request.target());
    const std::string& path = target.path;
    const bool is_get = request.method() == http::verb::get;
    if (is_get && path == "/health")
        co_return health();
    if (is_get && path == "/statistics")
        co_return make_json_response(http::status::ok, statistics());
    if (is_get && path == "/runs")
        co_return make_json_response(http::status::ok, ledger_->list(""));
    if (is_get && path.starts_with(runs_prefix))
        co_return make_json_response(http::status::ok, ledger_->list(path.substr(runs_prefix.size())));
    if (request.method() == http::verb::delete_ && path.starts_with(runs_prefix))
        co_return cancel(path.substr(runs_prefix.size()));
    if (request.method() == http::verb::post && path == "/control")
        co_return handle_control_request(request);
    const std::string run_id = header(request, "Knapweed-Run-Id");
    auto response = co_await run(std::move(request), std::move(target));
    if (response && !run_id.empty())
        response->set("Knapweed-Run-Id", run_id);
    co_return response;
}

asio::awaitable<std::optional<http_response>> backend_server::run(http_request request, request_target target)
{
    if (running_.size() >= options_.slots) {
        ++counts_.shed;
        http_response shed = make_error(http::status::service_unavailable, "all slots are in use");
        shed.set("Knapweed-Not-Run", "true");
        co_return shed;
    }
    const std::shared_ptr<running_request> run = start(request, target);
    if (target.path.find("/crash") != std::string::npos)
        crash();
    const core::time_point started = clock_->now();
    boost::system::error_code cancelled;
    if (run->end != run_end::killed)
        co_await run->timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    count_end(run->end, clock_->now() - started);
    if (run->end == run_end::killed)
        co_return std::nullopt;
    std::erase_if(running_, [&run](const auto& entry) { return entry.second == run; });
    publish_health();
    co_return make_answer(request, target, run->end);
}

std::shared_ptr<backend_server::running_request> backend_server::start(const http_request& request,
                                                                       const request_target& target)
{
    core::duration time = run_time(target);
    auto run =
        std::make_shared<running_request>(running_request{asio::steady_timer{restart_.get_executor()}});
    if (const auto timeout = parse_number(header(request, "Knapweed-Timeout-Ms"))) {
        if (time > core::milliseconds{*timeout}) {
            time = core::milliseconds{*timeout};
            run->end = run_end::deadline;
        }
    }
    run->timer.expires_after(time);
    running_.emplace(header(request, "Knapweed-Run-Id"), run);
    ledger_->record_start(header(request, "Knapweed-Caller"), header(request, "Idempotency-Key"),
                          is_idempotent(request));
    ++counts_.runs;
    counts_.most_slots_in_use = std::max(counts_.most_slots_in_use, running_.size());
    if (leaving_) {
        ++counts_.runs_while_leaving;
        counts_.last_run_after_leaving = clock_->now() - leaving_since_;
    }
    publish_health();
    return run;
}

core::duration backend_server::run_time(const request_target& target)
{
    const auto mean = query_number(target, "run_ms");
    core::duration time =
        draw_run_time(random_, options_.distribution, mean ? core::milliseconds{*mean} : options_.run_mean,
                      options_.run_sigma);
    if (cold_requests_left_ > 0) {
        --cold_requests_left_;
        const std::chrono::duration<double, core::duration::period> cold_run_time =
            time * options_.cold_factor;
        time = std::chrono::duration_cast<core::duration>(cold_run_time);
    }
    return time;
}

http_response backend_server::make_answer(const http_request& request, const request_target& target,
                                          run_end end) const
{
    const std::string key = header(request, "Idempotency-Key");
    const bool finished = end == run_end::finished;
    const std::size_t bytes = query_number(target, "answer_bytes").value_or(options_.answer_bytes);
    const std::string_view type =
        options_.format == answer_format::json ? "application/json" : "application/octet-stream";
    http_response response = make_response(
        http::status::ok, type,
        make_answer_body(key, finished ? std::min(bytes, body_limit_bytes) : 0, options_.format));
    if (end == run_end::deadline)
        response.result(http::status::gateway_timeout);
    if (end == run_end::cancelled)
        response.result(cancelled_status);
    response.set("Echo-Key", key);
    return response;
}

void backend_server::count_end(run_end end, core::duration time)
{
    counts_.slot_time += time;
    if (end != run_end::finished)
        counts_.wasted_slot_time += time;
    switch (end) {
    case run_end::finished:
        ++counts_.finished;
        break;
    case run_end::deadline:
        ++counts_.deadline_passed;
        break;
    case run_end::cancelled:
        ++counts_.cancelled;
        break;
    case run_end::killed:
        ++counts_.killed;
        break;
    }
}

http_response backend_server::cancel(const std::string& run_id)
{
    const auto found = running_.find(run_id);
    if (run_id.empty() || found == running_.end())
        return make_error(http::status::not_found, "no such run");
    found->second->end = run_end::cancelled;
    found->second->timer.cancel();
    return make_json_response(http::status::ok, {{"cancelled", true}});
}

http_response backend_server::handle_control_request(const http_request& request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body(), nullptr, false);
    try {
        const auto requested_override = core::parse_name<health_override>(
            body.value("health_lie", std::string{core::name_of(health_override_)}));
        if (!requested_override)
            return make_error(http::status::bad_request, "unknown health_lie");
        const bool leaving = body.value("leaving", leaving_);
        const bool crash_requested = body.value("crash", false);
        health_override_ = *requested_override;
        if (leaving && !leaving_)
            leaving_since_ = clock_->now();
        leaving_ = leaving;
        publish_health();
        // A crash closes the connection of this call with the others.
        if (crash_requested)
            crash();
    }
    catch (const nlohmann::json::exception& error) {
        return make_error(http::status::bad_request, error.what());
    }
    return make_json_response(http::status::ok, nlohmann::json::object());
}

http_response backend_server::health()
{
    const health_state& state = health_.read();
    std::size_t busy = state.busy;
    if (health_override_ == health_override::idle)
        busy = 0;
    if (health_override_ == health_override::full)
        busy = options_.slots;
    const bool healthy = health_override_ != health_override::unhealthy;
    return make_json_response(healthy ? http::status::ok : http::status::service_unavailable,
                              {{"healthy", healthy}, {"leaving", state.leaving}, {"busy", busy}});
}

void backend_server::crash()
{
    ++counts_.crashes;
    for (const auto& [run_id, run] : running_) {
        run->end = run_end::killed;
        run->timer.cancel();
    }
    running_.clear();
    leaving_ = false;
    cold_requests_left_ = options_.cold_requests;
    publish_health();
    server_.close();
    restart_.expires_after(options_.restart_time);
    restart_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            server_.listen(port_);
    });
}

void backend_server::publish_health()
{
    health_.set({running_.size(), leaving_});
}

nlohmann::json backend_server::statistics() const
{
    return {{"service", options_.service},
            {"port", port_},
            {"ledger", ledger_->name()},
            {"slots", options_.slots},
            {"busy", running_.size()},
            {"most_slots_in_use", counts_.most_slots_in_use},
            {"runs", counts_.runs},
            {"finished", counts_.finished},
            {"shed", counts_.shed},
            {"cancelled", counts_.cancelled},
            {"deadline_passed", counts_.deadline_passed},
            {"killed", counts_.killed},
            {"crashes", counts_.crashes},
            {"leaving", leaving_},
            {"runs_while_leaving", counts_.runs_while_leaving},
            {"last_run_after_leaving_ms", to_milliseconds(counts_.last_run_after_leaving)},
            {"slot_time_ms", to_milliseconds(counts_.slot_time)},
            {"wasted_slot_time_ms", to_milliseconds(counts_.wasted_slot_time)},
            {"doubled_runs", ledger_->doubled_runs()}};
}

} // namespace knapweed::stand_ins
