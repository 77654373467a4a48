#include "state/configuration_store.h"

#include "state/configuration_json.h"
#include "state/configuration_rows.h"

namespace knapweed::state {

namespace {

constexpr std::string_view reader_task = "configuration_reader";

} // namespace

configuration_store::configuration_store(configuration_store_options options, const membership& members,
                                         platform_client& client, const core::clock& time, std::uint64_t seed)
    : options_(options), members_(members), client_(client), time_(time), random_(seed),
      publisher_(client, time), idle_since_(time.now()), next_poll_(time.now()), next_pull_(time.now()),
      // Jitter, so that during a long outage the instances that are not readers do not all read at once.
      idle_limit_(std::chrono::duration_cast<core::duration>(options.poll_interval * options.idle_intervals *
                                                             (0.75 + random_.fraction() / 2)))
{}

bool configuration_store::offer(const wire::configuration& configuration, configuration_source source)
{
    if (configuration.version() <= current_.version())
        return false;
    const auto errors = validate(configuration);
    if (!errors.empty()) {
        last_rejection_ = "version " + std::to_string(configuration.version()) + " from " +
                          std::string{core::name_of(source)} + ": " + describe(errors);
        return false;
    }
    current_ = configuration;
    idle_since_ = time_.now();
    next_pull_ = time_.now();
    // A version from a peer or a snapshot is not pushed, because that would multiply the messages: the other
    // peers find it in the heartbeats and pull it.
    if (source == configuration_source::table || source == configuration_source::publication)
        push_due_ = true;
    return true;
}

void configuration_store::note_peer_version(const core::instance_id& peer, std::uint64_t version)
{
    if (version <= current_.version() || version < newer_version_)
        return;
    newer_version_ = version;
    newer_peer_ = peer;
}

bool configuration_store::push_received(const wire::push_configuration& message)
{
    return offer(message.body(), configuration_source::peer);
}

std::optional<wire::push_configuration>
configuration_store::pull_received(const wire::pull_configuration& message) const
{
    if (message.known_version() >= current_.version())
        return std::nullopt;
    wire::push_configuration reply;
    *reply.mutable_body() = current_;
    return reply;
}

void configuration_store::tick(std::vector<addressed_message>& messages)
{
    poll();
    push_to_peers(messages);
    pull_newer(messages);
}

void configuration_store::publish(wire::configuration candidate, std::uint64_t base, publish_origin origin,
                                  configuration_publisher::completion done)
{
    publisher_.publish(std::move(candidate), base, current_, std::move(origin),
                       [this, done = std::move(done)](const publish_result& result) {
                           const bool is_written = result.status == publish_status::committed ||
                                                   result.status == publish_status::conflict;
                           if (is_written)
                               offer(result.configuration, configuration_source::publication);
                           done(result);
                       });
}

bool configuration_store::is_reader() const
{
    return members_.is_selected_for(reader_task, options_.readers);
}

void configuration_store::poll()
{
    const auto now = time_.now();
    if (poll_in_progress_ || now < next_poll_)
        return;
    const bool is_due = current_.version() == 0 || is_reader() || now - idle_since_ >= idle_limit_;
    if (!is_due)
        return;
    next_poll_ = now + options_.poll_interval;
    poll_in_progress_ = client_.submit(
        row_read{configuration_table, current_key}, [this](const platform_reply& reply) { on_polled(reply); },
        call_priority::poll);
}

void configuration_store::on_polled(const platform_reply& reply)
{
    poll_in_progress_ = false;
    if (reply.status != platform_status::ok && reply.status != platform_status::not_found) {
        // Otherwise an instance that is not a reader would poll without a pause during an outage.
        idle_since_ = time_.now();
        return;
    }
    last_read_ = time_.now();
    idle_since_ = time_.now();
    if (reply.status == platform_status::not_found)
        return;
    std::string error;
    const auto configuration = parse_configuration(reply.body, &error);
    if (configuration)
        offer(*configuration, configuration_source::table);
    else
        last_rejection_ = "row configuration/current: " + error;
}

void configuration_store::push_to_peers(std::vector<addressed_message>& messages)
{
    if (!push_due_)
        return;
    push_due_ = false;
    for (const member* peer : members_.heartbeat_targets()) {
        if (peer->configuration_version >= current_.version() || peer->state == member_state::failed)
            continue;
        addressed_message push{peer->instance, peer->address, {}};
        *push.message.mutable_push_configuration()->mutable_body() = current_;
        messages.push_back(std::move(push));
    }
}

void configuration_store::pull_newer(std::vector<addressed_message>& messages)
{
    const auto now = time_.now();
    if (now < next_pull_)
        return;
    const bool is_behind = newer_version_ > current_.version();
    if (!is_behind && current_.version() > 0)
        return;
    const member* newer = is_behind ? members_.find(newer_peer_) : nullptr;
    if (newer != nullptr) {
        send_pull(*newer, messages);
        // Cleared until the next heartbeat, so that a peer that has died is not pulled from again.
        newer_version_ = 0;
        next_pull_ = now + options_.pull_timeout;
        return;
    }
    newer_version_ = 0;
    if (current_.version() > 0)
        return;
    std::size_t pulls = 0;
    for (const member* peer : members_.by_nearness()) {
        if (peer->state == member_state::failed || pulls == options_.pull_peers)
            continue;
        send_pull(*peer, messages);
        ++pulls;
    }
    if (pulls > 0)
        next_pull_ = now + options_.pull_timeout;
}

void configuration_store::send_pull(const member& peer, std::vector<addressed_message>& messages) const
{
    addressed_message pull{peer.instance, peer.address, {}};
    pull.message.mutable_pull_configuration()->set_known_version(current_.version());
    messages.push_back(std::move(pull));
}

} // namespace knapweed::state
