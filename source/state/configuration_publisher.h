#pragma once

#include "config.pb.h"
#include "state/configuration_rules.h"
#include "state/platform_client.h"

#include <functional>
#include <map>
#include <optional>

namespace knapweed::state {

/** Outcome of a publication. */
enum class publish_status {
    committed,   ///< the version was written to the table
    invalid,     ///< the configuration breaks a rule; nothing was written
    conflict,    ///< another change was made first; nothing was written
    unreachable, ///< the table service can't be reached; nothing was written
    unknown      ///< the answer was lost and reading back gave no result: the change may take effect
};

struct publish_result {
    publish_status status = publish_status::unknown;
    /** The configuration as written, with version and change record; for `conflict` the one that was written
        first. */
    wire::configuration configuration;
    std::vector<configuration_error> errors;
    std::string detail; ///< message for the operator
};

/** Identifies a change and who makes it. */
struct publish_origin {
    std::string operation; ///< unique identifier of the change; a repeated one is published once
    std::string operator_name;
    std::string summary; ///< what is changed and why
};

/** Writes new versions of the configuration to the table service by compare-and-set.

    Steps of one publication:
    - read the row `configuration/current`;
    - write it together with the history row of the new version, on condition that it has not changed;
    - after a lost answer or a conflict, read the history row of the version, whose operation identifier shows
      which change was written. If that row does not exist, start again with the first step; the conditions of
      the transactions ensure that no change is written twice, even when an earlier transaction takes effect
      late.

    Results are delivered inside `tick` and `replied` of the `platform_client`.
*/
class configuration_publisher {
public:
    using completion = std::function<void(const publish_result&)>;

    /** @param client must outlive this object. This object must exist until the client's calls have
        completed.
        @param time must outlive this object. */
    configuration_publisher(platform_client& client, const core::clock& time);

    /** Starts a publication.
        @param candidate new configuration; its version and change record are set by this function.
        @param base version that the change was made from.
        @param in_force configuration in force. When it is newer than @p base nothing is written, and the
        history row of the next version after @p base shows whether this operation was published before.
        @param done called once, possibly before this function returns. */
    void publish(wire::configuration candidate, std::uint64_t base, const wire::configuration& in_force,
                 publish_origin origin, completion done);

    /** @returns the number of unfinished publications. */
    [[nodiscard]] std::size_t in_progress() const { return publications_.size(); }

    /** Transactions sent for one publication. */
    static constexpr unsigned max_attempts = 4;
    /** Reads of history rows without a result, for one publication. */
    static constexpr unsigned max_read_backs = 8;

private:
    struct publication {
        wire::configuration candidate;
        std::uint64_t base = 0;
        std::optional<wire::configuration> newer; ///< known configuration that is newer than the base
        completion done;
        std::uint64_t row_version = 0; ///< of the row `configuration/current` as last read
        unsigned attempts = 0;
        unsigned read_backs = 0;
        bool may_be_written = false; ///< the answer to a transaction was lost
    };
    using publication_id = std::uint64_t;
    using step = void (configuration_publisher::*)(publication_id, const platform_reply&);

    void call(publication_id id, platform_operation operation, step next);
    void read_current(publication_id id);
    void on_current(publication_id id, const platform_reply& reply);
    void write(publication_id id);
    void on_written(publication_id id, const platform_reply& reply);
    void read_history_row(publication_id id);
    void on_history_row(publication_id id, const platform_reply& reply);
    void finish_conflict(publication_id id, const wire::configuration& winner);
    void finish(publication_id id, publish_status status, std::string detail);
    void finish_unanswered(publication_id id);

    platform_client& client_;
    const core::clock& time_;
    publication_id next_ = 1;
    std::map<publication_id, publication> publications_;
};

} // namespace knapweed::state

template <>
struct knapweed::core::names_of<knapweed::state::publish_status> {
    static constexpr std::array<std::string_view, 5> table{"committed", "invalid", "conflict", "unreachable",
                                                           "unknown"};
};
