#pragma once

#include "peer.pb.h"
#include "state/platform.h"

#include <map>
#include <vector>

namespace knapweed::state {

/** State of an instance as estimated by this instance. */
enum class member_state {
    alive,
    suspected, ///< silent for `membership_options::suspect_after`
    failed,    ///< silent for `membership_options::fail_after`, or suspected and removed from the list
    leaving    ///< shuts down gracefully
};

struct membership_options {
    core::instance_id instance;
    core::incarnation incarnation;
    core::data_centre_id data_centre;
    core::region_id region;
    std::string address;
    core::milliseconds heartbeat_interval{500};
    core::milliseconds suspect_after{1500};
    core::milliseconds fail_after{3000};
    std::size_t full_mesh = 32; ///< up to this number of instances, each sends heartbeats to all others
    /** Silence after which an instance that is not in the platform's list is removed. */
    core::milliseconds remove_after{600000};
    std::size_t max_members = 4096;
};

/** What this instance has stored about one instance, itself included. */
struct member {
    core::instance_id instance;
    core::incarnation incarnation; ///< 0 until its first heartbeat
    std::string address;
    core::data_centre_id data_centre;
    core::region_id region;
    member_state state = member_state::alive;
    core::time_point last_heartbeat; ///< or when it was first listed, before its first heartbeat
    bool listed = false;             ///< is in the platform's latest list
    bool delisted = false;           ///< was in the platform's list and no longer is
    bool leaving_announced = false;  ///< it sent a heartbeat as `leaving` in this incarnation
    bool listed_as_leaving = false;  ///< the platform's list marks this incarnation as leaving
    /** The list marked an earlier incarnation as leaving, and the mark is still there. */
    bool old_incarnation_listed_as_leaving = false;
    std::uint64_t configuration_version = 0;
    std::uint32_t requests_in_progress = 0;
};

/** Table of all known instances and their states, built from the platform's list and from heartbeats.

    Call `tick` before handling any event and at least every 10 ms, `heartbeat_received` for each heartbeat,
    `list_received` for each reply to `instance_list_read`, and `stop` when the graceful shutdown begins. Send
    a heartbeat to each of `heartbeat_targets` every heartbeat interval.

    Heartbeats take precedence over the list, which lags: an instance that sends heartbeats is alive even when
    it is no longer listed, and a silent one is classified as failed even while it is still listed.

    @see placement, endpoint_directory
*/
class membership {
public:
    /** @param time must outlive this object. */
    membership(membership_options options, const core::clock& time);

    /** Updates the states, at most every 10 ms, so that an event does not cost a pass over all members.

        When the previous call is more than `suspect_after` ago, this process was paused. All peers are then
        treated as silent, and for one heartbeat interval heartbeats do not end a peer's silence, because
        they may have waited in a buffer during the pause; those of a newer incarnation are excepted.

        @returns whether a pause was detected since the previous call. */
    bool tick();

    /** Updates the sender's entry.
        @returns false when the heartbeat is ignored: it comes from an older incarnation than an earlier
        heartbeat or from an instance with the name of this one, has no instance name or incarnation, or the
        table is full. */
    bool heartbeat_received(const wire::instance_ref& from, const wire::heartbeat& message);

    /** Applies the platform's list. An empty list is ignored: since at least this instance is running, an
        empty list is a fault of the platform. */
    void list_received(const std::vector<listed_instance>& list);

    /** Marks this instance as leaving. */
    void stop();

    [[nodiscard]] const membership_options& options() const { return options_; }
    [[nodiscard]] const member& self() const { return members_.at(options_.instance); }
    /** @returns the instance, or null when it is unknown. */
    [[nodiscard]] const member* find(const core::instance_id& instance) const;
    /** @returns all known instances, including this one, ordered by name. */
    [[nodiscard]] const std::map<core::instance_id, member>& all() const { return members_; }
    /** @returns all known peers: same data centre first, then same region, then the others. */
    [[nodiscard]] std::vector<const member*> by_nearness() const;
    /** @returns the peers to send heartbeats to. With up to `full_mesh` instances these are all peers; with
        more, those of the same data centre and, if this instance is a relay, the relays of the other data
        centres. Failed peers are included while they are listed, so that the two sides of a partition
        reconnect when it ends. */
    [[nodiscard]] std::vector<const member*> heartbeat_targets() const;
    /** @returns how long the instance has been silent. */
    [[nodiscard]] core::duration time_since_heartbeat(const member& peer) const;
    /** @returns whether this instance has one of the @p count highest rendezvous scores for a task among the
        alive instances of its data centre. */
    [[nodiscard]] bool is_selected_for(std::string_view task, std::size_t count) const;
    /** @returns whether peers are known and none of them is alive or leaving. */
    [[nodiscard]] bool is_isolated() const;
    /** @returns whether a heartbeat of a newer incarnation of this instance arrived, which means that the
        platform has replaced this one. */
    [[nodiscard]] bool is_replaced() const { return replaced_; }
    /** @returns a number that increases whenever an instance is added, removed, restarted, moved to another
        data centre or region, or changes its state. */
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

private:
    void update_state(member& peer);
    void move_to(member& peer, const core::data_centre_id& data_centre, const core::region_id& region);
    void detect_pause();
    [[nodiscard]] member_state state_of(const member& peer) const;
    /** @returns the alive instances of a data centre with the @p count highest scores for a task. */
    [[nodiscard]] std::vector<const member*> highest_scoring(const core::data_centre_id& data_centre,
                                                             std::string_view task, std::size_t count) const;

    membership_options options_;
    const core::clock& time_;
    std::map<core::instance_id, member> members_;
    core::time_point last_call_;
    core::time_point next_update_{};
    core::time_point heartbeats_ignored_until_{};
    bool paused_ = false;
    bool replaced_ = false;
    std::uint64_t generation_ = 1;
};

/** @returns 0 in the same data centre, 1 in the same region, else 2. */
[[nodiscard]] int distance_between(const member& a, const member& b);

/** @returns the score of an instance for a key by rendezvous hashing. The instance with the highest score is
    selected for the key. */
[[nodiscard]] std::uint64_t rendezvous_score(const core::instance_id& instance, std::string_view key);

} // namespace knapweed::state

template <>
struct knapweed::core::names_of<knapweed::state::member_state> {
    static constexpr std::array<std::string_view, 4> table{"alive", "suspected", "failed", "leaving"};
};
