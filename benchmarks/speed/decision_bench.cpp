#include "speed/steered_node.h"

#include <benchmark/benchmark.h>

namespace knapweed::bench {

namespace {

/** Below the 200,000 records that a node stores, because the clock does not advance during a run and no
   record expires. */
constexpr std::int64_t requests_per_run = 5'000;

fleet_shape shape_of(const benchmark::State& state)
{
    auto shape = scaled_shape(static_cast<std::size_t>(state.range(0)));
    shape.services = static_cast<std::size_t>(state.range(1));
    shape.servers = static_cast<std::size_t>(state.range(2));
    return shape;
}

void run_requests(benchmark::State& state, bool idempotent)
{
    steered_node node{shape_of(state)};
    const auto ticket = node.look_up_ticket();
    std::int64_t dispatched = 0;
    while (state.KeepRunning())
        dispatched += node.request(ticket, idempotent) ? 1 : 0;
    if (dispatched != state.iterations())
        state.SkipWithError("a request was not dispatched");
    state.SetItemsProcessed(dispatched);
}

void decision_idempotent(benchmark::State& state)
{
    run_requests(state, true);
}

void decision_with_witness(benchmark::State& state)
{
    run_requests(state, false);
}

void sizes(benchmark::internal::Benchmark* bench)
{
    bench->Iterations(requests_per_run);
    for (const auto nodes : {10, 40, 160, 400, 1600})
        bench->Args({nodes, 4, 4});
    for (const auto services : {1, 16})
        bench->Args({40, services, 4});
    for (const auto servers : {16, 64})
        bench->Args({40, 4, servers});
}

BENCHMARK(decision_idempotent)->Apply(sizes);
BENCHMARK(decision_with_witness)->Apply(sizes);

} // namespace

} // namespace knapweed::bench
