#include "quota_fleet.h"

namespace knapweed::test {

namespace {

constexpr core::milliseconds step_length{1};
constexpr std::size_t steps_per_tick = 100;
constexpr std::size_t steps_per_message = 200;
/** From an instance to its hub, which waits up to 200 ms before it sends the sums to the hubs of other
   regions, which wait once more. */
constexpr core::milliseconds message_time{350};
constexpr core::milliseconds window{5000};
constexpr accounts::quota_margin margin{0.1, 20};

accounts::account_table make_table(accounts::quota limit)
{
    accounts::client_account account;
    account.id = core::account_id{"acme"};
    account.api_keys = {"k"};
    account.limit = limit;
    return std::get<accounts::account_table>(accounts::account_table::make({account}));
}

} // namespace

quota_fleet::quota_fleet(std::size_t instances, accounts::quota limit, std::uint64_t seed)
    : random_(seed), table_(make_table(limit)), members_(instances)
{
    for (auto& each : members_)
        start(each);
}

void quota_fleet::start(member& started)
{
    started.limiter = std::make_unique<accounts::quota_limiter>(margin, time_, random_.next());
    started.limiter->set_accounts(&table_, members_.size());
    started.sent.clear();
}

void quota_fleet::set_limit(accounts::quota limit)
{
    table_ = make_table(limit);
    for (auto& each : members_)
        each.limiter->set_accounts(&table_, members_.size());
}

void quota_fleet::restart(std::size_t instance)
{
    start(members_[instance]);
}

void quota_fleet::add_instance()
{
    members_.emplace_back();
    start(members_.back());
}

void quota_fleet::play(core::milliseconds length, double per_second, const std::function<std::size_t()>& pick)
{
    const double per_step = per_second * std::chrono::duration<double>(step_length).count();
    for (auto left = length; left > core::milliseconds(0); left -= step_length) {
        step();
        std::poisson_distribution<int> arrivals(per_step);
        std::mt19937_64 engine(random_.next());
        for (int i = arrivals(engine); i > 0; --i)
            request(pick());
    }
}

void quota_fleet::play(core::milliseconds length, double per_second)
{
    play(length, per_second, [this] { return random_.below(members_.size()); });
}

void quota_fleet::step()
{
    time_.advance(step_length);
    ++steps_;
    while (!messages_.empty() && messages_.front().arrives <= time_.now()) {
        members_[messages_.front().from].sent = std::move(messages_.front().load);
        messages_.pop_front();
    }
    if (steps_ % steps_per_tick == 0) {
        for (auto& each : members_)
            each.limiter->tick();
    }
    if (steps_ % steps_per_message != 0)
        return;
    accounts::account_load sum;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        if (!members_[i].cut)
            messages_.push_back({time_.now() + message_time, i, members_[i].limiter->own_load()});
        for (const auto& load : members_[i].sent)
            sum = {load.account, sum.demand + load.demand, sum.admitted + load.admitted};
    }
    for (auto& each : members_) {
        if (each.cut)
            continue;
        auto others = sum;
        for (const auto& load : each.sent)
            others = {sum.account, others.demand - load.demand, others.admitted - load.admitted};
        each.limiter->set_others({others}, members_.size());
    }
}

void quota_fleet::request(std::size_t instance)
{
    const auto& account = table_.accounts().front();
    auto& limiter = *members_[instance].limiter;
    ++arrived_;
    if (limiter.request_received(account)) {
        ++refused_;
        return;
    }
    limiter.request_sent(account);
    admitted_.push_back(time_.now());
    while (admitted_.front() <= time_.now() - window)
        admitted_.pop_front();
    most_in_window_ = std::max(most_in_window_, admitted_.size());
}

void quota_fleet::forget()
{
    admitted_.clear();
    most_in_window_ = 0;
}

double quota_fleet::tolerated() const
{
    const auto& limit = table_.accounts().front().limit;
    const double seconds = std::chrono::duration<double>(window).count();
    return (limit.per_second * seconds + limit.burst) * (1 + margin.excess) + margin.slack;
}

} // namespace knapweed::test
