#include "state/configuration_publisher.h"

#include "state/configuration_json.h"
#include "state/configuration_rows.h"

#include <algorithm>

namespace knapweed::state {

namespace {

bool is_unanswered(const platform_reply& reply)
{
    return reply.status == platform_status::unreachable || reply.status == platform_status::timed_out;
}

} // namespace

configuration_publisher::configuration_publisher(platform_client& client, const core::clock& time)
    : client_(client), time_(time)
{}

void configuration_publisher::publish(wire::configuration candidate, std::uint64_t base,
                                      const wire::configuration& in_force, publish_origin origin,
                                      completion done)
{
    auto errors = validate(candidate);
    if (origin.operation.empty())
        errors.push_back({"change.operation", "must not be empty"});
    if (!errors.empty()) {
        auto detail = describe(errors);
        done({publish_status::invalid, std::move(candidate), std::move(errors), std::move(detail)});
        return;
    }
    auto& change = *candidate.mutable_change();
    change.set_operation(std::move(origin.operation));
    change.set_operator_name(std::move(origin.operator_name));
    change.set_summary(std::move(origin.summary));
    const auto since_epoch = time_.wall_now().time_since_epoch();
    const auto unix_ms = std::chrono::duration_cast<core::milliseconds>(since_epoch).count();
    change.set_unix_ms(static_cast<std::uint64_t>(unix_ms));

    const auto id = next_++;
    publication& added = publications_[id];
    added.candidate = std::move(candidate);
    added.base = base;
    if (in_force.version() > base)
        added.newer = in_force;
    added.done = std::move(done);
    read_current(id);
}

void configuration_publisher::call(publication_id id, platform_operation operation, step next)
{
    const auto completed = [this, id, next](const platform_reply& reply) { (this->*next)(id, reply); };
    if (client_.submit(std::move(operation), completed, call_priority::change))
        return;
    platform_reply refused;
    refused.status = platform_status::unreachable;
    completed(refused);
}

void configuration_publisher::read_current(publication_id id)
{
    call(id, row_read{configuration_table, current_key}, &configuration_publisher::on_current);
}

void configuration_publisher::on_current(publication_id id, const platform_reply& reply)
{
    if (is_unanswered(reply)) {
        finish_unanswered(id);
        return;
    }
    publication& pending = publications_.at(id);
    std::optional<wire::configuration> row;
    if (reply.status == platform_status::ok)
        row = parse_configuration(reply.body);
    if (row && row->change().operation() == pending.candidate.change().operation()) {
        pending.candidate = *row;
        finish(id, publish_status::committed, "already in the table");
        return;
    }
    // After the table was restored from a copy, the row may be older than `base`; the version still
    // increases.
    pending.candidate.set_version(pending.base + 1);
    pending.candidate.mutable_change()->set_replaced_version(pending.base);
    if (row && row->version() > pending.base)
        pending.newer = std::move(row);
    if (pending.newer) {
        read_history_row(id);
        return;
    }
    pending.row_version = reply.status == platform_status::ok ? reply.version : 0;
    write(id);
}

void configuration_publisher::write(publication_id id)
{
    publication& pending = publications_.at(id);
    if (pending.attempts >= max_attempts) {
        if (pending.may_be_written)
            finish_unanswered(id);
        else
            finish(id, publish_status::conflict, "the table service refused the change repeatedly");
        return;
    }
    ++pending.attempts;
    const auto json = to_json(pending.candidate);
    const auto history_key = std::to_string(pending.candidate.version());
    row_transaction transaction;
    transaction.conditions = {{configuration_table, current_key, pending.row_version},
                              {history_table, history_key, 0}};
    transaction.writes = {{configuration_table, current_key, json}, {history_table, history_key, json}};
    call(id, std::move(transaction), &configuration_publisher::on_written);
}

void configuration_publisher::on_written(publication_id id, const platform_reply& reply)
{
    publication& pending = publications_.at(id);
    switch (reply.status) {
    case platform_status::ok:
        finish(id, publish_status::committed, "");
        return;
    case platform_status::unreachable:
        finish_unanswered(id);
        return;
    case platform_status::timed_out:
        pending.may_be_written = true;
        break;
    case platform_status::conflict:
    case platform_status::not_found:
        break;
    }
    read_history_row(id);
}

void configuration_publisher::read_history_row(publication_id id)
{
    const auto version = publications_.at(id).candidate.version();
    call(id, row_read{history_table, std::to_string(version)}, &configuration_publisher::on_history_row);
}

void configuration_publisher::on_history_row(publication_id id, const platform_reply& reply)
{
    publication& pending = publications_.at(id);
    if (is_unanswered(reply)) {
        if (++pending.read_backs >= max_read_backs)
            finish_unanswered(id);
        else
            read_history_row(id);
        return;
    }
    const auto row = reply.status == platform_status::ok ? parse_configuration(reply.body) : std::nullopt;
    if (!row && pending.newer) {
        finish_conflict(id, wire::configuration{*pending.newer});
        return;
    }
    if (!row) {
        // This version has not been written: the earlier read was stale, or the transaction was lost or is
        // still on its way.
        if (++pending.read_backs >= max_read_backs)
            finish_unanswered(id);
        else
            read_current(id);
        return;
    }
    if (row->change().operation() == pending.candidate.change().operation()) {
        finish(id, publish_status::committed, "");
        return;
    }
    finish_conflict(id, *row);
}

void configuration_publisher::finish_conflict(publication_id id, const wire::configuration& winner)
{
    publications_.at(id).candidate = winner;
    finish(id, publish_status::conflict,
           "version " + std::to_string(winner.version()) + " was made by " + winner.change().operator_name() +
               ": " + winner.change().summary());
}

void configuration_publisher::finish(publication_id id, publish_status status, std::string detail)
{
    const auto finished = std::move(publications_.at(id));
    publications_.erase(id);
    finished.done({status, finished.candidate, {}, std::move(detail)});
}

void configuration_publisher::finish_unanswered(publication_id id)
{
    if (publications_.at(id).may_be_written)
        finish(id, publish_status::unknown,
               "the answer of the table service was lost; send the same operation again");
    else
        finish(id, publish_status::unreachable, "the table service can't be reached; nothing was changed");
}

} // namespace knapweed::state
