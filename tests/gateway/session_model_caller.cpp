#include "session_model_caller.h"

namespace knapweed::test {

using boost::asio::ip::tcp;

namespace {

tcp::socket connect(boost::asio::io_context& io, std::uint16_t port)
{
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    return socket;
}

} // namespace

session_model_caller::session_model_caller(boost::asio::io_context& io, std::uint16_t port,
                                           session_model& model)
    : model_(model), number_(model.connect()), socket_(connect(io, port))
{}

void session_model_caller::add(const model_request& request, const std::string& bytes)
{
    model_.add_request(number_, request);
    unsent_ += bytes;
    ends_.push_back(unsent_.size());
}

bool session_model_caller::send(std::size_t limit)
{
    if (!has_unsent())
        return false;
    const auto before = unsent_.size();
    if (!socket_.write(unsent_, limit) && !unsent_.empty())
        return false;
    const auto sent = before - unsent_.size();
    for (auto& end : ends_)
        end -= std::min(end, sent);
    while (!ends_.empty() && ends_.front() == 0) {
        ends_.pop_front();
        model_.request_sent(number_);
    }
    return true;
}

bool session_model_caller::read()
{
    if (!reading_ || end_reported_)
        return false;
    std::string bytes;
    if (!socket_.read(bytes))
        return false;
    reader_.append(bytes);
    take_answers();
    if (!socket_.is_open()) {
        end_reported_ = true;
        model_.connection_ended(number_, reader_.inside_answer());
    }
    return true;
}

void session_model_caller::take_answers()
{
    while (model_.any_unanswered(number_)) {
        const auto request = model_.next_to_answer(number_);
        const auto answer = reader_.next(request.method);
        if (reader_.malformed())
            model_.report("bytes that aren't HTTP were read", request.id);
        if (!answer)
            return;
        model_.answer_read(number_, *answer);
    }
    if (reader_.inside_answer())
        model_.report("bytes were read that answer no request", "connection " + std::to_string(number_));
}

void session_model_caller::leave(bool with_reset)
{
    model_.caller_left(number_);
    end_reported_ = true;
    with_reset ? socket_.reset() : socket_.close();
}

} // namespace knapweed::test
