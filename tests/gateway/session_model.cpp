#include "session_model.h"

#include <algorithm>
#include <array>

namespace knapweed::test {

namespace {

constexpr std::array<unsigned, 5> refusals{404, 408, 421, 429, 503};

bool is_refusal(const model_answer& answer)
{
    return !answer.has_signature &&
           std::find(refusals.begin(), refusals.end(), answer.status) != refusals.end();
}

} // namespace

std::size_t session_model::connect()
{
    connections_.emplace_back();
    if (stopped_)
        connections_.back().answers_left = 1;
    return connections_.size() - 1;
}

void session_model::add_request(std::size_t connection, const model_request& request)
{
    connections_.at(connection).requests.push_back(request.id);
    requests_[request.id].request = request;
}

void session_model::request_at_server(const std::string& id, const model_attempt& attempt)
{
    requests_.at(id).attempts.push_back(attempt);
}

void session_model::stop_begun()
{
    stopped_ = true;
    // An answer that is being written promised to go on before the signal: one more request is taken.
    for (auto& connection : connections_)
        connection.answers_left = connection.sent - connection.answered + 1;
}

void session_model::answer_read(std::size_t number, const model_answer& answer)
{
    auto& connection = connections_.at(number);
    if (connection.answered >= connection.sent) {
        report("an answer to no request was read", answer.id);
        return;
    }
    auto& state = requests_.at(connection.requests.at(connection.answered++));
    const auto& id = state.request.id;
    if (connection.closing)
        report("an answer followed one that closes", id);
    connection.closing = connection.closing || answer.closes;
    if (connection.answers_left && (*connection.answers_left)-- == 0)
        report("a connection went on after a stop", id);
    if (answer.id != id)
        report("another request's answer was read: " + answer.id, id);
    state.answer = answer;
    if (answer.has_signature)
        check_servers_answer(state, answer);
    else if (!is_refusal(answer) && answer.status != 502 && answer.status != 504)
        report("the gateway answered with " + std::to_string(answer.status), id);
}

void session_model::check_servers_answer(const request_state& state, const model_answer& answer)
{
    const auto& id = state.request.id;
    const bool is_head = state.request.method == "HEAD";
    const auto matches = [&](const model_attempt& attempt) {
        if (!attempt.whole || attempt.status != answer.status)
            return false;
        return is_head ? answer.body.empty() : answer.body == attempt.body;
    };
    if (std::none_of(state.attempts.begin(), state.attempts.end(), matches))
        report("an answer of " + std::to_string(answer.body.size()) + " bytes, status " +
                   std::to_string(answer.status) + ", isn't what a server answered whole",
               id);
}

void session_model::connection_ended(std::size_t number, bool inside_answer)
{
    auto& connection = connections_.at(number);
    connection.ended = true;
    connection.inside_answer = inside_answer;
}

void session_model::report(const std::string& promise, const std::string& id)
{
    violations_.push_back(promise + " (request " + id + ")");
}

const model_request& session_model::next_to_answer(std::size_t number) const
{
    const auto& connection = connections_.at(number);
    return requests_.at(connection.requests.at(connection.answered)).request;
}

bool session_model::any_unanswered(std::size_t number) const
{
    const auto& connection = connections_.at(number);
    return connection.answered < connection.requests.size();
}

bool session_model::may_send(std::size_t number) const
{
    const auto& connection = connections_.at(number);
    return !connection.left && !connection.closing && !connection.ended;
}

bool session_model::is_settled(bool idle_may_stay) const
{
    return std::all_of(connections_.begin(), connections_.end(), [idle_may_stay](const auto& connection) {
        return connection.left || connection.ended ||
               (idle_may_stay && !connection.closing && connection.answered == connection.sent);
    });
}

void session_model::finish()
{
    for (const auto& connection : connections_) {
        if (connection.left)
            continue;
        check_end(connection);
        check_unanswered(connection);
    }
    for (const auto& [id, state] : requests_)
        check_request(state);
}

void session_model::check_end(const connection_state& connection)
{
    const auto last = connection.requests.empty() ? std::string("none") : connection.requests.back();
    if (connection.ended) {
        const bool was_idle = stopped_ && connection.answered == connection.sent;
        if (!connection.closing && !connection.inside_answer && !was_idle)
            report("a connection ended without a reason", last);
        return;
    }
    if (stopped_ || connection.closing)
        report("a connection is open after a stop or a closing answer", last);
    if (connection.answered < connection.sent)
        report("no answer came", connection.requests.at(connection.answered));
}

void session_model::check_unanswered(const connection_state& connection)
{
    for (auto i = connection.answered; connection.ended && i < connection.requests.size(); ++i) {
        const auto& state = requests_.at(connection.requests.at(i));
        if (state.attempts.empty())
            continue;
        const bool broke_off = connection.inside_answer && i == connection.answered;
        if (connection.closing)
            report("passed on behind an answer that closes", state.request.id);
        else if (state.attempts.back().sound)
            report(broke_off ? "the gateway broke off a whole answer" : "passed on and dropped",
                   state.request.id);
    }
}

void session_model::check_request(const request_state& state)
{
    const auto& id = state.request.id;
    const auto runs = std::count_if(state.attempts.begin(), state.attempts.end(),
                                    [](const auto& attempt) { return attempt.ran; });
    if (!state.request.repeatable && runs > 1)
        report("a request that must not repeat ran " + std::to_string(runs) + " times", id);
    if (state.attempts.size() > max_attempts_)
        report("sent to " + std::to_string(state.attempts.size()) + " servers", id);
    if (!state.answer || state.answer->has_signature)
        return;
    if (is_refusal(*state.answer) && runs > 0)
        report("refused with " + std::to_string(state.answer->status) + " although it ran", id);
    if (!state.attempts.empty() && state.attempts.back().sound && state.attempts.back().ran)
        report("a whole answer was replaced with " + std::to_string(state.answer->status), id);
}

} // namespace knapweed::test
