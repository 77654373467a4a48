#pragma once

#include "decision/entry_node.h"
#include "operators/command_answer.h"
#include "state/configuration_history.h"

#include <functional>

namespace knapweed::operators {

/** Publishes the changes that operators request, and reads the history of the configuration.

    Both need calls to the platform, so the answer is usually given later, inside the node's `handle` or
    `tick`.
*/
class configuration_changes {
public:
    using answer_function = std::function<void(core::exchange_id, const command_answer&)>;

    /** @param node must outlive this object. This object must exist until the node's calls to the platform
        have completed.
        @param answer called once for each call of `publish` and `history`. */
    configuration_changes(decision::entry_node& node, answer_function answer)
        : node_(node), answer_(std::move(answer))
    {}

    /** Publishes a change.
        @param change a command for which `changes_configuration` is true.
        @param input if its operation is empty, a unique one is generated for the change. */
    void publish(const command& change, const decision::operator_command_received& input);

    /** Answers with the change records of the latest `history_rows` versions. */
    void history(core::exchange_id exchange);

    static constexpr std::size_t history_rows = 10;
    static constexpr std::size_t longest_operation = 128;    ///< bytes
    static constexpr std::size_t longest_operator_name = 64; ///< bytes

private:
    [[nodiscard]] state::publish_origin origin_of(const decision::operator_command_received& input);
    void on_published(core::exchange_id exchange, const command& change, const state::publish_result& result);
    [[nodiscard]] command_answer committed(const command& change, const wire::configuration& written) const;
    [[nodiscard]] command_answer history_answer(const state::history_result& result) const;

    decision::entry_node& node_;
    answer_function answer_;
    std::uint64_t next_operation_ = 1;
};

} // namespace knapweed::operators
