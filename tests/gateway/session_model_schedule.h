#pragma once

#include "session_model_answers.h"
#include "session_model_caller.h"
#include "session_model_gateway.h"

namespace knapweed::test {

/** Plays a random list of events against the gateway: callers that send requests in pieces and ahead of
   answers, servers that answer in all forms, ends of connections, pauses and a stop signal. A seed gives the
   same list; the gateway's reactions repeat as far as the system delivers bytes on loopback at once. */
class session_model_schedule {
public:
    explicit session_model_schedule(std::uint64_t seed);
    session_model_schedule(const session_model_schedule&) = delete;
    session_model_schedule& operator=(const session_model_schedule&) = delete;
    ~session_model_schedule() = default;

    /** Plays all events. @returns the broken promises. */
    const std::vector<std::string>& play();
    /** @returns the events so far, a line each. */
    [[nodiscard]] const std::vector<std::string>& events() const noexcept { return events_; }

private:
    [[nodiscard]] std::uint64_t below(std::uint64_t limit) { return random_.below(limit); }
    [[nodiscard]] session_model_reply answer(const std::string& request, bool after_stray_bytes);
    void note(const std::string& event) { events_.push_back(event); }

    void play_event();
    void connect();
    void request();
    void send_piece();
    void answer_piece();
    void leave();
    void end_server_connection();
    void send_stray();
    void pause();
    void stop();
    void toggle_reading();

    [[nodiscard]] session_model_caller* any_caller();
    /** @returns a connection of a server, those that answer if wanted, or nothing. */
    [[nodiscard]] std::optional<std::pair<std::size_t, std::size_t>> any_connection(bool answering);
    /** Lets the gateway, servers and callers go on, all the way or a few steps. */
    void go_on();
    bool move_all();
    /** Lets all answers and requests complete. */
    void complete();
    /** @param idle_may_stay whether connections that answer nothing may stay open. */
    void settle(bool idle_may_stay);

    core::random_source random_;
    session_model_answers answers_{random_};
    session_model model_{session_model_gateway::max_attempts};
    std::vector<std::string> events_;
    std::map<std::string, model_request> requests_;
    std::map<std::string, std::size_t> attempts_;
    boost::asio::io_context io_; ///< of the callers and servers; never run
    std::vector<std::unique_ptr<session_model_server>> servers_;
    std::optional<session_model_gateway> gateway_;
    std::vector<std::unique_ptr<session_model_caller>> callers_;
    bool stopped_ = false;
};

} // namespace knapweed::test
