#include "server_stand_in.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <set>

namespace knapweed::soak {

namespace asio = net::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned slots = 3;
constexpr unsigned queue = 6;
constexpr core::milliseconds least_run{5};
constexpr std::uint64_t run_spread_ms = 40;
constexpr core::milliseconds slow_run{600};
constexpr core::milliseconds queue_poll{2};
constexpr core::milliseconds late_copy{20};
constexpr core::milliseconds late_copy_of_refusal{5};
/** Time from the start of a deadly request to the end of its server. */
constexpr core::milliseconds time_to_end{15};
constexpr double fault_share = 0.4; ///< of the answers, for faults of single answers
constexpr std::size_t body_repeats = 40;

} // namespace

std::string expected_body(const std::string& request_id)
{
    std::string body;
    for (std::size_t i = 0; i < body_repeats; ++i)
        body += "answer to " + request_id + ";";
    return body;
}

server_stand_in::server_stand_in(asio::any_io_executor executor, std::string id, std::string service,
                                 request_records& records, event_history& history, std::uint64_t seed)
    : executor_(std::move(executor)), base_id_(std::move(id)), service_(std::move(service)),
      records_(records), history_(history), random_(seed), port_(executor_, random_, 1),
      address_(asio::ip::address_v4::loopback(), port_.first())
{
    restart();
}

void server_stand_in::restart()
{
    if (acceptor_)
        crash();
    id_ = base_id_ + "-" + std::to_string(++starts_);
    fault_ = server_fault::none;
    limit_.reset();
    leaving_share_ = 0;
    rest_.reset();
    refusals_ = {};
    acceptor_ = std::make_unique<net::tcp::acceptor>(executor_, address_);
    address_ = acceptor_->local_endpoint();
    asio::co_spawn(executor_, accept(), asio::detached);
}

void server_stand_in::crash()
{
    net::error_code ignored;
    acceptor_->close(ignored);
    for (const auto& weak : connections_) {
        const auto socket = weak.lock();
        if (!socket)
            continue;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    connections_.clear();
    running_ = 0;
    waiting_ = 0;
}

asio::awaitable<void> server_stand_in::accept()
{
    auto* const acceptor = acceptor_.get();
    for (;;) {
        auto [error, socket] = co_await acceptor->async_accept(net::as_result);
        if (error)
            co_return;
        auto accepted = std::make_shared<net::tcp::socket>(std::move(socket));
        std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
        connections_.push_back(accepted);
        asio::co_spawn(executor_, serve(std::move(accepted)), asio::detached);
    }
}

server_stand_in::response server_stand_in::make_answer(unsigned status, const std::string& request_id)
{
    response answer(static_cast<http::status>(status), 11);
    answer.set("Request-Id", request_id);
    answer.set("Server-Load",
               std::to_string(running_) + "," + std::to_string(waiting_) + "," + std::to_string(slots));
    if (limit_)
        answer.set("Server-Limit", std::to_string(*limit_));
    if (leaving_share_ > 0 && random_.fraction() < leaving_share_) {
        answer.set("Server-Leaving", "1");
        if (auto& arrivals = records_[request_id].arrivals; !arrivals.empty())
            arrivals.back().stated_leaving = arrivals.back().server == id_;
    }
    return answer;
}

asio::awaitable<bool> server_stand_in::write(net::tcp::socket& socket, response answer)
{
    answer.prepare_payload();
    const auto [error, bytes] = co_await http::async_write(socket, answer, net::as_result);
    co_return !error;
}

asio::awaitable<bool> server_stand_in::write_text(net::tcp::socket& socket, const std::string& text)
{
    const auto [error, bytes] = co_await asio::async_write(socket, asio::buffer(text), net::as_result);
    co_return !error;
}

asio::awaitable<void> server_stand_in::serve(socket_pointer socket)
{
    const int process = starts_;
    boost::beast::flat_buffer buffer;
    std::set<std::string> carried; // ids of the requests on this connection
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        const auto [error, bytes] = co_await http::async_read(*socket, buffer, parser, net::as_result);
        if (error || process != starts_)
            co_return;
        const request call = parser.release();
        const std::string request_id(call["Request-Id"]);
        if (!carried.insert(request_id).second)
            ++records_[request_id].repeats_on_connection;
        server_arrival arrival{id_, service_, history_.elapsed(), false};
        const bool wrong_server = call["Target-Instance"] != id_;
        const bool full = running_ >= slots && waiting_ >= queue;
        const bool picked = refusals_.refused_share > 0 && random_.fraction() < refusals_.refused_share;
        if (wrong_server || full || rest_ || picked || fault_ == server_fault::sheds) {
            if (rest_)
                arrival.rest = rest_->rest;
            if (!wrong_server)
                records_[request_id].arrivals.push_back(arrival);
            if (!co_await refuse(*socket, request_id, wrong_server) || process != starts_)
                co_return;
            continue;
        }
        records_[request_id].arrivals.push_back(arrival);
        const auto number = records_[request_id].arrivals.size() - 1;
        ++waiting_;
        asio::steady_timer pause(executor_);
        while (running_ >= slots && process == starts_ && socket->is_open()) {
            pause.expires_after(queue_poll);
            co_await pause.async_wait(net::as_result);
        }
        if (process != starts_ || !socket->is_open())
            co_return;
        --waiting_;
        ++running_;
        records_[request_id].arrivals[number].ran = true;
        history_.add("run", {{"request", request_id}, {"server", id_}});
        if (call.target() == deadly_path) {
            pause.expires_after(time_to_end);
            co_await pause.async_wait(net::as_result);
            if (process == starts_ && acceptor_->is_open()) {
                history_.add("server_ends", {{"request", request_id}, {"server", id_}});
                crash();
                if (on_end_)
                    on_end_();
            }
            co_return;
        }
        const bool keep = co_await run(*socket, call, request_id);
        if (process != starts_)
            co_return;
        --running_;
        if (!keep)
            co_return;
    }
}

