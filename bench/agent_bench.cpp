/**
 * @file agent_bench.cpp
 * Cost of the agent core: time per packet, and heap bytes per idle feed.
 */
#include "agent_base.h"
#include "binding_func.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace hawthorncroft;

namespace {

constexpr Endpoint balancer { 0x7f000001, 7001 };
constexpr Incarnation targetIncarnation { 500 };
constexpr Incarnation previousAgentIncarnation { 76 };

VersionedDocument versioned(const std::string& key, std::uint64_t revision, Document document)
{
    return {
        .key = key, .revision = Revision(revision), .document = std::make_shared<const Document>(std::move(document))
    };
}

/** An agent core for a target with 1,000 slots, and the packets of a caller. */
struct Agent {
    Keyring keyring;
    AgentEffects effects;
    TimePoint now { 1000000 };
    AgentCore core { { .target = TargetId(1), .vm = "vm-1", .failureDomain = "domain-1", .endpoint = { 1, 1 } },
        { Incarnation(77), 42 }, keyring, effects };

    Agent()
    {
        keyring.add(KeyId(1), MacKey { 9 });
        TargetsDocument targets { { { .id = TargetId(1), .service = ServiceId(1), .vm = "vm-1" } } };
        targets.targets.front().slots = 1000;
        ServicesDocument services { { { .id = ServiceId(1), .name = "courier-route" } } };
        std::vector<VersionedDocument> documents { versioned("services/a", 1, services),
            versioned("targets/a", 2, targets) };
        core.onConfiguration(now, documents, Revision(2));
        core.onTargetHealth(now, TargetState::Warm, 0, targetIncarnation);
        core.confirm(now);
        core.onTick(now);
    }

    Packet packet(PacketKind kind, std::uint64_t flow, FlowKind flowKind) const
    {
        Packet p;
        p.kind = kind;
        p.flowKind = flowKind;
        p.key = { CallerId(7), FlowId(flow) };
        p.callerEndpoint = { 0x7f000001, 9001 };
        p.name = "courier-route";
        p.service = ServiceId(1);
        p.resolvedAt = Revision(2);
        return p;
    }

    /** A KeepAlive of a feed that an earlier agent process admitted; the agent adopts the feed at the first one. */
    Packet keepAlive(std::uint64_t flow) const
    {
        Packet p = packet(PacketKind::KeepAlive, flow, FlowKind::Feed);
        p.binding = { .service = ServiceId(1),
            .target = TargetId(1),
            .targetIncarnation = targetIncarnation,
            .agentIncarnation = previousAgentIncarnation,
            .reservation = ReservationId(flow),
            .expiresAt = now + seconds(3600) };
        signBinding(keyring, p.key, p.binding);
        return p;
    }

    void adoptFeeds(std::uint64_t count)
    {
        for (std::uint64_t flow = 1; flow <= count; ++flow) {
            core.onPacket(now, balancer, keepAlive(flow));
            effects.clear();
        }
    }
};

/** Heap bytes per idle feed, including its share of the hash buckets. */
void bytesPerIdleFeed(benchmark::State& state)
{
    auto count = static_cast<std::uint64_t>(state.range(0));
    double bytes = 0;
    for (auto _ : state) {
        Agent agent;
        std::size_t before = mallinfo2().uordblks;
        agent.adoptFeeds(count);
        bytes = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(count);
    }
    state.counters["bytes_per_feed"] = bytes;
}

/** Reply to a KeepAlive with a Renewed: verifies one binding and signs one. */
void keepAlive(benchmark::State& state)
{
    Agent agent;
    auto count = static_cast<std::uint64_t>(state.range(0));
    agent.adoptFeeds(count);
    std::vector<Packet> packets;
    for (std::uint64_t flow = 1; flow <= count; ++flow)
        packets.push_back(agent.keepAlive(flow));
    std::size_t next = 0;
    for (auto _ : state) {
        agent.core.onPacket(agent.now, balancer, packets[next++ % packets.size()]);
        benchmark::DoNotOptimize(agent.effects.data());
        agent.effects.clear();
    }
}

/** An event from the target and its acknowledgement by the caller. */
void eventAndAck(benchmark::State& state)
{
    Agent agent;
    agent.adoptFeeds(1);
    Packet ack = agent.keepAlive(1);
    ack.kind = PacketKind::EventAck;
    ack.sequence = 0;
    for (auto _ : state) {
        agent.core.onTargetEvent(agent.now, ack.key, std::vector<std::uint8_t>(100));
        ++ack.sequence;
        agent.core.onPacket(agent.now, balancer, ack);
        agent.effects.clear();
    }
}

/** A complete request: Open, Execute, the target's answer, AnswerAck; three packets received, two sent. */
void request(benchmark::State& state)
{
    Agent agent;
    std::uint64_t flow = 0;
    for (auto _ : state) {
        agent.core.onPacket(agent.now, balancer, agent.packet(PacketKind::Open, ++flow, FlowKind::Request));
        Binding binding = std::get<SendToProcess>(agent.effects.back()).packet.binding;
        Packet bound = agent.packet(PacketKind::Execute, flow, FlowKind::Request);
        bound.binding = binding;
        bound.payload.resize(100);
        agent.core.onPacket(agent.now, balancer, bound);
        agent.core.onTargetAnswer(agent.now, bound.key, binding.reservation, std::vector<std::uint8_t>(100));
        bound.kind = PacketKind::AnswerAck;
        agent.core.onPacket(agent.now, balancer, bound);
        agent.effects.clear();
        // Advances the clock by 1 ms per request, so that old records expire as at 1,000 requests per second.
        agent.now = agent.now + milliseconds(1);
        if (flow % 10 == 0)
            agent.core.onTick(agent.now);
    }
}

}

BENCHMARK(bytesPerIdleFeed)->Arg(2000)->Arg(60000)->Iterations(1);
BENCHMARK(keepAlive)->Arg(2000)->Arg(60000);
BENCHMARK(eventAndAck);
BENCHMARK(request);
BENCHMARK_MAIN();
