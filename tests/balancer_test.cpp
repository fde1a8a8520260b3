#include "balancer_base.h"
#include "binding_func.h"
#include "table/balancer_times.h"
#include "table/service_times.h"

#include <catch2/catch.hpp>

#include <map>

using namespace hawthorncroft;

namespace {

constexpr std::uint32_t targetCount = 7;
const Endpoint callerEndpoint { 0x7f000001, 40000 };

Endpoint agentOf(std::uint32_t target) { return { 0x7f000002, static_cast<std::uint16_t>(5000 + target) }; }

VersionedDocument versioned(const std::string& key, std::uint64_t revision, Document document)
{
    return {
        .key = key, .revision = Revision(revision), .document = std::make_shared<const Document>(std::move(document))
    };
}

/** A serving balancer with one service whose seven targets are in three failure domains. */
struct Bench {
    Keyring keyring;
    BalancerCore core { { .node = NodeId(1), .data = { 0x7f000001, 7001 } }, keyring };
    TimePoint now { 1000000 };
    BalancerEffects effects;

    Bench()
    {
        keyring.add(KeyId(1), MacKey { 9 });
        ServicesDocument services {
            { { .id = ServiceId(1), .name = "courier-route", .spellings = { "curier-route" } } }
        };
        TargetsDocument targets;
        for (std::uint32_t i = 1; i <= targetCount; ++i)
            targets.targets.push_back({ .id = TargetId(i),
                .service = ServiceId(1),
                .vm = "vm-" + std::to_string(i),
                .failureDomain = "domain-" + std::to_string(i % 3),
                .agent = agentOf(i),
                .slots = 5,
                .connections = 2000 });
        core.applyDocument(now, versioned("services/a", 1, services));
        core.applyDocument(now, versioned("targets/a", 2, targets));
        core.setCompleteThrough(Revision(2));
        core.setServingState({ .isReady = true });
    }

    /** Applies an operations document. */
    void operate(std::uint64_t revision, std::vector<std::string> domainsOut)
    {
        OperationsDocument operations {
            .presets = { { "ordinary", {} } }, .inForce = "ordinary", .domainsOut = std::move(domainsOut)
        };
        core.applyDocument(now, versioned("operations", revision, operations));
        core.setCompleteThrough(Revision(revision));
    }

    /** Advances the time, with a tick every 10 ms. */
    void advance(Duration duration)
    {
        TimePoint end = now + duration;
        for (now = now + milliseconds(10); now < end; now = now + milliseconds(10))
            core.onTick(now, effects);
        effects.clear();
    }

    /** Passes a packet from the caller. @return The last effect, or ConfirmView when there is none. */
    BalancerEffect send(Packet packet)
    {
        effects.clear();
        core.onCallerPacket(now, callerEndpoint, packet, effects);
        return effects.empty() ? BalancerEffect(ConfirmView {}) : effects.back();
    }

    static Packet open(std::uint64_t flow, const std::string& name = "courier-route")
    {
        Packet packet;
        packet.kind = PacketKind::Open;
        packet.key = { CallerId(77), FlowId(flow) };
        packet.name = name;
        return packet;
    }

    Packet bound(PacketKind kind, std::uint64_t flow, std::uint32_t target)
    {
        Packet packet = open(flow);
        packet.kind = kind;
        packet.binding = { .service = ServiceId(1),
            .target = TargetId(target),
            .agent = agentOf(target),
            .reservation = ReservationId(1) };
        signBinding(keyring, packet.key, packet.binding);
        return packet;
    }

    /** Passes a reply from an agent: Opened, or Refused when there is an outcome. */
    void reply(TargetId target, TargetState state, std::uint16_t load, Outcome outcome = {})
    {
        Packet packet;
        packet.kind = outcome.verdict == Verdict::None ? PacketKind::Opened : PacketKind::Refused;
        packet.target = target;
        packet.targetState = state;
        packet.load = load;
        packet.outcome = outcome;
        packet.callerEndpoint = callerEndpoint;
        core.onProcessPacket(now, agentOf(target.value), packet, effects);
        effects.clear();
    }

