#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweed::test {

/** A request of a modelled caller. */
struct model_request {
    std::string id;
    std::string method;
    std::string path;
    bool repeatable = true; ///< whether it may run more than once
};

/** What a server did with a request that it read. */
struct model_attempt {
    bool ran = true;
    bool whole = true; ///< it answers with these values, to the end
    /** Whether the answer is whole and follows no other bytes that belong to no request. */
    bool sound = true;
    unsigned status = 0;
    std::string body;
};

/** An answer that a caller read to its end. */
struct model_answer {
    unsigned status = 0;
    std::string id;
    bool has_signature = false; ///< a server's answer; the gateway's own answers have none
    bool closes = false;
    std::size_t declared_length = 0;
    std::string body;
};

/** Checks from outside what callers read and servers got: the order of answers, that they are whole, and
   which requests are lost or run again.

    A request that a server answers whole must get this answer, with these exceptions:
    - its caller left;
    - the answer follows bytes on the server's connection that belong to no request (a stray answer without an
      id): the gateway can't tell them apart.

    Two cases that the wire doesn't tell apart are never played: an answer that ends with its connection and
   breaks off without a reset looks whole, and a reset of a server drops what is on its way of a whole answer.
*/
class session_model {
public:
    /** @param max_attempts servers to which one request may be sent. */
    explicit session_model(std::size_t max_attempts) : max_attempts_(max_attempts) {}

    /** Adds a connection. @returns its number. */
    std::size_t connect();
    /** Adds a request that is sent on a connection, behind the others. */
    void add_request(std::size_t connection, const model_request& request);
    /** Records that a caller has sent all bytes of its next request. */
    void request_sent(std::size_t connection) { ++connections_.at(connection).sent; }
    /** Records that a server has read a request. */
    void request_at_server(const std::string& id, const model_attempt& attempt);
    /** Records a stop signal. */
    void stop_begun();
    /** Records an answer that a caller read. */
    void answer_read(std::size_t connection, const model_answer& answer);
    /** Records that a caller closes or resets its connection. */
    void caller_left(std::size_t connection) { connections_.at(connection).left = true; }
    /** Records that a caller read the end of its connection. @param inside_answer a part of an answer was
       read before. */
    void connection_ended(std::size_t connection, bool inside_answer);
    /** Records a broken promise that was seen elsewhere. */
    void report(const std::string& promise, const std::string& id);

    [[nodiscard]] const model_request& next_to_answer(std::size_t connection) const;
    [[nodiscard]] bool any_unanswered(std::size_t connection) const;
    /** @returns whether the caller may send further requests on the connection. */
    [[nodiscard]] bool may_send(std::size_t connection) const;
    /** @returns whether nothing is due any more: each connection has ended, or goes on without an open
        request. @param idle_may_stay whether connections that answer nothing may stay open, also after a
       stop. */
    [[nodiscard]] bool is_settled(bool idle_may_stay) const;

    /** Checks what can be judged only at the end. */
    void finish();
    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }

private:
    struct request_state {
        model_request request;
        std::vector<model_attempt> attempts;
        std::optional<model_answer> answer;
    };
    struct connection_state {
        std::vector<std::string> requests;
        std::size_t sent = 0;     ///< requests sent to their end
        std::size_t answered = 0; ///< requests whose answers were read
        bool left = false;
        bool closing = false; ///< an answer has announced the end
        bool ended = false;
        bool inside_answer = false;              ///< the end was read within an answer
        std::optional<std::size_t> answers_left; ///< that may still be read after a stop signal
    };

    void check_servers_answer(const request_state& state, const model_answer& answer);
    void check_end(const connection_state& connection);
    void check_unanswered(const connection_state& connection);
    void check_request(const request_state& state);

    std::size_t max_attempts_;
    std::vector<connection_state> connections_;
    std::map<std::string, request_state> requests_;
    bool stopped_ = false;
    std::vector<std::string> violations_;
};

} // namespace knapweed::test
