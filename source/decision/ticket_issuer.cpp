#include "decision/ticket_issuer.h"

#include <algorithm>

namespace knapweed::decision {

std::string ticket_issuer::issue_for(const std::vector<endpoint>& endpoints)
{
    for (const auto& candidate : endpoints) {
        const auto* member = shared_.members.find(candidate.instance);
        if (member != nullptr && can_own(*member))
            return issue_with_owner(*member);
    }
    return issue();
}

std::string ticket_issuer::issue()
{
    if (can_own(shared_.members.self()))
        return issue_with_owner(shared_.members.self());
    for (const auto* peer : shared_.members.by_nearness()) {
        if (can_own(*peer))
            return issue_with_owner(*peer);
    }
    return {};
}

std::string ticket_issuer::issue_with_owner(const state::member& owner)
{
    ticket issued;
    issued.owner = owner.instance;
    issued.owner_incarnation = owner.incarnation;
    if (const auto chosen = shared_.placement.pick_witness(owner, shared_.random.next())) {
        issued.witness = chosen->instance;
        issued.witness_incarnation = chosen->incarnation;
    }
    issued.serial = shared_.random.next();
    // A full record table rejects tickets with an earlier expiry for new requests, so this one must expire
    // later.
    issued.expiry = std::max(ledger_.now() + shared_.options.ticket_lifetime,
                             ledger_.tickets_rejected_until() + core::milliseconds{1});
    return encode_ticket(issued);
}

bool ticket_issuer::can_own(const state::member& candidate) const
{
    return candidate.state == state::member_state::alive && candidate.incarnation.value != 0;
}

} // namespace knapweed::decision
