#pragma once

#include "decision/node_context.h"
#include "decision/request_ledger.h"
#include "decision/ticket.h"

namespace knapweed::decision {

/** Issues tickets, which name the owner and the witness of a future request. */
class ticket_issuer {
public:
    /** @param shared and @p ledger must outlive this object. */
    ticket_issuer(node_context& shared, const request_ledger& ledger) : shared_(shared), ledger_(ledger) {}

    /** @returns a ticket whose owner is the first endpoint that is alive and whose incarnation is known. If
        there is none, the same as `issue()`. */
    [[nodiscard]] std::string issue_for(const std::vector<endpoint>& endpoints);

    /** @returns a ticket whose owner is this instance or, when it is leaving, the nearest alive peer. Empty
        when there is none. */
    [[nodiscard]] std::string issue();

private:
    [[nodiscard]] std::string issue_with_owner(const state::member& owner);
    [[nodiscard]] bool can_own(const state::member& candidate) const;

    node_context& shared_;
    const request_ledger& ledger_;
};

} // namespace knapweed::decision
