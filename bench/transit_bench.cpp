/**
 * @file transit_bench.cpp
 * Measures the time that a balancer takes to forward a packet of a known, new or unknown flow, and the memory that a
 * flow takes in balancers and agents.
 */
#include "transit_agent_base.h"
#include "transit_balancer_base.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace hawthorncroft;

namespace {

constexpr Endpoint routeAddress { 0x0a630001, 443 };
constexpr std::uint16_t fleetPort = 7000;
constexpr std::uint16_t targetPort = 8000;
constexpr std::uint32_t firstTarget = 0x0a000100;
constexpr TimePoint start { seconds(100).us };

std::vector<StoreChange> storeWith(std::uint32_t targets)
{
    std::vector<StoreChange> changes;
    RouteRecord route { .address = routeAddress,
        .shares = { { "web", 1 } },
        .isIdempotent = true,
        .priority = 1,
        .timeout = seconds(2),
        .latencyObjective = milliseconds(120) };
    changes.emplace_back(ConfigurationChange { Revision(1), { route }, { { "web", 2000, seconds(2), 0 } } });
    for (std::uint32_t i = 0; i < targets; ++i) {
        TargetRecord target { .id = "t" + std::to_string(i),
            .service = "web",
            .address = { firstTarget + i, targetPort },
            .failureDomain = "a",
            .slots = 4,
            .isDraining = false,
            .coldLeft = {},
            .startedAt = 1 };
        changes.emplace_back(TargetChange { Revision(1), target });
    }
    return changes;
}

FlowTuple flowOf(std::uint32_t n) { return { { 0x64000000 + n, 40000 }, routeAddress }; }

TransitPacket packetOf(const FlowTuple& flow, bool isOpening)
{
    TransitPacket packet {
        .flow = flow, .flags = { .isOpening = isOpening, .hasAcknowledgement = !isOpening }, .dataSize = 100
    };
    packet.bytes.resize(132);
    return packet;
}

/** A balancer whose view has a number of targets. */
struct Balancer {
    TransitBalancer core { TransitBalancerOptions {
        .fleet = { .self = { 1, fleetPort }, .role = ProcessRole::Balancer, .incarnation = 1, .seeds = {} },
        .failureDomain = "a",
        .fleetPort = fleetPort,
    } };
    TransitEffects effects;

    explicit Balancer(std::uint32_t targets)
    {
        core.onStorePage(storeWith(targets), StorePosition(1), {}, start, effects);
        effects.clear();
    }

    /** Passes in the reply of the first agent, so that the balancer caches the flow. */
    void learnHolder(const FlowTuple& flow)
    {
        HeldMessage held { .flow = flow, .targetSequence = 5, .load = {} };
        core.onMessage({ firstTarget, fleetPort }, { StorePosition(1), held }, start, effects);
        effects.clear();
    }
};

void knownFlow(benchmark::State& state)
{
    Balancer balancer(7);
    constexpr std::uint32_t flows = 10000;
    for (std::uint32_t i = 0; i < flows; ++i)
        balancer.learnHolder(flowOf(i));
    std::uint32_t i = 0;
    for (auto _ : state) {
        balancer.core.onPacket(packetOf(flowOf(i++ % flows), false), start, balancer.effects);
        balancer.effects.clear();
    }
}
BENCHMARK(knownFlow);

void opening(benchmark::State& state)
{
    Balancer balancer(static_cast<std::uint32_t>(state.range(0)));
    std::uint32_t i = 0;
    for (auto _ : state) {
        FlowTuple flow = flowOf(i++);
        balancer.core.onPacket(packetOf(flow, true), start, balancer.effects);
        balancer.effects.clear();
        state.PauseTiming();
        balancer.learnHolder(flow);
        state.ResumeTiming();
    }
}
BENCHMARK(opening)->Arg(7)->Arg(500)->Arg(5000)->Iterations(20000);

void miss(benchmark::State& state)
{
    Balancer balancer(static_cast<std::uint32_t>(state.range(0)));
    std::uint32_t i = 0;
    for (auto _ : state) {
        FlowTuple flow = flowOf(i++);
        balancer.core.onPacket(packetOf(flow, false), start, balancer.effects);
        balancer.effects.clear();
        state.PauseTiming();
        balancer.learnHolder(flow); // Ends the location of the flow.
        state.ResumeTiming();
    }
}
BENCHMARK(miss)->Arg(7)->Arg(500)->Arg(5000)->Iterations(20000);

/** Heap memory for each flow that a balancer caches, in bytes. */
void balancerBytes(benchmark::State& state)
{
    auto flows = static_cast<std::uint32_t>(state.range(0));
    double bytes = 0;
    for (auto _ : state) {
        Balancer balancer(7);
        std::size_t before = mallinfo2().uordblks;
        for (std::uint32_t i = 0; i < flows; ++i)
            balancer.learnHolder(flowOf(i));
        bytes = static_cast<double>(mallinfo2().uordblks - before) / flows;
    }
    state.counters["bytes_per_flow"] = bytes;
}
BENCHMARK(balancerBytes)->Arg(2000)->Arg(20000)->Arg(200000)->Iterations(1);

/** Heap memory for each flow of the agent's target and for each holder entry of another agent's flow, in bytes. */
void agentBytes(benchmark::State& state)
{
    auto flows = static_cast<std::uint32_t>(state.range(0));
    double held = 0;
    double noted = 0;
    for (auto _ : state) {
        TransitAgent agent({ .fleet
            = { .self = { firstTarget, fleetPort }, .role = ProcessRole::Agent, .incarnation = 2, .seeds = {} },
            .admission = { .service = "web", .target = { firstTarget, targetPort } },
            .fleetPort = fleetPort,
            .isFirstStart = true });
        TransitEffects effects;
        agent.onStorePage(storeWith(7), StorePosition(1), {}, start, effects);
        effects.clear();
        std::size_t before = mallinfo2().uordblks;
        for (std::uint32_t i = 0; i < flows; ++i) {
            TransitPacket answer = packetOf(flowOf(i), false);
            agent.onPacket(std::move(answer), start, effects);
            effects.clear();
        }
        held = static_cast<double>(mallinfo2().uordblks - before) / flows;
        before = mallinfo2().uordblks;
        for (std::uint32_t i = 0; i < flows; ++i) {
            agent.onMessage({ firstTarget + 1, fleetPort },
                { StorePosition(1), InventoryUpdateMessage { { flowOf(1000000 + i) } } }, start, effects);
            effects.clear();
        }
        noted = static_cast<double>(mallinfo2().uordblks - before) / flows;
    }
    state.counters["bytes_per_flow"] = held;
    state.counters["bytes_per_note"] = noted;
}
BENCHMARK(agentBytes)->Arg(500)->Arg(2000)->Arg(10000)->Iterations(1);

}

BENCHMARK_MAIN();
