#include "matrix/fake_store.h"

#include <algorithm>

namespace knapweed::matrix {

namespace {

constexpr core::milliseconds latency{5};
/** Longer than the timeout of a call, so that writes take effect after the caller has timed out. */
constexpr core::milliseconds slow_latency{1500};

} // namespace

void fake_store::put(const std::string& table, const std::string& key, std::string value)
{
    rows_[{table, key}] = {next_version_++, std::move(value)};
}

void fake_store::call(const state::platform_call& call, const reply_callback& reply)
{
    if (fault_ == fault::down) {
        state::platform_reply unreachable;
        unreachable.call = call.call;
        unreachable.status = state::platform_status::unreachable;
        events_.after(latency, [reply, unreachable] { reply(unreachable); });
        return;
    }
    const bool is_write = std::holds_alternative<state::row_transaction>(call.operation);
    const bool reply_lost = is_write && fault_ == fault::answer_lost;
    events_.after(fault_ == fault::slow ? slow_latency : latency, [this, call, reply, reply_lost] {
        const auto result = apply(call);
        if (!reply_lost)
            events_.after(latency, [reply, result] { reply(result); });
    });
}

state::platform_reply fake_store::apply(const state::platform_call& call)
{
    state::platform_reply reply;
    reply.call = call.call;
    reply.status = state::platform_status::ok;
    if (const auto* read = std::get_if<state::row_read>(&call.operation)) {
        const row_key key{read->table, read->key};
        const bool stale = fault_ == fault::stale_read && previous_.contains(key);
        const auto found = rows_.find(key);
        if (found == rows_.end()) {
            reply.status = state::platform_status::not_found;
            return reply;
        }
        const auto& returned = stale ? previous_.at(key) : found->second;
        reply.version = returned.version;
        reply.body = returned.value;
        if (on_read)
            on_read(call.operation);
    }
    else if (const auto* object = std::get_if<state::object_read>(&call.operation)) {
        if (objects_.contains(object->name))
            reply.body = objects_[object->name];
        else
            reply.status = state::platform_status::not_found;
    }
    else if (const auto* write = std::get_if<state::object_write>(&call.operation)) {
        objects_[write->name] = write->body;
    }
    else if (const auto* change = std::get_if<state::row_transaction>(&call.operation)) {
        transact(*change, reply);
        if (reply.status == state::platform_status::ok && on_written)
            on_written(call.operation);
    }
    else {
        reply.instances = instances_;
    }
    return reply;
}

void fake_store::transact(const state::row_transaction& change, state::platform_reply& reply)
{
    const auto condition_holds = [this](const state::row_condition& condition) {
        const auto found = rows_.find({condition.table, condition.key});
        return (found == rows_.end() ? 0 : found->second.version) == condition.version;
    };
    if (!std::all_of(change.conditions.begin(), change.conditions.end(), condition_holds)) {
        reply.status = state::platform_status::conflict;
        return;
    }
    reply.version = next_version_++;
    for (const auto& write : change.writes) {
        const row_key key{write.table, write.key};
        if (rows_.contains(key))
            previous_[key] = rows_[key];
        if (write.value)
            rows_[key] = {reply.version, *write.value};
        else
            rows_.erase(key);
    }
}

} // namespace knapweed::matrix
