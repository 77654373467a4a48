#include "net/exchange.h"

namespace knapweed::net {

exchange::exchange(const asio::any_io_executor& executor, core::exchange_id id, buffered_request request,
                   std::shared_ptr<answer_sink> sink, std::function<void()> on_caller_lost)
    : id_(id), request_(std::move(request)), sink_(std::move(sink)),
      on_caller_lost_(std::move(on_caller_lost)), changed_(executor)
{}

void exchange::answer(whole_answer answer)
{
    if (!open())
        return;
    progress_ = progress::answered;
    whole_answer_ = std::move(answer);
    changed_.cancel();
}

std::optional<whole_answer> exchange::take_whole_answer()
{
    return std::exchange(whole_answer_, std::nullopt);
}

asio::awaitable<void> exchange::begin_stream(const streamed_head& head, std::string_view first_data,
                                             bool is_last)
{
    progress_ = progress::streaming;
    bool delivered = true;
    if (const auto sink = sink_)
        delivered = co_await sink->begin(head, first_data, is_last);
    after_write(delivered, is_last);
}

asio::awaitable<void> exchange::write_stream(std::string_view data, bool is_last)
{
    bool delivered = true;
    if (const auto sink = sink_)
        delivered = co_await sink->write(data, is_last);
    after_write(delivered, is_last);
}

void exchange::after_write(bool delivered, bool is_last)
{
    if (progress_ == progress::aborted)
        return;
    if (!delivered)
        mark_caller_lost();
    if (is_last) {
        progress_ = progress::answered;
        changed_.cancel();
    }
}

void exchange::abort()
{
    if (finished())
        return;
    progress_ = progress::aborted;
    if (sink_)
        sink_->close_connection();
    changed_.cancel();
}

void exchange::mark_caller_lost()
{
    if (finished() || !sink_)
        return;
    sink_->close_connection();
    sink_.reset();
    if (const auto report = std::exchange(on_caller_lost_, nullptr))
        report();
    changed_.cancel();
}

asio::awaitable<void> exchange::wait(core::duration limit)
{
    changed_.expires_after(limit);
    while (!finished() && !caller_lost()) {
        const auto [error] = co_await changed_.async_wait(as_result);
        if (!error)
            co_return;
    }
}

} // namespace knapweed::net
