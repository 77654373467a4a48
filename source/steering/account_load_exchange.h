#pragma once

#include "accounts/accounts.h"
#include "steering/peer_fanout.h"

namespace knapweed::steering {

/** The instances over which a message sums up loads. */
enum class load_scope { instance, region, fleet };
inline constexpr std::size_t number_of_load_scopes = 3;

/** Loads of accounts that an instance tells others. */
struct account_load_message {
    core::instance_id instance;
    core::incarnation incarnation;
    std::uint64_t sequence = 0; ///< increases with each message of an incarnation
    load_scope scope = load_scope::instance;
    core::region_id region; ///< of the sender
    std::vector<accounts::account_load> loads;
};

/** Collects what arrives for each account at all other instances.

    In a full mesh, every instance sends its loads to every other one. Beyond it, each sends them to the hub
   of its region; the hub sends the sums over its region to the hubs of the other regions, and the sums over
   all regions to the instances of its own.

    A load stays as it was heard last for some time after its instance has fallen silent: an instance that is
   cut off must not take over the parts of all others.

    Owned by the steerer.
*/
class account_load_exchange {
public:
    struct outgoing_message {
        account_load_message message; ///< without its sequence number
        std::vector<std::string> receivers;
    };

    /** @param peers, @p fanout and @p time must outlive this object. */
    account_load_exchange(core::instance_id own, core::region_id region, const peer_table& peers,
                          const peer_fanout& fanout, const core::clock& time);

    /** Stores a message unless it is older than the stored one of its sender. */
    void receive(const account_load_message& message);
    /** @param own loads of this instance. @returns the messages that are due now. */
    [[nodiscard]] std::vector<outgoing_message> next_messages(const std::vector<accounts::account_load>& own);
    /** @returns the sums over all other instances; nothing while too little of them is known. */
    [[nodiscard]] std::optional<std::vector<accounts::account_load>> others() const;
    /** Forgets instances that have been silent for long. */
    void tick();

private:
    struct source {
        account_load_message latest;
        core::time_point received_at;
    };
    using sums = std::map<std::uint32_t, accounts::account_load>;

    [[nodiscard]] bool is_current(const source& candidate) const;
    /** @returns the sums over the other instances of the region, or of all in a full mesh. */
    [[nodiscard]] sums sum_of_instances() const;
    /** Adds the sums that the hubs of other regions have sent. */
    void add_regions(sums& total) const;
    /** @returns the latest message about the fleet from the hub of this region, or null. */
    [[nodiscard]] const source* fleet_message() const;

    core::instance_id own_;
    core::region_id region_;
    const peer_table& peers_;
    const peer_fanout& fanout_;
    const core::clock& time_;
    std::map<std::pair<core::instance_id, load_scope>, source> sources_;
    std::vector<accounts::account_load> last_sent_; ///< part of the next sums over the fleet
};

} // namespace knapweed::steering
