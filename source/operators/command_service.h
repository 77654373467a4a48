#pragma once

#include "operators/configuration_changes.h"
#include "operators/node_reports.h"
#include "operators/routing_reports.h"

#include <unordered_set>

namespace knapweed::operators {

/** Executes operators' commands on one entry instance and answers each with exactly one `answer_operator`.

    Registers itself with `entry_node::on_operator_command`.
    @see docs/operators.md
*/
class command_service {
public:
    /** @param node must outlive this object. This object must exist until the last call of the node's
        `handle` and `tick`. */
    explicit command_service(decision::entry_node& node);
    command_service(const command_service&) = delete;
    command_service& operator=(const command_service&) = delete;
    ~command_service();

    /** @returns the number of commands that have not been answered yet. */
    [[nodiscard]] std::size_t in_progress() const { return unanswered_.size(); }

private:
    void on_command(const decision::operator_command_received& input);
    void answer(core::exchange_id exchange, const command_answer& given);
    void execute(const command& parsed, const decision::operator_command_received& input);

    [[nodiscard]] command_answer reply(const where_command& where) const;
    [[nodiscard]] command_answer reply(const why_command& why) const;
    [[nodiscard]] command_answer reply(const drain_command& drain);
    [[nodiscard]] command_answer reply(const quarantine_lift_command& lift);
    [[nodiscard]] command_answer reply(const config_show_command&) const { return reports_.configuration(); }
    [[nodiscard]] command_answer reply(const quarantine_list_command&) const
    {
        return reports_.quarantines();
    }
    [[nodiscard]] command_answer reply(const status_command&) const { return reports_.status(); }

    decision::entry_node& node_;
    node_reports reports_;
    routing_reports routing_;
    configuration_changes changes_;
    /** Exchanges of the commands that have not been answered yet. */
    std::unordered_set<core::exchange_id> unanswered_;
};

} // namespace knapweed::operators
