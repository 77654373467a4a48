#pragma once

#include "decision/entry_node.h"
#include "operators/command_answer.h"

namespace knapweed::operators {

/** Answers the commands `status`, `config show`, `quarantine list` and `why REQUEST` from the state of one
    instance. */
class node_reports {
public:
    /** @param node must outlive this object. */
    explicit node_reports(const decision::entry_node& node) : node_(node) {}

    [[nodiscard]] command_answer status() const;
    [[nodiscard]] command_answer configuration() const;
    [[nodiscard]] command_answer quarantines() const;

    /** @param request caller and idempotency key, separated by '/' */
    [[nodiscard]] command_answer why_request(const std::string& request) const;

    /** @returns what this instance can't do at present, each with the reason; empty when it can do
        everything. */
    [[nodiscard]] std::vector<std::string> impairments() const;

private:
    [[nodiscard]] nlohmann::json members() const;
    [[nodiscard]] nlohmann::json owned_pools() const;
    [[nodiscard]] std::optional<core::duration> last_read_age() const;

    const decision::entry_node& node_;
};

} // namespace knapweed::operators
