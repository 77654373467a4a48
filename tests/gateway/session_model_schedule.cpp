#include "session_model_schedule.h"

#include <algorithm>

namespace knapweed::test {

namespace {

constexpr std::size_t max_callers = 3;
constexpr std::size_t all_ready = 100000;
/** Bounds only a run that would never settle. */
constexpr std::chrono::seconds max_settle_time{3};
/** Rounds of a millisecond without any event after which nothing more is expected. */
constexpr int idle_rounds = 2;

std::string id_of(const std::string& request)
{
    const auto begin = request.find("X-Id: ") + 6;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

} // namespace

session_model_schedule::session_model_schedule(std::uint64_t seed) : random_(seed)
{
    std::vector<std::string> addresses;
    for (auto count = 1 + below(3); count > 0; --count) {
        servers_.push_back(std::make_unique<session_model_server>(
            io_, [this](const std::string& request, bool stray) { return answer(request, stray); }));
        addresses.push_back(servers_.back()->address());
    }
    gateway_.emplace(addresses);
}

session_model_reply session_model_schedule::answer(const std::string& request, bool after_stray_bytes)
{
    const auto& sent = requests_.at(id_of(request));
    auto drawn = answers_.draw(sent, attempts_[sent.id]++, sent.path.starts_with("/files/"));
    drawn.attempt.sound = drawn.attempt.sound && !after_stray_bytes;
    model_.request_at_server(sent.id, drawn.attempt);
    note("  a server reads request " + sent.id + ": " + drawn.description +
         (after_stray_bytes ? ", behind stray bytes" : ""));
    return drawn.reply;
}

const std::vector<std::string>& session_model_schedule::play()
{
    connect();
    for (auto events = 10 + below(50); events > 0; --events) {
        play_event();
        go_on();
    }
    complete();
    model_.finish();
    for (const auto& error : gateway_->errors())
        model_.report("unexpected error: " + error, "none");
    return model_.violations();
}

void session_model_schedule::play_event()
{
    const auto drawn = below(100);
    if (drawn < 2)
        connect();
    else if (drawn < 36)
        request();
    else if (drawn < 48)
        send_piece();
    else if (drawn < 82)
        answer_piece();
    else if (drawn < 84)
        leave();
    else if (drawn < 86)
        end_server_connection();
    else if (drawn < 87)
        send_stray();
    else if (drawn < 93)
        pause();
    else if (drawn < 96)
        toggle_reading();
    else if (drawn < 98)
        stop();
}

void session_model_schedule::connect()
{
    if (callers_.size() == max_callers || stopped_)
        return;
    callers_.push_back(std::make_unique<session_model_caller>(io_, gateway_->port(), model_));
    note("caller " + std::to_string(callers_.back()->number()) + " connects");
}

void session_model_schedule::request()
{
    auto* caller = any_caller();
    if (caller == nullptr)
        return;
    model_request request;
    request.id = "q" + std::to_string(requests_.size());
    const auto route = below(10);
    request.repeatable = route < 8;
    request.method = !request.repeatable ? "POST" : below(8) == 0 ? "HEAD" : "GET";
    request.path = (!request.repeatable ? std::string(session_model_gateway::once_prefix)
                    : route < 5         ? "/orders/"
                                        : "/files/") +
                   request.id;
    const bool closes = below(25) == 0;
    auto bytes = request.method + " " + request.path +
                 " HTTP/1.1\r\nHost: shop.example\r\nX-Id: " + request.id + "\r\n" +
                 (closes ? "Connection: close\r\n" : "");
    if (request.repeatable)
        bytes += "\r\n";
    else if (below(2) == 0)
        bytes += "Content-Length: 5\r\n\r\nthree";
    else
        bytes += "Transfer-Encoding: chunked\r\n\r\n3\r\nthr\r\n2\r\nee\r\n0\r\n\r\n";
    requests_[request.id] = request;
    caller->add(request, bytes);
    const auto limit = below(4) == 0 ? below(bytes.size()) : bytes.size();
    note("caller " + std::to_string(caller->number()) + " begins " + request.method + " " + request.path +
         (closes ? ", the last" : "") + ", sends up to " + std::to_string(limit) + " bytes");
    caller->send(limit);
}

void session_model_schedule::send_piece()
{
    auto* caller = any_caller();
    if (caller == nullptr || !caller->has_unsent())
        return;
    const auto limit = below(2) == 0 ? 1 + below(60) : 10000;
    note("caller " + std::to_string(caller->number()) + " sends up to " + std::to_string(limit) + " bytes");
    caller->send(limit);
}

void session_model_schedule::answer_piece()
{
    const auto chosen = any_connection(true);
    if (!chosen)
        return;
    constexpr std::array<std::size_t, 6> sizes{1, 120, 4000, 20000, 40000, 1000000};
    const auto bytes = sizes.at(below(sizes.size()));
    const auto [server, connection] = *chosen;
    note("server " + std::to_string(server) + " sends up to " + std::to_string(bytes) +
         " bytes on connection " + std::to_string(connection));
    servers_[server]->allow(connection, bytes);
}

void session_model_schedule::leave()
{
    auto* caller = any_caller();
    if (caller == nullptr)
        return;
    const bool with_reset = below(2) == 0;
    note("caller " + std::to_string(caller->number()) + (with_reset ? " resets" : " closes"));
    caller->leave(with_reset);
}

void session_model_schedule::end_server_connection()
{
    const auto chosen = any_connection(false);
    if (!chosen)
        return;
    const auto [server, connection] = *chosen;
    const bool with_reset = below(2) == 0;
    note("server " + std::to_string(server) + (with_reset ? " resets" : " closes") + " idle connection " +
         std::to_string(connection));
    servers_[server]->end(connection, with_reset ? session_model_reply::ending::reset
                                                 : session_model_reply::ending::close);
}

void session_model_schedule::send_stray()
{
    const auto chosen = any_connection(false);
    if (!chosen)
        return;
    const auto [server, connection] = *chosen;
    note("server " + std::to_string(server) + " sends stray bytes on idle connection " +
         std::to_string(connection));
    servers_[server]->send_stray(connection, "HTTP/1.1 200 Stray\r\nContent-Length: 3\r\n\r\nabc");
}

void session_model_schedule::pause()
{
    const core::milliseconds time(1 + below(below(4) == 0 ? 1200 : 50));
    note("a pause of " + std::to_string(time.count()) + " ms");
    gateway_->pass(time);
}

void session_model_schedule::stop()
{
    if (stopped_)
        return;
    stopped_ = true;
    // A short grace period makes the gateway refuse all requests from then on.
    const core::milliseconds grace(below(4) == 0 ? 20000 : 300000);
    note("a stop signal with " + std::to_string(grace.count()) + " ms of grace");
    gateway_->begin_shutdown(grace);
    model_.stop_begun();
}

void session_model_schedule::toggle_reading()
{
    if (auto* caller = any_caller()) {
        const bool reading = below(2) == 0;
        note("caller " + std::to_string(caller->number()) + (reading ? " reads" : " stops reading"));
        caller->set_reading(reading);
    }
}

session_model_caller* session_model_schedule::any_caller()
{
    std::vector<session_model_caller*> open;
    for (const auto& caller : callers_) {
        if (caller->may_send())
            open.push_back(caller.get());
    }
    return open.empty() ? nullptr : open.at(below(open.size()));
}

std::optional<std::pair<std::size_t, std::size_t>> session_model_schedule::any_connection(bool answering)
{
    std::vector<std::pair<std::size_t, std::size_t>> found;
    for (std::size_t server = 0; server < servers_.size(); ++server) {
        for (std::size_t i = 0; i < servers_[server]->connections(); ++i) {
            if (servers_[server]->is_answering(i) == answering)
                found.emplace_back(server, i);
        }
    }
    return found.empty() ? std::nullopt : std::optional(found.at(below(found.size())));
}

void session_model_schedule::go_on()
{
    const auto drawn = below(4);
    if (drawn == 0)
        return;
    if (drawn == 1) {
        const auto steps = 1 + below(6);
        note("  the gateway takes " + std::to_string(steps) + " steps");
        gateway_->run(steps);
        return;
    }
    while (move_all()) {
    }
}

bool session_model_schedule::move_all()
{
    bool any = gateway_->run(all_ready) > 0;
    for (const auto& server : servers_)
        any = server->move() || any;
    for (const auto& caller : callers_)
        any = caller->read() || any;
    return any;
}

void session_model_schedule::complete()
{
    note("everything completes");
    for (const auto& server : servers_)
        server->allow_all();
    for (const auto& caller : callers_)
        caller->set_reading(true);
    settle(true);
    if (!stopped_)
        return;
    note("the listener closes");
    gateway_->pass(core::milliseconds(1100));
    gateway_->stop_accepting();
    settle(false);
}

void session_model_schedule::settle(bool idle_may_stay)
{
    const auto limit = std::chrono::steady_clock::now() + max_settle_time;
    for (int idle = 0; idle < idle_rounds || !model_.is_settled(idle_may_stay);) {
        bool any = move_all();
        for (const auto& caller : callers_)
            any = caller->send(all_ready) || any;
        idle = any || gateway_->run_or_wait() ? 0 : idle + 1;
        if (std::chrono::steady_clock::now() > limit)
            return;
    }
}

} // namespace knapweed::test
