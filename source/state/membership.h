#pragma once

#include "peer.pb.h"
#include "state/platform.h"

#include <map>
#include <vector>

namespace knapweed::state {

enum class member_state { alive, suspected, failed, leaving };

struct membership_options {
    core::instance_id instance;
    core::incarnation incarnation;
    core::data_centre_id data_centre;
    core::region_id region;
    std::string address;
    core::milliseconds heartbeat_interval{500};
    core::milliseconds suspect_after{1500};
    core::milliseconds fail_after{3000};
    std::size_t full_mesh = 32;              ///< up to that many instances all exchange heartbeats
    core::milliseconds forget_after{600000}; ///< silence after which an instance off the list is dropped
    std::size_t max_members = 4096;
};

/** What one instance knows of one instance, itself included. */
struct member {
    core::instance_id instance;
    core::incarnation incarnation; ///< 0 until its first heartbeat
    std::string address;
    core::data_centre_id data_centre;
    core::region_id region;
    member_state state = member_state::alive;
    core::time_point last_heard;
    bool listed = false;            ///< in the platform's latest list
    bool dropped = false;           ///< was in the platform's list and is no longer
    bool leaving_announced = false; ///< by its own heartbeat, in this incarnation
    bool leaving_listed = false;
    bool old_leaving_listed = false; ///< the list said `leaving` of an earlier incarnation and still does
    std::uint64_t configuration_version = 0;
    std::uint32_t requests_in_progress = 0;
};

/** The instances that this instance knows of, from the platform's list and from heartbeats.

    Driven by its owner: call `tick` before handling any event and at least every 10 ms, `heartbeat_received`
    for each heartbeat, `list_received` for each reply to `instance_list_read`, `stop` when the graceful
    shutdown begins. Send a heartbeat to each of `heartbeat_targets` every heartbeat interval.

    Heartbeats outweigh the list, which lags: an instance that is heard is alive although the list has dropped
    it, and one that is silent fails although it is still listed.

    @see placement, endpoint_directory
*/
class membership {
public:
    /** @param time must outlive this object. */
    membership(membership_options options, const core::clock& time);

    /** Updates the states, at most every 10 ms, so that an event does not cost a pass over all members. When
       the previous call is more than `suspect_after` ago, this process was paused: all peers then count as
       silent, and heartbeats that arrive within one heartbeat interval are ignored, because they may have
       waited in a buffer during the pause.

        @returns whether a pause was detected since the previous call. */
    bool tick();

    /** @returns false when the heartbeat is of an older incarnation than one already heard, or names no
        instance or incarnation. */
    bool heartbeat_received(const wire::instance_ref& from, const wire::heartbeat& message);

    /** An empty list is ignored: at least this instance runs, so it is a fault of the platform. */
    void list_received(const std::vector<listed_instance>& list);

    /** Marks this instance as leaving. */
    void stop();

    [[nodiscard]] const membership_options& options() const { return options_; }
    [[nodiscard]] const member& self() const { return members_.at(options_.instance); }
    /** @returns the instance, or nothing when it is unknown. */
    [[nodiscard]] const member* find(const core::instance_id& instance) const;
    /** @returns all known instances with this one, in order of name. */
    [[nodiscard]] const std::map<core::instance_id, member>& all() const { return members_; }
    /** @returns all known peers: same data centre first, then same region, then the others. */
    [[nodiscard]] std::vector<const member*> by_nearness() const;
    /** @returns the peers that receive heartbeats: all up to `full_mesh` instances; above that those of the
        data centre and, from a relay, the relays of the other data centres. Silent peers are included while
        they are listed, so that the two sides of a partition find each other again. */
    [[nodiscard]] std::vector<const member*> heartbeat_targets() const;
    [[nodiscard]] core::duration time_since_heard(const member& peer) const;
    /** @returns whether this instance is among the first @p count of its data centre for a task, by
       rendezvous hashing over the instances that are alive. */
    [[nodiscard]] bool is_selected_for(std::string_view task, std::size_t count) const;
    /** @returns whether peers are known and none of them is alive. */
    [[nodiscard]] bool is_isolated() const;
    /** @returns whether a newer incarnation of this instance was heard: the platform has replaced it. */
    [[nodiscard]] bool is_replaced() const { return replaced_; }
    /** @returns a number that changes whenever an instance appears, disappears, moves to another data centre
       or changes state. */
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

private:
    void refresh(member& peer);
    void move_to(member& peer, const core::data_centre_id& data_centre, const core::region_id& region);
    void detect_pause();
    [[nodiscard]] member_state state_of(const member& peer) const;
    [[nodiscard]] std::vector<const member*> first_of(const core::data_centre_id& data_centre,
                                                      std::string_view task, std::size_t count) const;

    membership_options options_;
    const core::clock& time_;
    std::map<core::instance_id, member> members_;
    core::time_point last_call_;
    core::time_point next_refresh_{};
    core::time_point deaf_until_{};
    bool paused_ = false;
    bool replaced_ = false;
    std::uint64_t generation_ = 1;
};

/** @returns 0 in the same data centre, 1 in the same region, else 2. */
[[nodiscard]] int distance_between(const member& a, const member& b);

/** @returns the score of an instance for a key by rendezvous hashing; the highest score has the duty. */
[[nodiscard]] std::uint64_t rendezvous_score(const core::instance_id& instance, std::string_view key);

} // namespace knapweed::state

template <>
struct knapweed::core::names_of<knapweed::state::member_state> {
    static constexpr std::array<std::string_view, 4> table{"alive", "suspected", "failed", "leaving"};
};