    /** Sends an open. @return The target to which it was forwarded, or zero. */
    TargetId placed(std::uint64_t flow)
    {
        auto effect = send(open(flow));
        const auto* sent = std::get_if<SendToProcess>(&effect);
        return sent ? sent->packet.target : TargetId();
    }
};

Outcome refusalIn(const BalancerEffect& effect)
{
    const auto* sent = std::get_if<SendToCaller>(&effect);
    return sent ? sent->packet.outcome : Outcome {};
}

}

TEST_CASE("Balancer forwards or refuses opens", "[balancer]")
{
    Bench bench;

    SECTION("A service name or configured spelling is resolved, and the packet carries the revision used")
    {
        for (const char* name : { "courier-route", "curier-route" }) {
            auto effect = bench.send(Bench::open(1, name));
            auto* sent = std::get_if<SendToProcess>(&effect);
            REQUIRE(sent);
            CHECK(sent->packet.service == ServiceId(1));
            CHECK(sent->packet.resolvedAt == Revision(2));
            CHECK(sent->packet.callerEndpoint == callerEndpoint);
        }
    }
    SECTION("A similar but unconfigured name is refused instead of being matched to the closest service")
    {
        auto effect = bench.send(Bench::open(1, "courier-rout"));
        CHECK(refusalIn(effect) == Outcome { Verdict::DidNotRun, Reason::UnknownName });
        CHECK(std::holds_alternative<UnknownNameSeen>(bench.effects.front()));
    }
    SECTION("Opens go to the less loaded of two targets, so that a full target does not get half of them")
    {
        std::map<TargetId, int> before;
        std::map<TargetId, int> after;
        for (std::uint64_t flow = 1; flow <= 2000; ++flow)
            ++before[bench.placed(flow)];
        for (std::uint32_t i = 1; i <= targetCount; ++i)
            bench.reply(TargetId(i), TargetState::Warm, i == 3 ? 950 : 100);
        for (std::uint64_t flow = 1; flow <= 2000; ++flow) {
            TargetId target = bench.placed(flow);
            ++after[target];
            bench.reply(target, TargetState::Warm, target == TargetId(3) ? 950 : 100);
        }
        CHECK(before[TargetId(3)] > 200);
        CHECK(after[TargetId(3)] < 20);
    }
    SECTION("A target that does not answer opens is avoided until a probe succeeds")
    {
        for (std::uint64_t flow = 1; flow <= 100; ++flow)
            bench.placed(flow);
        for (std::uint32_t i = 1; i <= targetCount; ++i) {
            if (i != 5)
                bench.reply(TargetId(i), TargetState::Warm, 100);
        }
        bench.advance(suspectAfter + milliseconds(50));
        CHECK(bench.core.eligibilityOf(bench.now, TargetId(5)) == BalancerCore::Eligibility::Suspected);
        bench.advance(firstProbeDelay);
        CHECK(bench.core.eligibilityOf(bench.now, TargetId(5)) == BalancerCore::Eligibility::Eligible);
        std::uint64_t flow = 1000;
        while (bench.placed(flow) != TargetId(5))
            ++flow;
        CHECK(bench.core.eligibilityOf(bench.now, TargetId(5)) == BalancerCore::Eligibility::Suspected);
        bench.reply(TargetId(5), TargetState::Cold, 0);
        CHECK(bench.core.eligibilityOf(bench.now, TargetId(5)) == BalancerCore::Eligibility::Eligible);
    }
    SECTION("Opens are refused with the shortest retry-after while all targets are overloaded")
    {
        for (std::uint32_t i = 1; i <= targetCount; ++i)
            bench.reply(TargetId(i), TargetState::Warm, 1000, { Verdict::DidNotRun, Reason::Overloaded, 100 + i });
        CHECK(refusalIn(bench.send(Bench::open(1))) == Outcome { Verdict::DidNotRun, Reason::Overloaded, 101 });
        bench.advance(milliseconds(150));
        CHECK(bench.placed(1));
    }
    SECTION("Retries are limited to a share of successes, so that an outage does not multiply load")
    {
        int placed = 0;
        for (std::uint64_t flow = 1; flow <= 100; ++flow) {
            Packet retry = Bench::open(flow);
            retry.attempt = 1;
            placed += refusalIn(bench.send(retry)).reason != Reason::RetryBudget;
        }
        CHECK(placed <= 11);
    }
    SECTION("Retries are not limited while most opens succeed, so that packet loss does not cause refusals")
    {
        for (std::uint64_t flow = 1; flow <= 100; ++flow) {
            Packet retry = Bench::open(flow);
            retry.attempt = flow % 4 == 0;
            auto effect = bench.send(retry);
            REQUIRE(std::holds_alternative<SendToProcess>(effect));
            bench.reply(std::get<SendToProcess>(effect).packet.target, TargetState::Warm, 100);
        }
    }
}

