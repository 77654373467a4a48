#include "speed/steered_node.h"
#include "state/configuration_json.h"

#include <benchmark/benchmark.h>
#include <google/protobuf/util/json_util.h>

namespace knapweed::bench {

namespace {

fleet_shape shape_of(const benchmark::State& state)
{
    auto shape = scaled_shape(static_cast<std::size_t>(state.range(0)));
    shape.services = static_cast<std::size_t>(state.range(1));
    return shape;
}

void heartbeat_handle(benchmark::State& state)
{
    steered_node node{shape_of(state)};
    const decision::event input = node.heartbeat_of(1);
    while (state.KeepRunning())
        node.handle(input);
}

/** Measures a tick in which the heartbeats to the instances of the data centre are due. */
void heartbeat_make(benchmark::State& state)
{
    const auto shape = shape_of(state);
    core::simulated_clock time;
    decision::entry_node node{node_options_of(shape, 0), time, 1};
    node.configuration().offer(make_configuration(shape, 1), state::configuration_source::peer);
    node.shared().members.list_received(instance_list(shape));
    std::size_t sent = 0;
    while (state.KeepRunning()) {
        time.advance(core::milliseconds{500});
        decision::action_list actions;
        node.tick(actions);
        for (const auto& action : actions)
            sent += std::holds_alternative<decision::send_to_peer>(action) ? 1 : 0;
    }
    state.counters["heartbeats"] = static_cast<double>(sent) / static_cast<double>(state.iterations());
}

/** Measures a tick with nothing due. */
void tick_idle(benchmark::State& state)
{
    steered_node node{shape_of(state)};
    decision::action_list actions;
    while (state.KeepRunning()) {
        actions.clear();
        node.node().tick(actions);
    }
}

void heartbeat_json(benchmark::State& state)
{
    const steered_node node{shape_of(state)};
    const auto message = node.heartbeat_of(1).message;
    std::string json;
    while (state.KeepRunning()) {
        json.clear();
        wire::peer_message parsed;
        const auto written = google::protobuf::util::MessageToJsonString(message, &json);
        const auto read = google::protobuf::util::JsonStringToMessage(json, &parsed);
        if (!written.ok() || !read.ok())
            state.SkipWithError("the message can't be written and read as JSON");
    }
    state.counters["bytes"] = static_cast<double>(json.size());
}

void credit_refresh(benchmark::State& state)
{
    steered_node node{shape_of(state)};
    const core::pool_id id{core::service_id{"service0"}, core::data_centre_id{data_centre_name(0)}};
    auto& pool = *node.node().pools().pools().at(id);
    while (state.KeepRunning())
        pool.refresh_windows();
}

void configuration_copy(benchmark::State& state)
{
    const auto configuration = make_configuration(shape_of(state), 2);
    while (state.KeepRunning()) {
        auto copy = configuration;
        benchmark::DoNotOptimize(copy);
    }
}

void configuration_push(benchmark::State& state)
{
    const auto shape = shape_of(state);
    steered_node node{shape};
    decision::peer_message_received input = node.heartbeat_of(1);
    auto& body = *input.message.mutable_push_configuration()->mutable_body();
    body = make_configuration(shape, 2);
    while (state.KeepRunning()) {
        body.set_version(body.version() + 1);
        node.handle(input);
    }
}

void configuration_parse(benchmark::State& state)
{
    const auto json = state::to_json(make_configuration(shape_of(state), 2));
    while (state.KeepRunning()) {
        auto parsed = state::parse_configuration(json);
        benchmark::DoNotOptimize(parsed);
    }
    state.counters["bytes"] = static_cast<double>(json.size());
}

void fleet_sizes(benchmark::internal::Benchmark* bench)
{
    for (const auto nodes : {10, 40, 160, 400, 1600})
        bench->Args({nodes, 4});
    for (const auto services : {1, 16})
        bench->Args({40, services});
}

BENCHMARK(tick_idle)->Apply(fleet_sizes);
BENCHMARK(heartbeat_handle)->Apply(fleet_sizes);
BENCHMARK(heartbeat_make)->Apply(fleet_sizes);
BENCHMARK(heartbeat_json)->Apply(fleet_sizes);
BENCHMARK(credit_refresh)->Apply(fleet_sizes);
BENCHMARK(configuration_copy)->Apply(fleet_sizes);
BENCHMARK(configuration_push)->Apply(fleet_sizes);
BENCHMARK(configuration_parse)->Apply(fleet_sizes);

} // namespace

} // namespace knapweed::bench
