#pragma once

#include "event_history.h"
#include "net/asio_types.h"
#include "port_block.h"
#include "request_records.h"

#include <boost/beast/http.hpp>
#include <functional>
#include <list>

namespace knapweed::soak {

/** Path of a request that ends each server that begins to run it. */
inline constexpr std::string_view deadly_path = "/read/deadly";

/** What a backend server does wrong. */
enum class server_fault { none, slow, mute, hangs, extra_answer, truncates, unframed, endless, sheds };

/** What a server that wants no requests for a time states. */
struct stated_rest {
    std::string text;           ///< of the field
    core::milliseconds rest{0}; ///< that it means, 0 for none
};

/** How a server turns requests away beyond what its slots and its queue demand. */
struct refusal_habits {
    double refused_share = 0;            ///< of the requests, from 0 to 1
    double copied_share = 0;             ///< of the refusals: a copy follows late
    core::milliseconds longest_delay{0}; ///< before a refusal
};

/** A backend server: slots, a queue, the check of the expected id, and faults. */
class server_stand_in {
public:
    /** @param records and @p history must outlive this object. */
    server_stand_in(net::asio::any_io_executor executor, std::string id, std::string service,
                    request_records& records, event_history& history, std::uint64_t seed);

    [[nodiscard]] const std::string& id() const noexcept { return id_; }
    [[nodiscard]] const std::string& service() const noexcept { return service_; }
    [[nodiscard]] net::tcp::endpoint address() const { return address_; }
    void set_fault(server_fault fault) { fault_ = fault; }
    /** Names a limit in all answers, in requests per second, or none any more. */
    void set_limit(std::optional<double> requests_per_second) { limit_ = requests_per_second; }
    /** States in a share of the answers, from 0 to 1, that the server leaves. */
    void set_leaving(double share) { leaving_share_ = share; }
    /** Turns all requests away and states a time of rest, or serves again. */
    void set_rest(std::optional<stated_rest> rest) { rest_ = std::move(rest); }
    /** Has the server refuse more requests and copy refusals, until its process ends. */
    void set_refusals(refusal_habits habits) { refusals_ = habits; }
    /** @returns the number of copies of refusals that were sent. */
    [[nodiscard]] std::size_t copies() const noexcept { return copies_; }
    /** Sets a function that is called when a request has ended the server. */
    void on_end(std::function<void()> hook) { on_end_ = std::move(hook); }
    /** Ends the process of the server: nobody listens, all connections are reset. */
    void crash();
    /** Starts a new process with a new id at the same address. */
    void restart();

private:
    using request = boost::beast::http::request<boost::beast::http::string_body>;
    using response = boost::beast::http::response<boost::beast::http::string_body>;
    using socket_pointer = std::shared_ptr<net::tcp::socket>;

    net::asio::awaitable<void> accept();
    net::asio::awaitable<void> serve(socket_pointer socket);
    net::asio::awaitable<bool> refuse(net::tcp::socket& socket, const std::string& request_id,
                                      bool wrong_server);
    net::asio::awaitable<bool> run(net::tcp::socket& socket, const request& call,
                                   const std::string& request_id);
    net::asio::awaitable<bool> write(net::tcp::socket& socket, response answer);
    net::asio::awaitable<bool> write_text(net::tcp::socket& socket, const std::string& text);
    net::asio::awaitable<void> write_endless(net::tcp::socket& socket);
    [[nodiscard]] response make_answer(unsigned status, const std::string& request_id);

    net::asio::any_io_executor executor_;
    std::string base_id_;
    std::string id_;
    std::string service_;
    request_records& records_;
    event_history& history_;
    core::random_source random_;
    port_block port_; ///< held also while no process of the server runs
    net::tcp::endpoint address_;
    std::unique_ptr<net::tcp::acceptor> acceptor_;
    std::list<std::weak_ptr<net::tcp::socket>> connections_;
    server_fault fault_ = server_fault::none;
    std::optional<double> limit_;
    double leaving_share_ = 0;
    std::optional<stated_rest> rest_;
    refusal_habits refusals_;
    std::size_t copies_ = 0;
    std::function<void()> on_end_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    int starts_ = 0;
};

/** @returns the body of the server's answer to a request. */
[[nodiscard]] std::string expected_body(const std::string& request_id);

} // namespace knapweed::soak
