#include "state/membership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace knapweed::state {

namespace {

constexpr std::size_t relays_per_data_centre = 2;
constexpr std::string_view relay_task = "heartbeat_relay";

/** Limits how often all states are updated: silence is measured in seconds, and a pass over 1,600 members for
    each event took more than 20 us. */
constexpr core::milliseconds update_interval{10};

} // namespace

membership::membership(membership_options options, const core::clock& time)
    : options_(std::move(options)), time_(time), last_call_(time.now())
{
    member& self = members_[options_.instance];
    self.instance = options_.instance;
    self.incarnation = options_.incarnation;
    self.address = options_.address;
    self.data_centre = options_.data_centre;
    self.region = options_.region;
    self.last_heartbeat = time.now();
}

bool membership::tick()
{
    detect_pause();
    const auto now = time_.now();
    if (now < next_update_)
        return std::exchange(paused_, false);
    next_update_ = now + update_interval;
    for (auto entry = members_.begin(); entry != members_.end();) {
        update_state(entry->second);
        const member& peer = entry->second;
        const bool expired = !peer.listed && now - peer.last_heartbeat > options_.remove_after;
        entry = expired ? members_.erase(entry) : std::next(entry);
        generation_ += expired ? 1 : 0;
    }
    return std::exchange(paused_, false);
}

bool membership::heartbeat_received(const wire::instance_ref& from, const wire::heartbeat& message)
{
    detect_pause();
    const core::instance_id instance{from.instance()};
    const core::incarnation incarnation{from.incarnation()};
    if (instance.empty() || incarnation.value == 0)
        return false;
    if (instance == options_.instance) {
        replaced_ = replaced_ || incarnation > options_.incarnation;
        return false;
    }
    const bool is_new = !members_.contains(instance);
    if (is_new && members_.size() >= options_.max_members)
        return false;
    member& peer = members_[instance];
    if (incarnation < peer.incarnation)
        return false;
    const bool is_newer = incarnation > peer.incarnation;
    if (is_newer) {
        const member old = std::exchange(peer, {});
        peer.instance = instance;
        peer.incarnation = incarnation;
        peer.listed = old.listed;
        const bool is_replacement = old.incarnation.value != 0;
        peer.old_incarnation_listed_as_leaving =
            is_replacement && (old.listed_as_leaving || old.old_incarnation_listed_as_leaving);
        peer.listed_as_leaving = !is_replacement && old.listed_as_leaving;
        ++generation_;
    }
    peer.address = message.address();
    move_to(peer, core::data_centre_id{message.data_centre()}, core::region_id{message.region()});
    peer.leaving_announced = peer.leaving_announced || message.state() == wire::leaving;
    peer.configuration_version = message.configuration_version();
    peer.requests_in_progress = message.requests_in_progress();
    if (is_newer || time_.now() >= heartbeats_ignored_until_)
        peer.last_heartbeat = time_.now();
    update_state(peer);
    return true;
}

void membership::move_to(member& peer, const core::data_centre_id& data_centre, const core::region_id& region)
{
    if (peer.data_centre == data_centre && peer.region == region)
        return;
    peer.data_centre = data_centre;
    peer.region = region;
    ++generation_;
}

void membership::list_received(const std::vector<listed_instance>& list)
{
    detect_pause();
    if (list.empty())
        return;
    std::set<core::instance_id> names;
    for (const auto& entry : list) {
        names.insert(entry.instance);
        const bool is_new = !members_.contains(entry.instance);
        if (is_new && members_.size() >= options_.max_members)
            continue;
        member& peer = members_[entry.instance];
        if (is_new) {
            peer.instance = entry.instance;
            peer.last_heartbeat = time_.now();
            ++generation_;
        }
        // Before the first heartbeat the list is the only source of an instance's address and place.
        if (peer.incarnation.value == 0) {
            peer.address = entry.address;
            move_to(peer, entry.data_centre, entry.region);
        }
        // The list contains no incarnations and lags: a mark of a replaced incarnation stays in it for a
        // while.
        peer.old_incarnation_listed_as_leaving = peer.old_incarnation_listed_as_leaving && entry.leaving;
        peer.listed_as_leaving = entry.leaving && !peer.old_incarnation_listed_as_leaving;
        peer.listed = true;
        peer.delisted = false;
        update_state(peer);
    }
    for (auto& [instance, peer] : members_) {
        if (names.contains(instance))
            continue;
        peer.delisted = peer.delisted || peer.listed;
        peer.listed = false;
        update_state(peer);
    }
}

