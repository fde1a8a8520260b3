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

/** A balancer with one service of seven targets in three failure domains. */
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

    void operate(std::uint64_t revision, std::vector<std::string> domainsOut)
    {
        OperationsDocument operations {
            .presets = { { "ordinary", {} } }, .inForce = "ordinary", .domainsOut = std::move(domainsOut)
        };
        core.applyDocument(now, versioned("operations", revision, operations));
        core.setCompleteThrough(Revision(revision));
    }

    void advance(Duration duration)
    {
        TimePoint end = now + duration;
        for (now = now + milliseconds(10); now < end; now = now + milliseconds(10))
            core.onTick(now, effects);
        effects.clear();
    }

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

TEST_CASE("A balancer serves opens", "[balancer]")
{
    Bench bench;

    SECTION(
        "under the service's name or a corrected spelling, and the packet says under which revision it was resolved")
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
    SECTION("but refuses a name that nobody corrected, which guards against a guess")
    {
        auto effect = bench.send(Bench::open(1, "courier-rout"));
        CHECK(refusalIn(effect) == Outcome { Verdict::DidNotRun, Reason::UnknownName });
        CHECK(std::holds_alternative<UnknownNameSeen>(bench.effects.front()));
    }
    SECTION("and spreads them by load, which guards against sending half of the opens to a full target")
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
    SECTION("not at a target that leaves opens unanswered, until one probe succeeds")
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
    SECTION("and refuses early with the shortest wait when all targets asked to be left alone")
    {
        for (std::uint32_t i = 1; i <= targetCount; ++i)
            bench.reply(TargetId(i), TargetState::Warm, 1000, { Verdict::DidNotRun, Reason::Overloaded, 100 + i });
        CHECK(refusalIn(bench.send(Bench::open(1))) == Outcome { Verdict::DidNotRun, Reason::Overloaded, 101 });
        bench.advance(milliseconds(150));
        CHECK(bench.placed(1));
    }
    SECTION("and limits retries to a share of successes, which guards against an outage that multiplies load")
    {
        int placed = 0;
        for (std::uint64_t flow = 1; flow <= 100; ++flow) {
            Packet retry = Bench::open(flow);
            retry.attempt = 1;
            placed += refusalIn(bench.send(retry)).reason != Reason::RetryBudget;
        }
        CHECK(placed <= 11);
    }
    SECTION("but not while most opens are accepted, which guards against refusals because of a lossy network")
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

TEST_CASE("A balancer routes bound packets", "[balancer]")
{
    Bench bench;

    SECTION("to the agent that the binding names, with no state about the flow")
    {
        auto effect = bench.send(bench.bound(PacketKind::Execute, 5, 4));
        auto* sent = std::get_if<SendToProcess>(&effect);
        REQUIRE(sent);
        CHECK(sent->to == agentOf(4));
    }
    SECTION("but drops a forged binding")
    {
        Packet packet = bench.bound(PacketKind::Execute, 5, 4);
        packet.binding.target = TargetId(6);
        bench.send(packet);
        CHECK(bench.effects.empty());
    }
    SECTION(
        "and after its failure domain is taken out, only for a short time so that the agent can give the exact verdict")
    {
        bench.operate(3, { "domain-1" });
        CHECK(std::holds_alternative<SendToProcess>(bench.send(bench.bound(PacketKind::Execute, 5, 4))));
        CHECK(bench.core.eligibilityOf(bench.now, TargetId(4)) == BalancerCore::Eligibility::Out);
        bench.advance(outOfServiceGrace + milliseconds(20));
        auto effect = bench.send(bench.bound(PacketKind::Execute, 5, 4));
        CHECK(refusalIn(effect) == Outcome { Verdict::MayHaveRun, Reason::OutOfService });

        SECTION("until the failure domain is back")
        {
            bench.operate(4, {});
            CHECK(std::holds_alternative<SendToProcess>(bench.send(bench.bound(PacketKind::Execute, 5, 4))));
        }
        SECTION("unless the agent admitted the flow under a later configuration, which guards against a balancer that "
                "learned late of the failure domain's return")
        {
            Packet packet = bench.bound(PacketKind::Execute, 5, 4);
            packet.binding.revision = Revision(4);
            signBinding(bench.keyring, packet.key, packet.binding);
            CHECK(std::holds_alternative<SendToProcess>(bench.send(packet)));
        }
        SECTION("and an older revision does not bring it back")
        {
            bench.operate(2, {});
            CHECK(bench.core.eligibilityOf(bench.now, TargetId(4)) == BalancerCore::Eligibility::Out);
        }
    }
}

TEST_CASE("A balancer that may act on an old view forwards nothing", "[balancer]")
{
    Bench bench;

    SECTION("after a pause, until a question asked after it is answered")
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

        SECTION("and an answer to the question of an earlier pause does not count")
        {
            bench.now = bench.now + seconds(10);
            bench.send(Bench::open(1));
            bench.core.confirmView(1);
            CHECK_FALSE(bench.core.isServing());
        }
    }
    SECTION("while it is isolated")
    {
        bench.core.setServingState({ .isReady = true, .isIsolated = true });
        CHECK(
            refusalIn(bench.send(Bench::open(1))) == Outcome { Verdict::DidNotRun, Reason::Isolated, notReadyRetryMs });
        bench.send(bench.bound(PacketKind::Data, 5, 4));
        CHECK(bench.effects.empty());
    }
}
