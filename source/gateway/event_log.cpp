#include "gateway/event_log.h"

#include <algorithm>
#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

namespace knapweed::gateway {

namespace {

/** A writable pipe accepts at least this many bytes without blocking. */
constexpr std::size_t safe_write_bytes = 4096;
constexpr int max_writes_per_flush = 16;

} // namespace

/** Buffers formatted lines until the output is writable. */
class event_log::buffered_appender final : public log4cplus::Appender {
public:
    buffered_appender(int descriptor, std::size_t limit, std::uint64_t& dropped)
        : descriptor_(descriptor), limit_(limit), dropped_(dropped)
    {}
    buffered_appender(const buffered_appender&) = delete;
    buffered_appender& operator=(const buffered_appender&) = delete;
    ~buffered_appender() override { destructorImpl(); }

    void close() override { closed = true; }

    void write_pending()
    {
        for (int i = 0; i < max_writes_per_flush && !pending_.empty(); ++i) {
            pollfd output{descriptor_, POLLOUT, 0};
            if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
                return;
            const auto written =
                ::write(descriptor_, pending_.data(), std::min(pending_.size(), safe_write_bytes));
            if (written <= 0)
                return;
            pending_.erase(0, static_cast<std::size_t>(written));
        }
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        const auto& line = event.getMessage();
        if (pending_.size() + line.size() + 1 > limit_) {
            ++dropped_;
            return;
        }
        pending_ += line;
        pending_ += '\n';
    }

private:
    int descriptor_;
    std::size_t limit_;
    std::uint64_t& dropped_;
    std::string pending_;
};

struct event_log::logger_handle {
    log4cplus::Logger logger;
    buffered_appender* appender = nullptr; ///< owned by the logger
};

event_log::event_log(event_log_options options, const core::clock& time, int descriptor)
    : options_(std::move(options)), time_(time), tokens_(options_.lines_per_second), last_refill_(time.now()),
      logger_(std::make_unique<logger_handle>())
{
    // The gateway does not log asynchronously: the thread pool's default of four threads would only use
    // memory.
    log4cplus::setThreadPoolSize(1);
    log4cplus::SharedAppenderPtr appender(new buffered_appender(descriptor, options_.buffer_bytes, dropped_));
    logger_->appender = static_cast<buffered_appender*>(appender.get());
    logger_->logger = log4cplus::Logger::getInstance(options_.instance);
    logger_->logger.setAdditivity(false);
    logger_->logger.removeAllAppenders();
    logger_->logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    logger_->logger.addAppender(appender);
}

event_log::~event_log()
{
    flush();
    logger_->logger.removeAllAppenders();
}

/** Takes a token from the token bucket that limits the rate of lines. @returns false when it is empty. */
bool event_log::take_token()
{
    const auto now = time_.now();
    const std::chrono::duration<double> elapsed = now - last_refill_;
    last_refill_ = now;
    tokens_ =
        std::min<double>(options_.lines_per_second, tokens_ + elapsed.count() * options_.lines_per_second);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

void event_log::write(net::log_level level, json_line line)
{
    if (!take_token()) {
        ++dropped_;
        return;
    }
    const auto unix_ms = std::chrono::duration_cast<core::milliseconds>(time_.wall_now().time_since_epoch());
    line.add("unix_ms", unix_ms.count())
        .add("level", core::name_of(level))
        .add("instance", options_.instance);
    if (dropped_ != reported_dropped_) {
        line.add("lines_dropped", dropped_ - reported_dropped_);
        reported_dropped_ = dropped_;
    }
    logger_->logger.log(net::to_log4cplus(level), line.str());
}

void event_log::flush()
{
    logger_->appender->write_pending();
}

} // namespace knapweed::gateway
