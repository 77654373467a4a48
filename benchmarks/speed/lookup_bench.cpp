#include "speed/goals.h"
#include "speed/steered_node.h"
#include "state/client_block_table.h"

#include <algorithm>
#include <benchmark/benchmark.h>

namespace knapweed::bench {

namespace {

constexpr std::int64_t target_blocks = 780'000;
constexpr std::size_t sites = 320;
constexpr std::size_t sampled_addresses = 1U << 16U;

/** @returns disjoint /24 blocks spread over the addresses, each with a site that differs from the next one's.
 */
std::vector<state::client_block> make_blocks(std::size_t count)
{
    constexpr std::uint32_t slots = 1U << 24U;
    core::random_source random{7};
    std::vector<state::client_block> blocks;
    for (std::size_t i = 0; i < count; ++i) {
        const auto slot = static_cast<std::uint32_t>(i * slots / count);
        blocks.push_back({slot << 8U, 24, static_cast<state::site_index>(random.below(sites))});
    }
    return blocks;
}

/** @returns addresses of which half are in a block. */
std::vector<std::uint32_t> make_addresses(const std::vector<state::client_block>& blocks)
{
    core::random_source random{11};
    std::vector<std::uint32_t> addresses;
    for (std::size_t i = 0; i < sampled_addresses; ++i) {
        const auto random_address = static_cast<std::uint32_t>(random.next());
        const auto& block = blocks[random.below(blocks.size())];
        addresses.push_back(i % 2 == 0 ? random_address : block.first_address | (random_address & 0xffU));
    }
    return addresses;
}

void block_binary_search(benchmark::State& state)
{
    const auto blocks = make_blocks(static_cast<std::size_t>(state.range(0)));
    const auto addresses = make_addresses(blocks);
    std::size_t next = 0;
    while (state.KeepRunning()) {
        const auto address = addresses[next++ % sampled_addresses];
        auto found = std::upper_bound(
            blocks.begin(), blocks.end(), address,
            [](std::uint32_t value, const auto& block) { return value < block.first_address; });
        benchmark::DoNotOptimize(found);
    }
    state.SetItemsProcessed(state.iterations());
}

void block_table_find(benchmark::State& state)
{
    const auto blocks = make_blocks(static_cast<std::size_t>(state.range(0)));
    const auto addresses = make_addresses(blocks);
    const auto table = state::client_block_table::build(blocks);
    std::size_t next = 0;
    while (state.KeepRunning()) {
        auto site = table->find(addresses[next++ % sampled_addresses]);
        benchmark::DoNotOptimize(site);
    }
    state.SetItemsProcessed(state.iterations());
    const double bytes = static_cast<double>(table->memory_bytes()) / static_cast<double>(state.range(0));
    state.counters["bytes_a_block"] = bytes;
    if (state.range(0) == target_blocks)
        goals().bytes_per_block = bytes;
}

fleet_shape shape_of(std::int64_t nodes, std::int64_t services)
{
    auto shape = scaled_shape(static_cast<std::size_t>(nodes));
    shape.services = static_cast<std::size_t>(services);
    return shape;
}

void map_look_up(benchmark::State& state)
{
    std::unordered_map<std::string, std::vector<std::string>> endpoints;
    for (std::int64_t i = 0; i < state.range(1); ++i)
        endpoints["service" + std::to_string(i)] = {"entry0", "entry1", "entry2"};
    const std::string service = "service0";
    while (state.KeepRunning()) {
        auto copy = endpoints.at(service);
        benchmark::DoNotOptimize(copy);
    }
    state.SetItemsProcessed(state.iterations());
}

void directory_look_up(benchmark::State& state)
{
    const auto shape = shape_of(state.range(0), state.range(1));
    steered_node node{shape};
    state::endpoint_directory directory{node.node().shared().members, node.time(), 1};
    directory.configure(make_configuration(shape, 1));
    const core::service_id service{"service0"};
    const core::region_id region{region_name(shape, 0)};
    while (state.KeepRunning()) {
        auto view = directory.lookup_endpoints(service, region);
        benchmark::DoNotOptimize(view);
    }
    state.SetItemsProcessed(state.iterations());
}

void node_look_up(benchmark::State& state)
{
    steered_node node{shape_of(state.range(0), state.range(1))};
    while (state.KeepRunning()) {
        auto ticket = node.look_up_ticket();
        benchmark::DoNotOptimize(ticket);
    }
    state.SetItemsProcessed(state.iterations());
    if (state.range(0) == 1600)
        state.counters["look_ups_a_second"] =
            benchmark::Counter(static_cast<double>(state.iterations()), benchmark::Counter::kIsRate);
}

void empty_event(benchmark::State& state)
{
    steered_node node{shape_of(state.range(0), state.range(1))};
    const decision::event input = decision::exchange_closed{{1U << 30U}};
    while (state.KeepRunning())
        node.handle(input);
    state.SetItemsProcessed(state.iterations());
}

void fleet_sizes(benchmark::internal::Benchmark* bench)
{
    for (const auto nodes : {10, 40, 160, 400, 1600})
        bench->Args({nodes, 4});
    for (const auto services : {1, 16})
        bench->Args({40, services});
}

BENCHMARK(block_binary_search)->Arg(12'000)->Arg(195'000)->Arg(target_blocks);
BENCHMARK(block_table_find)->Arg(12'000)->Arg(195'000)->Arg(target_blocks);
BENCHMARK(map_look_up)->Args({10, 4});
BENCHMARK(directory_look_up)->Apply(fleet_sizes);
BENCHMARK(empty_event)->Apply(fleet_sizes);
BENCHMARK(node_look_up)->Apply(fleet_sizes);

} // namespace

} // namespace knapweed::bench
