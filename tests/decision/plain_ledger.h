#pragma once

#include "decision/ledger_effects.h"

#include <set>

namespace knapweed::test {

/** One request identity that a caller used for an operation. After a refusal, the caller uses a new one. */
struct attempt_identity {
    std::size_t operation = 0;
    std::size_t version = 0; ///< counts the identities of the operation
    std::string ticket;
    std::string key;

    auto operator<=>(const attempt_identity&) const = default;
};

/** Records each run and each answer to a caller, and checks them against the guarantees of the ledger. It is
    outside the simulated instances, so no simulated fault affects it. */
class plain_ledger {
public:
    /** Records a run of a request by a backend server. */
    void ran(const attempt_identity& identity) { ran_.push_back(identity); }
    /** Records an answer that reached a caller. */
    void answer_delivered(const attempt_identity& identity, const decision::exchange_answer& answer);

    /** @returns the only correct answer to an operation. */
    [[nodiscard]] static std::string answer_of(std::size_t operation);

    /** @returns the first violation of a guarantee, or an empty string when there is none. */
    [[nodiscard]] std::string violation() const;

    /** @returns the number of runs. */
    [[nodiscard]] std::size_t runs() const { return ran_.size(); }
    /** @returns the outcome and reason of each answer that reached a caller, in order. */
    [[nodiscard]] const std::vector<std::string>& answers() const { return answers_; }

private:
    std::vector<attempt_identity> ran_;
    std::set<attempt_identity> refused_;
    std::vector<std::string> answers_;
    std::string wrong_answer_;
};

} // namespace knapweed::test