void membership::stop()
{
    member& self = members_.at(options_.instance);
    self.leaving_announced = true;
    update_state(self);
}

const member* membership::find(const core::instance_id& instance) const
{
    const auto found = members_.find(instance);
    return found == members_.end() ? nullptr : &found->second;
}

std::vector<const member*> membership::by_nearness() const
{
    std::vector<const member*> peers;
    for (const auto& [instance, peer] : members_) {
        if (instance != options_.instance)
            peers.push_back(&peer);
    }
    std::stable_sort(peers.begin(), peers.end(), [this](const member* a, const member* b) {
        return distance_between(self(), *a) < distance_between(self(), *b);
    });
    return peers;
}

std::vector<const member*> membership::heartbeat_targets() const
{
    std::vector<const member*> targets;
    const bool all_exchange = members_.size() <= options_.full_mesh;
    const bool is_relay = !all_exchange && is_selected_for(relay_task, relays_per_data_centre);
    std::set<core::instance_id> relays;
    std::set<core::data_centre_id> visited;
    for (const member* peer : by_nearness()) {
        if (is_relay && visited.insert(peer->data_centre).second) {
            for (const member* relay : highest_scoring(peer->data_centre, relay_task, relays_per_data_centre))
                relays.insert(relay->instance);
        }
        const bool is_gone = peer->state == member_state::failed && !peer->listed;
        const bool is_direct = all_exchange || peer->data_centre == options_.data_centre;
        if (!is_gone && (is_direct || relays.contains(peer->instance)))
            targets.push_back(peer);
    }
    return targets;
}

core::duration membership::time_since_heartbeat(const member& peer) const
{
    return time_.now() - peer.last_heartbeat;
}

bool membership::is_selected_for(std::string_view task, std::size_t count) const
{
    const auto selected = highest_scoring(options_.data_centre, task, count);
    return std::any_of(selected.begin(), selected.end(),
                       [this](const member* candidate) { return candidate->instance == options_.instance; });
}

bool membership::is_isolated() const
{
    const auto is_alive = [this](const auto& entry) {
        return entry.first != options_.instance &&
               (entry.second.state == member_state::alive || entry.second.state == member_state::leaving);
    };
    return members_.size() > 1 && std::none_of(members_.begin(), members_.end(), is_alive);
}

void membership::update_state(member& peer)
{
    const auto state = state_of(peer);
    generation_ += state != peer.state ? 1 : 0;
    peer.state = state;
}

void membership::detect_pause()
{
    const auto now = time_.now();
    const bool paused = now - last_call_ > options_.suspect_after;
    last_call_ = now;
    members_.at(options_.instance).last_heartbeat = now;
    if (!paused)
        return;
    paused_ = true;
    heartbeats_ignored_until_ = now + options_.heartbeat_interval;
    for (auto& [instance, peer] : members_) {
        if (instance != options_.instance)
            peer.last_heartbeat = std::min(peer.last_heartbeat, now - options_.suspect_after);
        update_state(peer);
    }
}

member_state membership::state_of(const member& peer) const
{
    const auto silence = time_since_heartbeat(peer);
    if (silence >= options_.fail_after || (peer.delisted && silence >= options_.suspect_after))
        return member_state::failed;
    if (peer.leaving_announced || peer.listed_as_leaving)
        return member_state::leaving;
    return silence >= options_.suspect_after ? member_state::suspected : member_state::alive;
}

std::vector<const member*> membership::highest_scoring(const core::data_centre_id& data_centre,
                                                       std::string_view task, std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, const member*>> scored;
    for (const auto& [instance, peer] : members_) {
        if (peer.data_centre == data_centre && peer.state == member_state::alive)
            scored.emplace_back(rendezvous_score(instance, task), &peer);
    }
    std::sort(scored.begin(), scored.end(), std::greater<>{});
    std::vector<const member*> highest;
    for (std::size_t i = 0; i < std::min(count, scored.size()); ++i)
        highest.push_back(scored[i].second);
    return highest;
}

int distance_between(const member& a, const member& b)
{
    if (a.data_centre == b.data_centre)
        return 0;
    return a.region == b.region ? 1 : 2;
}

std::uint64_t rendezvous_score(const core::instance_id& instance, std::string_view key)
{
    return core::hash_parts({key, instance.str()});
}

} // namespace knapweed::state
