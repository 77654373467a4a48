#include "control/control_fleet.h"

#include "state/configuration_json.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <sys/resource.h>

namespace knapweed::bench {

namespace {

/** One of this many messages is written and read as JSON. */
constexpr std::uint64_t sample_interval = 7;
constexpr core::milliseconds same_region_delay{2};
constexpr core::milliseconds other_region_delay{55};
constexpr core::milliseconds platform_delay{20};

std::string kind_of(const wire::peer_message& message)
{
    const auto* field = wire::peer_message::descriptor()->FindFieldByNumber(message.body_case());
    return field == nullptr ? "none" : field->name();
}

std::uint64_t size_of_list(const std::vector<state::listed_instance>& list)
{
    constexpr std::uint64_t punctuation_bytes = 81; // of {"instance":"",...,"leaving":false},
    std::uint64_t bytes = 0;
    for (const auto& entry : list) {
        bytes += punctuation_bytes + entry.instance.str().size() + entry.address.size() +
                 entry.data_centre.str().size() + entry.region.str().size();
    }
    return bytes;
}

} // namespace

double processor_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& value) {
        return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

control_fleet::control_fleet(const fleet_shape& shape, core::milliseconds step)
    : shape_(shape), step_time_(step), list_(instance_list(shape))
{
    list_size_ = size_of_list(list_);
    commit(make_configuration(shape, 1));
    for (std::size_t i = 0; i < shape.nodes; ++i) {
        nodes_.push_back(std::make_unique<decision::entry_node>(node_options_of(shape, i), time_, i + 1));
        node_of_address_[node_address(i)] = i;
    }
    reset_counts();
}

void control_fleet::reset_counts()
{
    counts_ = {};
    counts_.bytes_by_node.resize(shape_.nodes);
}

void control_fleet::commit(const wire::configuration& configuration)
{
    row_ = state::to_json(configuration);
    row_version_ = configuration.version();
}

std::size_t control_fleet::nodes_with_version(std::uint64_t version) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        count += !dead_.contains(i) && nodes_[i]->configuration().version() >= version ? 1 : 0;
    return count;
}

void control_fleet::kill(const std::set<std::size_t>& nodes)
{
    dead_.insert(nodes.begin(), nodes.end());
}

std::size_t control_fleet::nodes_counting_alive(std::size_t node, std::size_t data_centre) const
{
    const auto name = node_options_of(shape_, node).instance;
    std::size_t count = 0;
    for (std::size_t i = data_centre; i < nodes_.size(); i += shape_.data_centres) {
        const auto* peer = nodes_[i]->shared().members.find(name);
        const bool counts_alive = peer != nullptr && peer->state != state::member_state::failed;
        count += !dead_.contains(i) && counts_alive ? 1 : 0;
    }
    return count;
}

std::size_t control_fleet::alive_in_view_of(std::size_t node) const
{
    const auto& all = nodes_[node]->shared().members.all();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto& entry) {
        return entry.second.state == state::member_state::alive;
    }));
}

void control_fleet::run(core::milliseconds time)
{
    for (core::milliseconds elapsed{0}; elapsed < time; elapsed += step_time_)
        step();
}

void control_fleet::step()
{
    time_.advance(step_time_);
    ++step_;
    batches_.clear();
    deliver();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (dead_.contains(i))
            continue;
        decision::action_list actions;
        const auto before = processor_seconds();
        nodes_[i]->tick(actions);
        counts_.tick_seconds += processor_seconds() - before;
        ++counts_.ticks;
        execute(i, actions);
    }
    counts_.batches += batches_.size();
    for (const auto& [from, to] : batches_)
        counts_.bytes_by_node[from] += control_counts::header_bytes;
}

std::uint64_t control_fleet::arrival_step(core::milliseconds delay) const
{
    return step_ + static_cast<std::uint64_t>((delay + step_time_ - core::milliseconds{1}) / step_time_);
}

void control_fleet::deliver()
{
    const auto due = pending_events_.extract(step_);
    if (due.empty())
        return;
    for (auto& pending : due.mapped()) {
        if (dead_.contains(pending.target))
            continue;
        decision::action_list actions;
        const auto before = processor_seconds();
        nodes_[pending.target]->handle(pending.input, actions);
        counts_.event_seconds += processor_seconds() - before;
        ++counts_.events;
        execute(pending.target, actions);
    }
}

void control_fleet::execute(std::size_t from, const decision::action_list& actions)
{
    for (const auto& action : actions) {
        if (const auto* sent = std::get_if<decision::send_to_peer>(&action))
            send(from, *sent);
        else if (const auto* called = std::get_if<decision::call_platform>(&action))
            answer_platform_call(from, called->call);
        else if (const auto* probe = std::get_if<decision::probe_server>(&action)) {
            ++counts_.probes;
            const decision::server_probed probed{
                probe->service, probe->server, true, time_.now(), {true, false, 0}};
            pending_events_[arrival_step(same_region_delay)].push_back({from, probed});
        }
    }
}

void control_fleet::send(std::size_t from, const decision::send_to_peer& sent)
{
    const auto found = node_of_address_.find(sent.address);
    if (found == node_of_address_.end())
        return;
    const auto to = found->second;
    if (counts_.messages++ % sample_interval == 0) {
        std::string json;
        wire::peer_message parsed;
        const auto before = processor_seconds();
        const bool is_written = google::protobuf::util::MessageToJsonString(sent.message, &json).ok();
        const bool is_read = google::protobuf::util::JsonStringToMessage(json, &parsed).ok();
        counts_.json_seconds += (processor_seconds() - before) * sample_interval;
        core::ensure(is_written && is_read, "a peer message can be written and read as JSON");
        counts_.message_bytes += json.size() * sample_interval;
        counts_.bytes_by_node[from] += json.size() * sample_interval;
    }
    ++counts_.messages_by_kind[kind_of(sent.message)];
    batches_.emplace(from, to);
    const bool is_same_region = nodes_[from]->shared().options.region == nodes_[to]->shared().options.region;
    pending_events_[arrival_step(is_same_region ? same_region_delay : other_region_delay)].push_back(
        {to, decision::peer_message_received{sent.message}});
}

void control_fleet::answer_platform_call(std::size_t from, const state::platform_call& call)
{
    decision::platform_replied replied;
    replied.reply.call = call.call;
    replied.reply.status = state::platform_status::ok;
    if (std::holds_alternative<state::instance_list_read>(call.operation)) {
        ++counts_.list_reads;
        counts_.list_bytes += list_size_;
        replied.reply.instances = list_;
    }
    else if (std::holds_alternative<state::row_read>(call.operation)) {
        ++counts_.row_reads;
        counts_.row_bytes += row_.size();
        replied.reply.version = row_version_;
        replied.reply.body = row_;
    }
    else {
        ++counts_.writes;
        replied.reply.status = state::platform_status::unreachable;
    }
    pending_events_[arrival_step(platform_delay)].push_back({from, std::move(replied)});
}

} // namespace knapweed::bench
