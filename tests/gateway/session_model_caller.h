#pragma once

#include "session_model_reader.h"
#include "session_model_socket.h"

#include <deque>

namespace knapweed::test {

/** A modelled caller with one connection. It reports what it sends and reads to the model. */
class session_model_caller {
public:
    session_model_caller(boost::asio::io_context& io, std::uint16_t port, session_model& model);

    /** Adds a request behind the others; nothing is sent yet. */
    void add(const model_request& request, const std::string& bytes);
    /** Sends up to @p limit bytes that were added. A caller that has read a closing answer sends nothing
     * more.
     */
    bool send(std::size_t limit);
    /** Reads what has arrived. @returns whether anything has. */
    bool read();
    /** Sets whether answers are read. */
    void set_reading(bool reading) { reading_ = reading; }
    /** Closes or resets the connection. */
    void leave(bool with_reset);

    [[nodiscard]] bool may_send() const { return model_.may_send(number_); }
    [[nodiscard]] bool has_unsent() const { return !unsent_.empty() && may_send(); }
    [[nodiscard]] std::size_t number() const noexcept { return number_; }

private:
    void take_answers();

    session_model& model_;
    std::size_t number_;
    session_model_socket socket_;
    session_model_reader reader_;
    std::string unsent_;
    std::deque<std::size_t> ends_; ///< of the requests in `unsent_`
    bool reading_ = true;
    bool end_reported_ = false;
};

} // namespace knapweed::test
