#include "decision/retry_budget.h"

namespace knapweed::decision {
namespace {

constexpr unsigned tenths_per_token = 10;

} // namespace

retry_budget::retry_budget(retry_budget_options options, const core::clock& time)
    : options_(options), time_(time)
{}

unsigned retry_budget::capacity_tenths() const noexcept
{
    return options_.burst * tenths_per_token;
}

void retry_budget::request_received(const core::caller_id& caller, const core::service_id& service)
{
    add(callers_, caller.str());
    add(services_, service.str());
}

bool retry_budget::take(const core::caller_id& caller, const core::service_id& service)
{
    if (!has_token(callers_, caller.str()) || !has_token(services_, service.str()))
        return false;
    remove_token(callers_, caller.str());
    remove_token(services_, service.str());
    return true;
}

void retry_budget::add(bucket_table& table, const std::string& name) const
{
    const auto found = table.by_name.find(name);
    if (found == table.by_name.end())
        return;
    auto& entry = *found->second;
    entry.tenths += options_.tenths_per_request;
    entry.last_used = time_.now();
    table.used.splice(table.used.end(), table.used, found->second);
    if (entry.tenths < capacity_tenths())
        return;
    table.used.erase(found->second);
    table.by_name.erase(found);
}

bool retry_budget::has_token(bucket_table& table, const std::string& name) const
{
    remove_idle(table);
    const auto found = table.by_name.find(name);
    if (found != table.by_name.end())
        return found->second->tenths >= tenths_per_token;
    return capacity_tenths() >= tenths_per_token && table.used.size() < options_.buckets;
}

void retry_budget::remove_token(bucket_table& table, const std::string& name) const
{
    auto found = table.by_name.find(name);
    if (found == table.by_name.end()) {
        table.used.push_back({name, capacity_tenths(), {}});
        found = table.by_name.emplace(name, std::prev(table.used.end())).first;
    }
    found->second->tenths -= tenths_per_token;
    found->second->last_used = time_.now();
    table.used.splice(table.used.end(), table.used, found->second);
}

void retry_budget::remove_idle(bucket_table& table) const
{
    while (!table.used.empty() && time_.now() - table.used.front().last_used >= options_.forget_after) {
        table.by_name.erase(table.used.front().name);
        table.used.pop_front();
    }
}

} // namespace knapweed::decision
