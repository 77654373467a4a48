#include "gateway/table_sharing.h"

#include "gateway/peer_calls.h"
#include "net/parse_number.h"

#include <random>

namespace knapweed::gateway {

namespace asio = net::asio;
using steering::replicated_table;

namespace {

constexpr unsigned http_ok = 200;
constexpr unsigned http_conflict = 409;
constexpr unsigned http_unavailable = 503;
/** Copies that an instance sends at the same time: a small instance's link is shared with the answers to
   callers. More calls are turned away, to instances that have got the copy meanwhile. */
constexpr std::size_t max_copies_being_sent = 4;
/** Pause before another instance is asked after one that sends as many copies as it may. */
constexpr core::milliseconds min_pause{30};
constexpr std::uint64_t spread_of_pause_ms = 60;
constexpr core::milliseconds max_idle_time{4000};
/** Opening a connection takes one round trip, 0.11 s at most. */
constexpr core::milliseconds connect_timeout{300};
constexpr core::milliseconds answer_timeout{700};
/** Time after which a transfer that has stopped is given up. */
constexpr core::milliseconds max_silence{600};
constexpr std::size_t min_bytes_per_second = 32768;

/** Counts a transfer as long as it lasts. */
class transfer_count {
public:
    explicit transfer_count(std::size_t& count) : count_(count) { ++count_; }
    transfer_count(const transfer_count&) = delete;
    transfer_count& operator=(const transfer_count&) = delete;
    ~transfer_count() { --count_; }

private:
    std::size_t& count_;
};

} // namespace

table_sharing::table_sharing(gateway& instance, change_handler apply)
    : instance_(instance), apply_(std::move(apply)),
      http_(instance.executor(), max_idle_time, instance.metrics(), instance.time(), connect_timeout),
      signal_(instance.executor()), random_(std::random_device{}())
{
    instance_.on_transfer([this](const replication::table_transfer& transfer) {
        if (listed_ && transfer.table == replicated_table::operators)
            receive(transfer);
    });
    instance_.on_copy_request([this](auto exchange) { return answer(std::move(exchange)); });
}

void table_sharing::record(const steering::table_change& change, bool complete)
{
    archive_.apply(change.rows, complete, instance_.steerer().store_role().is_reader());
}

bool table_sharing::receive(const replication::table_transfer& transfer)
{
    const auto change = archive_.unpack(transfer);
    if (!change || !apply_(*change, transfer.complete))
        return false;
    archive_.apply(transfer, *change);
    return true;
}

asio::awaitable<void> table_sharing::fetch_copies()
{
    asio::steady_timer pause(instance_.executor());
    for (;;) {
        const auto source =
            listed_ ? instance_.steerer().copy_sources().next(replicated_table::operators) : std::nullopt;
        if (!source) {
            signal_.expires_at(asio::steady_timer::time_point::max());
            co_await signal_.async_wait(net::as_result);
            continue;
        }
        const auto& role = instance_.steerer().store_role();
        auto outcome = co_await fetch(*source, role.version(replicated_table::operators));
        // A copy that is based on rows that this instance doesn't have is asked for again as a whole.
        if (outcome == fetch_outcome::unusable && role.is_outdated(replicated_table::operators))
            outcome = co_await fetch(*source, 0);
        if (outcome == fetch_outcome::applied)
            instance_.send_status();
        else if (outcome == fetch_outcome::unusable || outcome == fetch_outcome::failed)
            instance_.steerer().copy_sources().record_failure(source->instance);
        if (outcome != fetch_outcome::applied) {
            pause.expires_after(min_pause + core::milliseconds(random_.below(spread_of_pause_ms)));
            co_await pause.async_wait(net::as_result);
        }
    }
}

asio::awaitable<table_sharing::fetch_outcome> table_sharing::fetch(const steering::copy_source& source,
                                                                   std::uint64_t after)
{
    const auto& role = instance_.steerer().store_role();
    const auto era = role.era();
    const auto began = instance_.time().now();
    net::outgoing_request request;
    request.method = "GET";
    request.target =
        std::string(copies_path) + "?after=" + std::to_string(after) + "&era=" + std::to_string(era);
    const auto answer =
        co_await http_.fetch(source.address, std::move(request),
                             net::fetch_limits{answer_timeout, max_silence, min_bytes_per_second,
                                               replication::row_archive::max_value_bytes});
    if (answer.status == net::fetch_status::answered && answer.http_status == http_unavailable)
        co_return fetch_outcome::busy;
    const bool is_answered = answer.status == net::fetch_status::answered && answer.http_status == http_ok;
    const auto transfer = is_answered ? replication::parse_transfer(answer.body) : std::nullopt;
    if (transfer && transfer->newest <= role.version(replicated_table::operators) && role.era() == era)
        co_return fetch_outcome::outrun;
    const bool is_applied = transfer && listed_ && role.era() == era && receive(*transfer);
    instance_.log().info(json_line(is_applied ? "copy_taken" : "copy_failed")
                             .add("from", source.instance.str())
                             .add("after", after)
                             .add("version", transfer ? transfer->version : 0)
                             .add("bytes", answer.body.size())
                             .add("http_status", answer.http_status)
                             .add_ms("taken_ms", instance_.time().now() - began));
    if (is_applied)
        co_return fetch_outcome::applied;
    co_return is_answered ? fetch_outcome::unusable : fetch_outcome::failed;
}

asio::awaitable<void> table_sharing::answer(std::shared_ptr<caller_exchange> exchange)
{
    const auto& role = instance_.steerer().store_role();
    const auto& request = exchange->request();
    const auto after = net::parse_number(request.query("after"));
    const auto era = net::parse_number(request.query("era"));
    answer_head head{http_ok, "OK", "Content-Type: application/octet-stream\r\n", {}};
    if (!listed_ || !after || era != role.era()) {
        head = {http_conflict, "No copy of this era", "", {}};
        co_await exchange->answer(head, {});
        co_return;
    }
    if (copies_being_sent_ >= max_copies_being_sent) {
        head = {http_unavailable, "Busy", "", {}};
        co_await exchange->answer(head, {});
        co_return;
    }
    steering::table_change as_of;
    as_of.newest = role.newest_change(replicated_table::operators);
    as_of.version = role.version(replicated_table::operators);
    as_of.era = role.era();
    const auto body = replication::serialise(archive_.transfer_after(*after, as_of));
    instance_.metrics().add(net::counter::bytes_to_peers, body.size());
    const transfer_count count(copies_being_sent_);
    co_await exchange->answer(head, body);
}

} // namespace knapweed::gateway