/** Answers that a request was not run, and may send a copy of the answer. @returns whether the connection
   stays open. */
asio::awaitable<bool> server_stand_in::refuse(net::tcp::socket& socket, const std::string& request_id,
                                              bool wrong_server)
{
    auto answer = make_answer(wrong_server ? 421 : 503, request_id);
    answer.set("Not-Executed", "1");
    if (rest_ && !wrong_server)
        answer.set("Retry-After", rest_->text);
    asio::steady_timer pause(executor_);
    if (refusals_.longest_delay.count() > 0) {
        const auto longest = static_cast<std::uint64_t>(refusals_.longest_delay.count());
        pause.expires_after(core::milliseconds(random_.below(longest)));
        co_await pause.async_wait(net::as_result);
    }
    if (!co_await write(socket, answer))
        co_return false;
    if (refusals_.copied_share <= 0 || random_.fraction() >= refusals_.copied_share)
        co_return true;
    pause.expires_after(late_copy_of_refusal);
    co_await pause.async_wait(net::as_result);
    ++copies_;
    co_return co_await write(socket, std::move(answer));
}

/** Runs a request and answers it. @returns whether the connection stays open. */
asio::awaitable<bool> server_stand_in::run(net::tcp::socket& socket, const request& call,
                                           const std::string& request_id)
{
    const int process = starts_;
    asio::steady_timer pause(executor_, fault_ == server_fault::slow
                                            ? slow_run
                                            : least_run + core::milliseconds(random_.below(run_spread_ms)));
    co_await pause.async_wait(net::as_result);
    while (fault_ == server_fault::hangs && process == starts_) {
        pause.expires_after(late_copy);
        co_await pause.async_wait(net::as_result);
    }
    if (process != starts_)
        co_return false;
    auto answer = make_answer(200, request_id);
    answer.set("Server-Seal", "seal." + request_id);
    answer.body() = call.method() == http::verb::head ? "" : expected_body(request_id);
    answer.prepare_payload();
    const auto fault = random_.fraction() < fault_share ? fault_ : server_fault::none;
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + request_id + "\r\nServer-Seal: seal\r\n";
    switch (fault) {
    case server_fault::mute:
        co_return false;
    case server_fault::truncates:
        co_await write_text(socket, head + "Content-Length: " + std::to_string(answer.body().size()) +
                                        "\r\n\r\n" + answer.body().substr(0, answer.body().size() / 2));
        co_return false;
    case server_fault::unframed:
        co_await write_text(socket, head + "\r\n" + answer.body());
        co_return false;
    case server_fault::endless:
        co_await write_endless(socket);
        co_return false;
    case server_fault::extra_answer: {
        if (!co_await write(socket, answer))
            co_return false;
        pause.expires_after(late_copy);
        co_await pause.async_wait(net::as_result);
        co_return co_await write(socket, std::move(answer));
    }
    default:
        co_return co_await write(socket, std::move(answer));
    }
}

/** Writes bytes that are no answer until the other side closes. */
asio::awaitable<void> server_stand_in::write_endless(net::tcp::socket& socket)
{
    const std::string filler(65536, 'x');
    bool open = co_await write_text(socket, random_.below(2) == 0 ? "" : "HTTP/1.1 200 OK\r\nX-Filler: ");
    while (open)
        open = co_await write_text(socket, filler);
}

} // namespace knapweed::soak
