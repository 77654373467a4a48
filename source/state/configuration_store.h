#pragma once

#include "config.pb.h"
#include "peer.pb.h"
#include "state/configuration_publisher.h"
#include "state/membership.h"

#include <optional>
#include <vector>

namespace knapweed::state {

/** A message for one peer; the field `from` is set when it is sent. */
struct addressed_message {
    core::instance_id instance;
    std::string address;
    wire::peer_message message;
};

/** Source from which a configuration was received. */
enum class configuration_source { table, peer, snapshot, publication };

struct configuration_store_options {
    core::milliseconds poll_interval{1000};
    std::size_t readers = 2; ///< number of instances of each data centre that poll the table
    /** Other instances read the table after this number of poll intervals without a new or confirmed
        version, in case the readers can't reach it. With 1600 instances this adds about 50 reads/s to the
        160 reads/s of the readers. */
    unsigned idle_intervals = 30;
    core::milliseconds pull_timeout{1000}; ///< time before a pull is sent again
    std::size_t pull_peers = 3;            ///< peers that an instance without a configuration pulls from
};

/** Holds the configuration in force on this instance: the highest valid version received from any source.

    Call:
    - `tick` at least every 10 ms; it polls the table through the client and appends messages for peers;
    - `note_peer_version` with the version in each heartbeat;
    - `pull_received` and `push_received` for these peer messages, and send the reply of `pull_received` back;
    - `offer` with a snapshot read at start;
    - `publish` for operators' changes.

    After each call compare `version()` with the version applied last, and apply `current()` when it is
    higher.

    An invalid configuration is rejected, whatever its source; see `last_rejection`.
*/
class configuration_store {
public:
    /** @param members, client, time must outlive this object. This object must exist until the client's
        calls have completed. */
    configuration_store(configuration_store_options options, const membership& members,
                        platform_client& client, const core::clock& time, std::uint64_t seed);

    /** @returns the configuration in force; its version is 0 until one has been received. */
    [[nodiscard]] const wire::configuration& current() const { return current_; }
    [[nodiscard]] std::uint64_t version() const { return current_.version(); }

    /** Puts a configuration into force when it is valid and its version is higher than the current one.
        @returns whether it was put into force. */
    bool offer(const wire::configuration& configuration, configuration_source source);

    /** Records the version of a peer; if it is higher than the one in force, `tick` pulls it. */
    void note_peer_version(const core::instance_id& peer, std::uint64_t version);

    /** @returns whether the configuration in the message was put into force. */
    bool push_received(const wire::push_configuration& message);

    /** @returns the reply, or nothing when the peer already has the version in force. */
    [[nodiscard]] std::optional<wire::push_configuration>
    pull_received(const wire::pull_configuration& message) const;

    /** Polls the table, and appends pushes to and pulls from peers to @p messages. */
    void tick(std::vector<addressed_message>& messages);

    /** Publishes a change that was made from version @p base. When the version in force is newer, the result
        is a conflict, unless the same operation was published before. A committed change is in force on this
        instance before @p done is called. */
    void publish(wire::configuration candidate, std::uint64_t base, publish_origin origin,
                 configuration_publisher::completion done);

    /** @returns whether this instance is one of those in its data centre that poll the table. */
    [[nodiscard]] bool is_reader() const;
    /** @returns when the table last answered a read, or nothing when it has not yet. */
    [[nodiscard]] std::optional<core::time_point> last_read() const { return last_read_; }
    /** @returns why the latest invalid configuration was rejected; empty when there was none. */
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
    core::time_point idle_since_; ///< when a version was last received or a poll last completed
    core::time_point next_poll_;
    core::time_point next_pull_;
    core::duration idle_limit_;
    bool poll_in_progress_ = false;
    bool push_due_ = false;
    core::instance_id newer_peer_; ///< peer with the highest version reported
    std::uint64_t newer_version_ = 0;
};

} // namespace knapweed::state

template <>
struct knapweed::core::names_of<knapweed::state::configuration_source> {
    static constexpr std::array<std::string_view, 4> table{"table", "peer", "snapshot", "publication"};
};
