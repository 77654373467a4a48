#pragma once

#include "state/state.h"

#include <algorithm>
#include <map>
#include <utility>

namespace knapweed::tests {

/** Table service and object store in memory, which can simulate the faults of the real ones. */
class fake_platform {
public:
    enum class fault {
        none,
        unreachable,
        lost_answer,  ///< the call is carried out, but no reply is sent
        lost_request, ///< the call is neither carried out nor replied to
        late_request  ///< as `lost_request`, until `apply_late` carries the call out
    };

    /** Makes the next @p count writes fail. */
    void fail_writes(fault kind, int count = 1) { write_faults_ = {kind, count}; }
    /** Makes all later calls fail; `fault::none` ends this. */
    void fail_all(fault kind) { permanent_fault_ = kind; }

    /** Ticks a client, carries out the calls that it sends and passes the replies to it. */
    void serve(state::platform_client& client)
    {
        std::vector<state::platform_call> calls;
        client.tick(calls);
        for (const auto& call : calls) {
            const auto reply = answer(call);
            if (reply)
                client.replied(*reply);
        }
    }

    /** Carries out the calls that the fault `late_request` has held back. */
    void apply_late()
    {
        for (const auto& call : std::exchange(held_back_, {}))
            apply(call);
    }

    void put(const std::string& table, const std::string& key, std::string value)
    {
        rows[{table, key}] = {next_version_++, std::move(value)};
    }

    std::map<std::pair<std::string, std::string>, std::pair<std::uint64_t, std::string>> rows;
    std::map<std::string, std::string> objects;
    int reads = 0;
    int writes = 0;

    /** Carries out one call.
        @returns the reply, or nothing when it is lost. */
    std::optional<state::platform_reply> answer(const state::platform_call& call)
    {
        const bool is_write = std::holds_alternative<state::row_transaction>(call.operation) ||
                              std::holds_alternative<state::object_write>(call.operation);
        ++(is_write ? writes : reads);
        fault kind = permanent_fault_;
        if (is_write && write_faults_.second > 0) {
            --write_faults_.second;
            kind = write_faults_.first;
        }
        state::platform_reply reply;
        reply.call = call.call;
        reply.status = state::platform_status::unreachable;
        switch (kind) {
        case fault::none:
            return apply(call);
        case fault::unreachable:
            return reply;
        case fault::lost_answer:
            apply(call);
            return std::nullopt;
        case fault::late_request:
            held_back_.push_back(call);
            return std::nullopt;
        case fault::lost_request:
            return std::nullopt;
        }
        return std::nullopt;
    }

private:
    state::platform_reply apply(const state::platform_call& call)
    {
        state::platform_reply reply;
        reply.call = call.call;
        reply.status = state::platform_status::ok;
        if (const auto* read = std::get_if<state::row_read>(&call.operation)) {
            const auto row = rows.find({read->table, read->key});
            if (row == rows.end())
                reply.status = state::platform_status::not_found;
            else
                std::tie(reply.version, reply.body) = row->second;
        }
        else if (const auto* object = std::get_if<state::object_read>(&call.operation)) {
            if (objects.contains(object->name))
                reply.body = objects[object->name];
            else
                reply.status = state::platform_status::not_found;
        }
        else if (const auto* write = std::get_if<state::object_write>(&call.operation)) {
            objects[write->name] = write->body;
        }
        else if (const auto* transaction = std::get_if<state::row_transaction>(&call.operation)) {
            execute(*transaction, reply);
        }
        return reply;
    }

    void execute(const state::row_transaction& transaction, state::platform_reply& reply)
    {
        const auto is_met = [this](const state::row_condition& condition) {
            const auto row = rows.find({condition.table, condition.key});
            return (row == rows.end() ? 0 : row->second.first) == condition.version;
        };
        if (!std::all_of(transaction.conditions.begin(), transaction.conditions.end(), is_met)) {
            reply.status = state::platform_status::conflict;
            return;
        }
        reply.version = next_version_++;
        for (const auto& write : transaction.writes) {
            if (write.value)
                rows[{write.table, write.key}] = {reply.version, *write.value};
            else
                rows.erase({write.table, write.key});
        }
    }

    std::pair<fault, int> write_faults_{fault::none, 0};
    fault permanent_fault_ = fault::none;
    std::vector<state::platform_call> held_back_;
    std::uint64_t next_version_ = 1;
};

} // namespace knapweed::tests
