/** Measures the cost of a fleet's control plane: messages, bytes, table reads, memory and processor time. */

#include "control/control_fleet.h"
#include "state/configuration_json.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>
#include <string_view>

using namespace knapweed;
using namespace knapweed::bench;

namespace {

/** Longer than the 3 s after which instances without a heartbeat are classified as failed. */
constexpr core::milliseconds warm_up{5000};
constexpr core::milliseconds measured{10000};
constexpr core::milliseconds max_wait{60000};
constexpr core::milliseconds small_fleet_interval{10};
/** Large fleets tick less often, because a tick takes longer with more pools and members. */
constexpr core::milliseconds large_fleet_interval{100};
constexpr std::size_t large_fleet = 100;
constexpr double ticks_per_second = 100; // the minimum that entry_node requires

core::milliseconds tick_interval_of(std::size_t nodes)
{
    return nodes < large_fleet ? small_fleet_interval : large_fleet_interval;
}

std::size_t memory_in_use()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** @returns simulated milliseconds until every running node has the version, or -1. */
long propagation_time(control_fleet& fleet, std::uint64_t version, core::milliseconds check_interval)
{
    for (core::milliseconds elapsed{0}; elapsed < max_wait; elapsed += check_interval) {
        if (fleet.nodes_with_version(version) == fleet.running())
            return static_cast<long>(elapsed.count());
        fleet.run(check_interval);
    }
    return -1;
}

void print_counts(const fleet_shape& shape, const control_counts& counts)
{
    const double node_time = static_cast<double>(shape.nodes) * 10;
    const auto rate = [&](std::uint64_t count) { return static_cast<double>(count) / node_time; };
    const auto busiest = *std::max_element(counts.bytes_by_node.begin(), counts.bytes_by_node.end());
    std::printf("  to peers, a node and second: %.2f messages, %.0f bytes of JSON, %.2f batches, %.0f bytes "
                "with heads\n",
                rate(counts.messages), rate(counts.message_bytes), rate(counts.batches),
                rate(counts.message_bytes + counts.batches * control_counts::header_bytes));
    std::printf("  busiest node to peers: %.0f bytes/s with heads\n", static_cast<double>(busiest) / 10);
    for (const auto& [kind, messages] : counts.messages_by_kind)
        std::printf("    %s: %.2f a node and second\n", kind.c_str(), rate(messages));
    std::printf("  platform, all nodes: %.1f list reads/s, %.1f row reads/s, %.1f writes/s; a node: %.0f "
                "list bytes/s, %.0f row bytes/s\n",
                static_cast<double>(counts.list_reads) / 10, static_cast<double>(counts.row_reads) / 10,
                static_cast<double>(counts.writes) / 10, rate(counts.list_bytes), rate(counts.row_bytes));
    std::printf("  probes: %.2f a node and second\n", rate(counts.probes));
    const double tick = counts.tick_seconds / static_cast<double>(counts.ticks);
    std::printf("  processor time: %.1f us a tick, %.1f us an event; share of one core a node at %.0f "
                "ticks/s: ticks %.3f%%, "
                "events %.3f%%, JSON %.3f%%\n",
                tick * 1e6, counts.event_seconds / static_cast<double>(counts.events) * 1e6, ticks_per_second,
                tick * ticks_per_second * 100, counts.event_seconds / node_time * 100,
                counts.json_seconds / node_time * 100);
}

void measure(std::size_t nodes)
{
    const auto shape = scaled_shape(nodes);
    const auto before = memory_in_use();
    control_fleet fleet{shape, tick_interval_of(shape.nodes)};
    fleet.run(warm_up);
    const auto memory = memory_in_use() - before;
    std::printf("%zu nodes, %zu data centres, %zu regions, %zu pools, configuration of %zu bytes\n", nodes,
                shape.data_centres, shape.regions, shape.services * shape.data_centres,
                state::to_json(make_configuration(shape, 1)).size());
    std::printf("  memory a node: %zu bytes; alive in view of node 0: %zu of %zu\n", memory / nodes,
                fleet.alive_in_view_of(0), nodes);
    fleet.reset_counts();
    fleet.run(measured);
    print_counts(shape, fleet.counts());
    std::printf("  configuration changes in force after ms:");
    for (std::uint64_t version = 2; version < 5; ++version) {
        fleet.run(core::milliseconds{300}); // starts each change at another phase of the polling interval
        fleet.reset_counts();
        fleet.commit(make_configuration(shape, version));
        std::printf(" %ld", propagation_time(fleet, version, tick_interval_of(nodes)));
    }
    const auto pushed = fleet.counts().messages_by_kind.find("push_configuration");
    std::printf("; messages with the configuration for the last change: %lu\n",
                pushed == fleet.counts().messages_by_kind.end() ? 0UL : pushed->second);
    std::fflush(stdout);
}

/** Stops nodes and prints when a data centre has classified them as failed.
    @param observing_data_centre that of the lost nodes or, if it is lost as a whole, the next one. */
void measure_loss(const char* what, const fleet_shape& shape, const std::set<std::size_t>& lost,
                  std::size_t observing_data_centre)
{
    control_fleet fleet{shape, tick_interval_of(shape.nodes)};
    fleet.run(warm_up);
    const auto counting_alive_before = fleet.nodes_counting_alive(*lost.begin(), observing_data_centre);
    fleet.reset_counts();
    fleet.kill(lost);
    const auto check_interval = tick_interval_of(shape.nodes);
    core::milliseconds elapsed{0};
    while (elapsed < max_wait && fleet.nodes_counting_alive(*lost.begin(), observing_data_centre) > 0) {
        fleet.run(check_interval);
        elapsed += check_interval;
    }
    if (elapsed < measured)
        fleet.run(measured - elapsed);
    std::printf(
        "lost %s (%zu of %zu nodes): %zu watchers count it as failed after %ld ms; %lu messages in 10 s\n",
        what, lost.size(), shape.nodes, counting_alive_before, static_cast<long>(elapsed.count()),
        fleet.counts().messages);
    std::fflush(stdout);
}

void measure_losses(std::size_t nodes)
{
    const auto shape = scaled_shape(nodes);
    std::set<std::size_t> rack;
    std::set<std::size_t> data_centre;
    std::set<std::size_t> region;
    for (std::size_t i = 0; i < nodes; ++i) {
        const auto options = node_options_of(shape, i);
        if (options.region.str() == region_name(shape, 0))
            region.insert(i);
        if (options.data_centre.str() != data_centre_name(0))
            continue;
        data_centre.insert(i);
        if (rack.size() < 5)
            rack.insert(i);
    }
    measure_loss("an instance", shape, {0}, 0);
    measure_loss("a rack", shape, rack, 0);
    measure_loss("a data centre", shape, data_centre, shape.regions);
    if (shape.regions > 1)
        measure_loss("a region", shape, region, 1);
}

} // namespace

int main(int count, char** arguments)
{
    std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
    const std::string_view mode = count > 1 ? arguments[1] : "";
    const bool measures_losses = mode == "--lose";
    std::vector<std::size_t> sizes;
    for (int i = measures_losses ? 2 : 1; i < count; ++i)
        sizes.push_back(std::strtoul(arguments[i], nullptr, 10));
    if (sizes.empty())
        sizes = {10, 40, 160};
    for (const auto nodes : sizes) {
        if (measures_losses)
            measure_losses(nodes);
        else
            measure(nodes);
    }
    return 0;
}
