#include "forwarding_fixture.h"

#include <boost/asio/post.hpp>
#include <future>

namespace knapweed::test {

namespace {

/** Cores with which an instance accepts the least number of relayed requests. */
constexpr double small_capacity = 0.05;
constexpr unsigned lines_per_second = 10000; ///< of the log

/** @returns a name for each fixture: logs of the same name share a logger, and one removes the other's
 * output.
 */
std::string make_log_name()
{
    static std::atomic<int> fixtures = 0;
    return "test" + std::to_string(fixtures++);
}

steering::traffic_policy make_policy(bool idempotent, core::milliseconds timeout, unsigned max_attempts,
                                     std::uint64_t longest_body)
{
    steering::route route;
    route.name = "r";
    route.host = "shop.example";
    route.prefix = "/orders/";
    route.idempotent = idempotent;
    route.timeout = timeout;
    route.target_latency = timeout;
    route.max_attempts = max_attempts;
    route.shares = {{core::service_id{"orders"}, 1}};
    steering::traffic_policy policy;
    policy.version = 1;
    policy.routes = {route, route};
    policy.routes.back().name = "files";
    policy.routes.back().prefix = "/files/";
    policy.routes.back().large_answers = true;
    policy.limits.header_bytes = 1024;
    policy.limits.body_bytes = longest_body;
    return policy;
}

} // namespace

forwarding_fixture::forwarding_fixture(std::vector<std::function<scripted_reply(const std::string&)>> scripts,
                                       bool idempotent, core::milliseconds timeout, unsigned max_attempts,
                                       body_sizes sizes)
    : bodies_(gateway::make_body_limits(sizes.memory)),
      log_({make_log_name(), lines_per_second}, time_, log_file_.descriptor()),
      steerer_({core::instance_id{"i"}, {core::data_centre_id{"a"}, core::region_id{"r"}}, small_capacity},
               time_),
      connections_(io_.get_executor(), std::chrono::seconds(4), metrics_, time_),
      relays_(core::instance_id{"i"}, dialect_, time_),
      context_{io_.get_executor(), time_, steerer_, connections_, dialect_,
               metrics_,           log_,  relays_,  shutdown_},
      listener_(io_.get_executor(),
                make_context([this](auto exchange) { return forward(std::move(exchange)); }), 64),
      relayed_(io_.get_executor(),
               make_context([this](auto exchange) { return forward_relayed(std::move(exchange)); }), 64)
{
    steerer_.servers().set_regions({{core::data_centre_id{"a"}, core::region_id{"r"}}});
    (void)steerer_.apply(make_policy(idempotent, timeout, max_attempts, sizes.longest));
    for (std::size_t i = 0; i < scripts.size(); ++i) {
        servers_.push_back(std::make_unique<upstream_fake>(scripts[i]));
        steerer_.servers().put(make_record(i));
    }
    const net::tcp::endpoint any_port(boost::asio::ip::address_v4::loopback(), 0);
    if (listener_.listen(any_port) || relayed_.listen(any_port))
        throw std::runtime_error("no loopback port");
    thread_ = std::thread([this] { io_.run(); });
}

forwarding_fixture::~forwarding_fixture()
{
    io_.stop();
    thread_.join();
}

steering::server_record forwarding_fixture::make_record(std::size_t index) const
{
    steering::server_record record;
    record.id = core::server_id{"s" + std::to_string(index)};
    record.service = core::service_id{"orders"};
    record.data_centre = core::data_centre_id{"a"};
    record.address = servers_.at(index)->address();
    record.slots = 4;
    return record;
}

void forwarding_fixture::put_entry(std::size_t index, const std::string& id, std::uint64_t started_unix_ms)
{
    auto record = make_record(index);
    record.id = core::server_id{id};
    record.started_unix_ms = started_unix_ms;
    run_on_gateway_thread([this, &record] { steerer_.servers().put(record); });
}

void forwarding_fixture::change_policy(const std::function<void(steering::traffic_policy&)>& change)
{
    run_on_gateway_thread([this, &change] {
        auto policy = *steerer_.policy();
        ++policy.version;
        change(policy);
        (void)steerer_.apply(std::move(policy));
    });
}

net::asio::awaitable<void> forwarding_fixture::forward(std::shared_ptr<gateway::caller_exchange> exchange)
{
    const auto request = std::make_shared<gateway::forwarded_request>(context_, std::move(exchange));
    co_await request->run();
}

net::asio::awaitable<void>
forwarding_fixture::forward_relayed(std::shared_ptr<gateway::caller_exchange> exchange)
{
    auto origin = gateway::take_relay_origin(exchange->request());
    const auto request =
        std::make_shared<gateway::forwarded_request>(context_, std::move(exchange), std::move(origin));
    co_await request->run();
}

std::shared_ptr<gateway::session_context>
forwarding_fixture::make_context(gateway::session_context::handler handle)
{
    return std::make_shared<gateway::session_context>(gateway::session_context{
        time_, metrics_, shutdown_, bodies_, [this] { return steerer_.policy()->limits; }, std::move(handle),
        [](std::string_view) {}});
}

void forwarding_fixture::begin_shutdown(core::milliseconds grace_period)
{
    run_on_gateway_thread([this, grace_period] { shutdown_.begin(grace_period); });
}

void forwarding_fixture::stop_relayed()
{
    begin_shutdown();
    run_on_gateway_thread([this] { relayed_.stop_accepting(); });
}

void forwarding_fixture::tick()
{
    run_on_gateway_thread([this] { listener_.tick(); });
}

std::string forwarding_fixture::take_log()
{
    std::string lines;
    run_on_gateway_thread([this, &lines] {
        log_.flush();
        lines = log_file_.take();
    });
    return lines;
}

void forwarding_fixture::run_on_gateway_thread(const std::function<void()>& action)
{
    std::promise<void> done;
    boost::asio::post(io_, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

std::size_t forwarding_fixture::requests_at_servers() const
{
    std::size_t sum = 0;
    for (const auto& server : servers_)
        sum += server->requests().size();
    return sum;
}

double forwarding_fixture::failure_share_of(std::size_t index) const
{
    const auto server = context_.steerer.servers().find(core::server_id{"s" + std::to_string(index)});
    return server->failures().failure_share();
}

bool forwarding_fixture::is_cold(std::size_t index) const
{
    const auto server = context_.steerer.servers().find(core::server_id{"s" + std::to_string(index)});
    return server->cold_start().is_cold();
}

std::string make_request(const std::string& id, const std::string& method, const std::string& fields,
                         const std::string& body)
{
    auto text = method + " /orders/1?x=2 HTTP/1.1\r\nHost: shop.example\r\nX-Id: " + id +
                "\r\nX-Left: 4000\r\n" + fields;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string make_signed_reply(const std::string& id, const std::string& body, const std::string& status)
{
    return make_reply(status, "X-Id: " + id + "\r\nX-Seal: sealed\r\n", body);
}

} // namespace knapweed::test
