/**
 * @file core_bench.cpp
 * Cost of a balancer's decisions, from the received datagram to the encoded datagram that it forwards.
 */
#include "balancer_base.h"
#include "binding_func.h"
#include "codec_func.h"

#include <benchmark/benchmark.h>

using namespace hawthorncroft;

namespace {

const Endpoint caller { 0x7f000001, 40000 };

VersionedDocument versioned(const std::string& key, std::uint64_t revision, Document document)
{
    return {
        .key = key, .revision = Revision(revision), .document = std::make_shared<const Document>(std::move(document))
    };
}

/** A balancer for one service with a given number of targets. */
struct Balancer {
    Keyring keyring;
    BalancerCore core { { .node = NodeId(1) }, keyring };
    TimePoint now { 1000000 };
    BalancerEffects effects;

    explicit Balancer(std::uint32_t targetCount)
    {
        keyring.add(KeyId(1), MacKey { 9 });
        TargetsDocument targets;
        for (std::uint32_t i = 1; i <= targetCount; ++i)
            targets.targets.push_back({ .id = TargetId(i),
                .service = ServiceId(1),
                .vm = "vm-" + std::to_string(i),
                .failureDomain = "domain-" + std::to_string(i % 3),
                .agent = { 0x7f000002, 5000 },
                .slots = 5,
                .connections = 2000 });
        ServicesDocument services { { { .id = ServiceId(1), .name = "courier-route" } } };
        core.applyDocument(now, versioned("services/a", 1, services));
        core.applyDocument(now, versioned("targets/a", 2, targets));
        core.setCompleteThrough(Revision(2));
        core.setServingState({ .isReady = true });
    }

    Packet packet(PacketKind kind) const
    {
        Packet packet;
        packet.kind = kind;
        packet.key = { CallerId(77), FlowId(1) };
        packet.name = "courier-route";
        return packet;
    }
};

void forwardAll(Balancer& balancer, Bytes& bytes)
{
    for (const auto& effect : balancer.effects) {
        if (const auto* sent = std::get_if<SendToProcess>(&effect))
            encode(sent->packet, bytes);
    }
    balancer.effects.clear();
}

void routeBoundPacket(benchmark::State& state)
{
    Balancer balancer(7);
    Packet sample = balancer.packet(PacketKind::Execute);
    sample.payload.resize(static_cast<std::size_t>(state.range(0)));
    sample.binding = {
        .service = ServiceId(1), .target = TargetId(3), .agent = { 0x7f000002, 5000 }, .reservation = ReservationId(1)
    };
    signBinding(balancer.keyring, sample.key, sample.binding);
    Bytes received;
    encode(sample, received);
    Bytes sent;
    Packet packet;
    for (auto _ : state) {
        decode(received, packet);
        balancer.core.onCallerPacket(balancer.now, caller, packet, balancer.effects);
        forwardAll(balancer, sent);
        benchmark::DoNotOptimize(sent.data());
    }
}

void placeOpen(benchmark::State& state)
{
    Balancer balancer(static_cast<std::uint32_t>(state.range(0)));
    Bytes received;
    encode(balancer.packet(PacketKind::Open), received);
    Bytes sent;
    Packet packet;
    std::uint64_t flow = 0;
    for (auto _ : state) {
        decode(received, packet);
        packet.key.flow = FlowId(++flow);
        balancer.core.onCallerPacket(balancer.now, caller, packet, balancer.effects);
        forwardAll(balancer, sent);
        benchmark::DoNotOptimize(sent.data());
    }
}

void rankTargets(benchmark::State& state)
{
    std::vector<RankedTarget> targets;
    for (std::uint32_t i = 1; i <= state.range(0); ++i)
        targets.push_back({ TargetId(i), 5 });
    RankTable table(targets);
    std::array<TargetId, 8> ranks {};
    std::uint64_t flow = 0;
    for (auto _ : state) {
        table.rank({ CallerId(77), FlowId(++flow) }, ranks);
        benchmark::DoNotOptimize(ranks);
    }
}

void computeMac(benchmark::State& state)
{
    Mac mac(MacKey { 1 });
    Bytes message(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(mac.compute(message));
}

}

BENCHMARK(routeBoundPacket)->Arg(0)->Arg(256)->Arg(1024);
BENCHMARK(placeOpen)->Arg(7)->Arg(50)->Arg(500)->Arg(5000);
BENCHMARK(rankTargets)->Arg(7)->Arg(48)->Arg(50)->Arg(500)->Arg(5000);
BENCHMARK(computeMac)->Arg(74)->Arg(300)->Arg(1300);
BENCHMARK_MAIN();
