#include "session_model_gateway.h"

#include "forwarding_fixture.h"

#include <fcntl.h>

namespace knapweed::test {

namespace {

int discarded_output()
{
    static const int descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    return descriptor;
}

/** @returns a name for each log: logs of the same name share a logger. */
std::string make_log_name()
{
    static int logs = 0;
    return "session_model" + std::to_string(logs++);
}

steering::route make_route(const std::string& prefix)
{
    steering::route route;
    route.name = prefix;
    route.host = "shop.example";
    route.prefix = prefix;
    route.idempotent = prefix != session_model_gateway::once_prefix;
    route.large_answers = prefix == "/files/";
    route.timeout = core::milliseconds(60000);
    route.target_latency = route.timeout;
    route.max_attempts = session_model_gateway::max_attempts;
    route.shares = {{core::service_id{"orders"}, 1}};
    return route;
}

/** @returns limits of time that no schedule reaches. */
steering::traffic_policy make_policy()
{
    steering::traffic_policy policy;
    policy.version = 1;
    policy.routes = {make_route("/orders/"), make_route("/files/"),
                     make_route(session_model_gateway::once_prefix)};
    policy.limits.header_timeout = core::milliseconds(600000);
    policy.limits.idle_timeout = core::milliseconds(600000);
    return policy;
}

} // namespace

session_model_gateway::session_model_gateway(const std::vector<std::string>& server_addresses)
    : dialect_(test_dialect()), log_({make_log_name()}, time_, discarded_output()),
      steerer_({core::instance_id{"i"}, {core::data_centre_id{"a"}, core::region_id{"r"}}}, time_),
      connections_(io_.get_executor(), std::chrono::seconds(4), metrics_, time_),
      relays_(core::instance_id{"i"}, dialect_, time_),
      context_{io_.get_executor(), time_, steerer_, connections_, dialect_,
               metrics_,           log_,  relays_,  shutdown_},
      listener_(io_.get_executor(),
                std::make_shared<gateway::session_context>(gateway::session_context{
                    time_, metrics_, shutdown_, bodies_, [this] { return steerer_.policy()->limits; },
                    [this](auto exchange) { return forward(std::move(exchange)); },
                    [this](std::string_view error) { errors_.emplace_back(error); }}),
                64)
{
    steerer_.servers().set_regions({{core::data_centre_id{"a"}, core::region_id{"r"}}});
    (void)steerer_.apply(make_policy());
    for (std::size_t i = 0; i < server_addresses.size(); ++i) {
        steering::server_record record;
        record.id = core::server_id{"s" + std::to_string(i)};
        record.service = core::service_id{"orders"};
        record.data_centre = core::data_centre_id{"a"};
        record.address = server_addresses[i];
        record.slots = 32;
        steerer_.servers().put(record);
    }
    if (listener_.listen({boost::asio::ip::address_v4::loopback(), 0}))
        throw std::runtime_error("no loopback port");
}

net::asio::awaitable<void> session_model_gateway::forward(std::shared_ptr<gateway::caller_exchange> exchange)
{
    const auto request = std::make_shared<gateway::forwarded_request>(context_, std::move(exchange));
    co_await request->run();
}

std::size_t session_model_gateway::run(std::size_t count)
{
    std::size_t ran = 0;
    while (ran < count && io_.poll_one() > 0)
        ++ran;
    return ran;
}

bool session_model_gateway::run_or_wait()
{
    return io_.run_one_for(std::chrono::milliseconds(1)) > 0;
}

void session_model_gateway::pass(core::milliseconds time)
{
    time_.advance(time);
    listener_.tick();
    (void)steerer_.tick();
    connections_.close_idle();
}

void session_model_gateway::stop_accepting()
{
    if (std::exchange(accepting_, false))
        listener_.stop_accepting();
    else
        listener_.close_idle_sessions();
}

} // namespace knapweed::test
