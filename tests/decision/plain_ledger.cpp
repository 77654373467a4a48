#include "decision/plain_ledger.h"

#include <map>

namespace knapweed::test {

using namespace decision;

std::string plain_ledger::answer_of(std::size_t operation)
{
    return "answer " + std::to_string(operation);
}

void plain_ledger::answer_delivered(const attempt_identity& identity, const exchange_answer& answer)
{
    if (const auto* stored = std::get_if<answer_stored>(&answer)) {
        if (stored->answer.body != answer_of(identity.operation))
            wrong_answer_ = "operation " + std::to_string(identity.operation) + " got " + stored->answer.body;
        answers_.emplace_back("done");
    }
    else if (const auto* lost = std::get_if<answer_unknown>(&answer)) {
        answers_.push_back("unknown " + std::string{core::name_of(lost->reason)});
    }
    else {
        answers_.push_back("refused " + std::string{core::name_of(std::get<answer_refused>(answer).reason)});
        refused_.insert(identity);
    }
}

std::string plain_ledger::violation() const
{
    std::map<std::size_t, int> by_operation;
    std::map<std::pair<std::string, std::string>, int> by_identity;
    for (const auto& identity : ran_) {
        if (++by_operation[identity.operation] > 1)
            return "operation " + std::to_string(identity.operation) + " ran twice";
        if (++by_identity[{identity.ticket, identity.key}] > 1)
            return "one identity ran twice";
        if (refused_.contains(identity))
            return "operation " + std::to_string(identity.operation) + " was refused and ran";
    }
    return wrong_answer_;
}

} // namespace knapweed::test
