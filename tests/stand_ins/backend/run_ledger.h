#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace knapweed::stand_ins {

/** Counts how often each request was started on the servers of one process. */
class run_ledger {
public:
    /** @param name distinguishes the ledgers of different processes. */
    explicit run_ledger(std::string name) : name_(std::move(name)) {}

    void record_start(const std::string& caller, const std::string& key, bool idempotent);

    /** @returns the number of non-idempotent requests that were started more than once. */
    [[nodiscard]] std::uint64_t doubled_runs() const { return doubled_runs_; }

    /** @returns the requests and their numbers of runs as
        `{"ledger": NAME, "runs": [{caller, key, idempotent, runs}]}`.

        @param key selects the requests with one key; empty selects all.
    */
    [[nodiscard]] nlohmann::json list(const std::string& key) const;

    [[nodiscard]] const std::string& name() const { return name_; }

private:
    struct run_count {
        std::uint64_t runs = 0;
        bool idempotent = false;
    };

    std::string name_;
    std::map<std::pair<std::string, std::string>, run_count> counts_; ///< by key and caller
    std::uint64_t doubled_runs_ = 0;
};

} // namespace knapweed::stand_ins
