#pragma once

#include "config.pb.h"
#include "peer.pb.h"
#include "state/configuration_publisher.h"
#include "state/membership.h"

#include <optional>
#include <vector>

namespace knapweed::state {

/** A message for one peer; the sender fills in `from`. */
struct addressed_message {
    core::instance_id instance;
    std::string address;
    wire::peer_message message;
};

/** Where a configuration came from. */
enum class configuration_source { table, peer, snapshot, publication };

struct configuration_store_options {
    core::milliseconds poll_interval{1000};
    std::size_t readers = 2; ///< instances of a data centre that poll the table
    /** Other instances read the table when they have learned nothing for that many poll intervals, in case
        the readers can't reach it. At 1600 instances this adds about 50 reads/s to the 160 of the readers. */
    unsigned idle_intervals = 30;
    core::milliseconds pull_timeout{1000}; ///< before a pull is sent again
    std::size_t pull_peers = 3;            ///< asked by an instance without a configuration
};

/** The configuration in force on this instance: the highest version seen, from whatever source.

    Driven by its owner:
    - `tick` at least every 10 ms; it polls the table through the client and appends messages for peers;
    - `note_peer_version` with the version in each heartbeat;
    - `pull_received` and `push_received` for these peer messages; send the reply of `pull_received` back;
    - `offer` with a snapshot read at start;
    - `publish` for operators' changes;
    - after each call compare `version()` with the last version applied and apply `current()` when it is
   higher.

    An invalid configuration is never taken over, whoever sends it; see `last_rejection`.
*/
class configuration_store {
public:
    /** @param members, client, time must outlive this object, and this object the client's calls. */
    configuration_store(configuration_store_options options, const membership& members,
                        platform_client& client, const core::clock& time, std::uint64_t seed);

    /** @returns the configuration in force; its version is 0 before the first one is known. */
    [[nodiscard]] const wire::configuration& current() const { return current_; }
    [[nodiscard]] std::uint64_t version() const { return current_.version(); }

    /** Takes a configuration over when it is valid and its version is higher than the one in force.
        @returns whether it was taken over. */
    bool offer(const wire::configuration& configuration, configuration_source source);

    /** Notes that a peer has a version; a higher one is pulled from it. */
    void note_peer_version(const core::instance_id& peer, std::uint64_t version);

    bool push_received(const wire::push_configuration& message);

    /** @returns the reply, or nothing when the peer knows the version in force. */
    [[nodiscard]] std::optional<wire::push_configuration>
    pull_received(const wire::pull_configuration& message) const;

    void tick(std::vector<addressed_message>& messages);

    /** Publishes a change. When the version in force is newer than @p base the result is a conflict, unless
        the same operation was published before. A committed change is in force here before @p done is called.
     */
    void publish(wire::configuration candidate, std::uint64_t base, publish_origin origin,
                 configuration_publisher::completion done);

    /** @returns whether this instance is one of those that poll the table for its data centre. */
    [[nodiscard]] bool is_reader() const;
    /** @returns when the table last answered a read, or nothing. */
    [[nodiscard]] std::optional<core::time_point> last_read() const { return last_read_; }
    /** @returns why the latest invalid configuration was not taken over; empty when there was none. */
    [[nodiscard]] const std::string& last_rejection() const { return last_rejection_; }

private:
    void poll();
    void on_polled(const platform_reply& reply);
    void push_to_peers(std::vector<addressed_message>& messages);
    void pull_newer(std::vector<addressed_message>& messages);
    void send_pull(const member& peer, std::vector<addressed_message>& messages) const;

    configuration_store_options options_;
    const membership& members_;
    platform_client& client_;
    const core::clock& time_;
    core::random_source random_;
    configuration_publisher publisher_;
    wire::configuration current_;
    std::string last_rejection_;
    std::optional<core::time_point> last_read_;
    core::time_point last_news_; ///< last time that a version was learned or confirmed by the table
    core::time_point next_poll_;
    core::time_point next_pull_;
    core::duration idle_limit_;
    bool polling_ = false;
    bool push_due_ = false;
    core::instance_id newer_peer_; ///< has the highest version that was heard of
    std::uint64_t newer_version_ = 0;
};

} // namespace knapweed::state

template <>
struct knapweed::core::names_of<knapweed::state::configuration_source> {
    static constexpr std::array<std::string_view, 4> table{"table", "peer", "snapshot", "publication"};
};