TEST_CASE("Balancer routes bound packets", "[balancer]")
{
    Bench bench;

    SECTION("A bound packet goes to the agent in its binding, without state about the flow")
    {
        auto effect = bench.send(bench.bound(PacketKind::Execute, 5, 4));
        auto* sent = std::get_if<SendToProcess>(&effect);
        REQUIRE(sent);
        CHECK(sent->to == agentOf(4));
    }
    SECTION("A packet with a forged binding is dropped")
    {
        Packet packet = bench.bound(PacketKind::Execute, 5, 4);
        packet.binding.target = TargetId(6);
        bench.send(packet);
        CHECK(bench.effects.empty());
    }
    SECTION("Packets for a failure domain out of service are forwarded only for a grace time, in which the agent can "
            "give the exact verdict")
    {
        bench.operate(3, { "domain-1" });
        CHECK(std::holds_alternative<SendToProcess>(bench.send(bench.bound(PacketKind::Execute, 5, 4))));
        CHECK(bench.core.eligibilityOf(bench.now, TargetId(4)) == BalancerCore::Eligibility::Out);
        bench.advance(outOfServiceGrace + milliseconds(20));
        auto effect = bench.send(bench.bound(PacketKind::Execute, 5, 4));
        CHECK(refusalIn(effect) == Outcome { Verdict::MayHaveRun, Reason::OutOfService });

        SECTION("Forwarding resumes when the failure domain is back in service")
        {
            bench.operate(4, {});
            CHECK(std::holds_alternative<SendToProcess>(bench.send(bench.bound(PacketKind::Execute, 5, 4))));
        }
        SECTION(
            "A flow admitted under a later configuration is forwarded, so that a balancer with an outdated view does "
            "not refuse it after the failure domain's return")
        {
            Packet packet = bench.bound(PacketKind::Execute, 5, 4);
            packet.binding.revision = Revision(4);
            signBinding(bench.keyring, packet.key, packet.binding);
            CHECK(std::holds_alternative<SendToProcess>(bench.send(packet)));
        }
        SECTION("An older revision does not return the failure domain to service")
        {
            bench.operate(2, {});
            CHECK(bench.core.eligibilityOf(bench.now, TargetId(4)) == BalancerCore::Eligibility::Out);
        }
    }
}

TEST_CASE("Balancer with a possibly outdated view forwards nothing", "[balancer]")
{
    Bench bench;

    SECTION("After a pause nothing is forwarded until the view is confirmed by a later request")
    {
        bench.core.onTick(bench.now, bench.effects);
        bench.now = bench.now + seconds(10);
        bench.send(bench.bound(PacketKind::Execute, 5, 4));
        REQUIRE(bench.effects.size() == 1);
        CHECK(std::get<ConfirmView>(bench.effects[0]).pause == 1);
        CHECK(refusalIn(bench.send(Bench::open(1))).reason == Reason::NotReady);
        bench.core.confirmView(0);
        CHECK_FALSE(bench.core.isServing());
        bench.core.confirmView(1);
        CHECK(bench.placed(1));

        SECTION("A confirmation requested after an earlier pause is ignored")
        {
            bench.now = bench.now + seconds(10);
            bench.send(Bench::open(1));
            bench.core.confirmView(1);
            CHECK_FALSE(bench.core.isServing());
        }
    }
    SECTION("Nothing is forwarded while the balancer is isolated")
    {
        bench.core.setServingState({ .isReady = true, .isIsolated = true });
        CHECK(
            refusalIn(bench.send(Bench::open(1))) == Outcome { Verdict::DidNotRun, Reason::Isolated, notReadyRetryMs });
        bench.send(bench.bound(PacketKind::Data, 5, 4));
        CHECK(bench.effects.empty());
    }
}
