/**
 * @file agent_fixture.h
 * Test fixture: an agent core with a small configuration, and helpers that act as balancers, callers and the target.
 */
#pragma once

#include "agent_base.h"
#include "binding_func.h"

#include <catch2/catch.hpp>

namespace hawthorncroft {

inline constexpr ServiceId courier { 1 };
inline constexpr ServiceId receipts { 2 };
inline constexpr Endpoint balancerA { 0x7f000001, 7001 };
inline constexpr Endpoint balancerB { 0x7f000001, 7002 };
inline constexpr Endpoint callerEndpoint { 0x7f000001, 9001 };
inline constexpr Incarnation firstTarget { 500 };

/** Targets 1 to 3 serve "courier", each in a failure domain of its own. The agent serves target 1. */
struct AgentFixture {
    std::uint32_t slots;
    Keyring keyring;
    AgentEffects effects;
    TimePoint now { 1000000 };
    OperationsDocument operations { .presets = { { "ordinary", {} } }, .inForce = "ordinary" };
    MembersDocument members;
    std::uint64_t revision { 10 };
    std::unique_ptr<AgentCore> core;

    explicit AgentFixture(std::uint32_t slotCount = 4, Incarnation incarnation = Incarnation(77))
        : slots(slotCount)
    {
        keyring.add(KeyId(1), MacKey { 1, 2, 3 });
        core = startAgent(incarnation);
    }

    std::unique_ptr<AgentCore> startAgent(Incarnation incarnation)
    {
        AgentSettings settings { .target = TargetId(1), .service = courier, .vm = "vm-1", .failureDomain = "fd-1" };
        settings.endpoint = { 0x7f000001, 8001 };
        auto agent = std::make_unique<AgentCore>(settings, AgentSeeds { incarnation, 42 }, keyring, effects);
        auto published = documents();
        agent->onConfiguration(now, published, Revision(revision));
        agent->onTargetHealth(now, TargetState::Warm, 0, firstTarget);
        agent->confirm(now);
        agent->onTick(now);
        return agent;
    }

    template <typename Content> VersionedDocument document(const std::string& key, Content content)
    {
        return { key, Revision(++revision), "", std::make_shared<Document>(std::move(content)) };
    }

    std::vector<VersionedDocument> documents()
    {
        ServicesDocument services { { { .id = courier, .name = "courier", .spellings = { "kourier" } },
            { .id = receipts, .name = "receipts" } } };
        TargetsDocument targets;
        for (std::uint32_t i = 1; i <= 3; ++i) {
            targets.targets.push_back({ .id = TargetId(i),
                .service = courier,
                .vm = "vm-" + std::to_string(i),
                .failureDomain = "fd-" + std::to_string(i),
                .agent = { 0x7f000001, static_cast<std::uint16_t>(8000 + i) },
                .slots = slots,
                .connections = 20 });
        }
        return { document("services", services), document("targets", targets), document("operations", operations) };
    }

    template <typename Content> void publish(const std::string& key, Content content)
    {
        std::vector<VersionedDocument> changed { document(key, std::move(content)) };
        core->onConfiguration(now, changed, Revision(revision));
    }

    /** Advances the time in ticks of 50 ms. */
    void pass(Duration duration)
    {
        for (TimePoint end = now + duration; now < end;) {
            now = now + milliseconds(50);
            core->onTick(now);
        }
    }

    Packet packet(PacketKind kind, FlowKey key, FlowKind flowKind = FlowKind::Request) const
    {
        Packet p;
        p.kind = kind;
        p.flowKind = flowKind;
        p.key = key;
        p.callerEndpoint = callerEndpoint;
        p.name = "courier";
        p.service = courier;
        p.resolvedAt = Revision(revision);
        return p;
    }

    Packet bound(PacketKind kind, const Packet& opened) const
    {
        Packet p = packet(kind, opened.key, opened.flowKind);
        p.binding = opened.binding;
        p.payload = { 9 };
        return p;
    }

    void deliver(Packet p, Endpoint from = balancerA) { core->onPacket(now, from, std::move(p)); }

    /** Clears the effects and returns those of one type. */
    template <typename Effect> std::vector<Effect> take()
    {
        std::vector<Effect> taken;
        for (auto& effect : effects) {
            if (auto* match = std::get_if<Effect>(&effect))
                taken.push_back(std::move(*match));
        }
        effects.clear();
        return taken;
    }

    /** Clears the effects and returns the packet sent, which must be the only one. */
    SendToProcess sent()
    {
        auto all = take<SendToProcess>();
        REQUIRE(all.size() == 1);
        return all.front();
    }

    Packet open(FlowKey key, FlowKind kind = FlowKind::Request)
    {
        deliver(packet(PacketKind::Open, key, kind));
        return sent().packet;
    }

    /** Opens and executes a request, which must start at once. */
    RunRequest run(FlowKey key, Packet& opened)
    {
        opened = open(key);
        REQUIRE(opened.kind == PacketKind::Opened);
        deliver(bound(PacketKind::Execute, opened));
        auto runs = take<RunRequest>();
        REQUIRE(runs.size() == 1);
        return runs.front();
    }

    /** Opens a feed or upload and activates it with a KeepAlive. */
    Packet openStream(FlowKey key, FlowKind kind)
    {
        Packet opened = open(key, kind);
        REQUIRE(opened.kind == PacketKind::Opened);
        deliver(bound(PacketKind::KeepAlive, opened));
        auto replies = take<SendToProcess>();
        REQUIRE(replies.size() == 1);
        REQUIRE(replies.front().packet.kind == PacketKind::Renewed);
        return replies.front().packet;
    }

    /** Serves requests until the cold start is over. */
    void warmUp()
    {
        for (std::uint64_t flow = 1; core->admission().isCold() && flow < 1000; ++flow) {
            Packet opened;
            FlowKey key { CallerId(99), FlowId(flow) };
            RunRequest request = run(key, opened);
            now = now + milliseconds(10);
            core->onTargetAnswer(now, key, request.request, {});
            deliver(bound(PacketKind::AnswerAck, opened));
            effects.clear();
        }
        REQUIRE_FALSE(core->admission().isCold());
    }
};

inline constexpr FlowKey flowOf(std::uint64_t n) { return { CallerId(5), FlowId(n) }; }

} // namespace hawthorncroft
