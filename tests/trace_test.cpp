/**
 * @file trace_test.cpp
 * Replays the counterexample traces of the mutants in spec/, which Spin rejects, against the real cores. Each section
 * names its mutant; `make model` writes the traces.
 */
#include "agent_fixture.h"
#include "balancer_base.h"
#include "caller_base.h"
#include "replica_base.h"
#include "table/agent_times.h"

using namespace hawthorncroft;

namespace {

Outcome refusalOf(AgentFixture& f)
{
    Packet reply = f.sent().packet;
    REQUIRE(reply.kind == PacketKind::Refused);
    return reply.outcome;
}

std::size_t executionsOf(AgentFixture& f, const Packet& execute)
{
    f.deliver(execute);
    return f.take<RunRequest>().size();
}

/** A caller core with one request and the effects of its last step. */
struct TracedCaller {
    TimePoint now { 1000000 };
    CallerCore core { { .id = CallerId(5), .seed = 4, .retryReserve = 3 } };
    CallerEffects effects;

    template <typename Effect> std::vector<Effect> after(const Packet& packet)
    {
        effects.clear();
        core.onPacket(now, packet, effects);
        return found<Effect>();
    }

    template <typename Effect> std::vector<Effect> found() const
    {
        std::vector<Effect> all;
        for (const auto& effect : effects) {
            if (const auto* match = std::get_if<Effect>(&effect))
                all.push_back(*match);
        }
        return all;
    }

    Packet sent() const
    {
        auto all = found<SendToFabric>();
        REQUIRE(all.size() == 1);
        return all.front().packet;
    }

    Packet start()
    {
        effects.clear();
        core.startRequest(now, { .service = "courier", .payload = { 1 }, .deadline = seconds(2) }, effects);
        return sent();
    }

    std::size_t opensWithin(Duration duration)
    {
        std::size_t opens = 0;
        for (TimePoint end = now + duration; now < end;) {
            now = now + milliseconds(10);
            effects.clear();
            core.onTick(now, effects);
            for (const auto& send : found<SendToFabric>())
                opens += send.packet.kind == PacketKind::Open;
        }
        return opens;
    }
};

Packet replyTo(const Packet& packet, PacketKind kind, std::uint32_t target = 1)
{
    Packet reply;
    reply.kind = kind;
    reply.flowKind = packet.flowKind;
    reply.key = packet.key;
    reply.nonce = packet.nonce;
    reply.target = TargetId(target);
    reply.binding = packet.binding;
    reply.agentTime = { 500 };
    return reply;
}

Packet openedFor(const Packet& open, std::uint32_t target)
{
    Packet opened = replyTo(open, PacketKind::Opened, target);
    opened.binding = { .service = courier,
        .target = TargetId(target),
        .targetIncarnation = Incarnation(10),
        .agentIncarnation = Incarnation(20),
        .agent = { 0x7f000001, 8001 },
        .reservation = ReservationId(100 + target),
        .expiresAt = { 10000000 } };
    return opened;
}

Packet fragmentOf(const Packet& execute, std::uint32_t index)
{
    Packet answer = replyTo(execute, PacketKind::Answer, static_cast<std::uint32_t>(execute.binding.target.value));
    answer.outcome.verdict = Verdict::Done;
    answer.sequence = index;
    answer.count = 2;
    answer.payload = { static_cast<std::uint8_t>(index) };
    return answer;
}

}

TEST_CASE("Traces of refusals, which guard against a false verdict \"did not run\" (P6)", "[trace]")
{
    AgentFixture f;
    Packet opened = f.open(flowOf(1));
    Packet execute = f.bound(PacketKind::Execute, opened);
    execute.deadline = f.now + milliseconds(100);

    SECTION("a retransmitted execute is not executed after an earlier transmission was refused (NO_TOMBSTONE)")
    {
        f.now = f.now + milliseconds(200);
        f.deliver(execute);
        CHECK(refusalOf(f) == Outcome { Verdict::DidNotRun, Reason::DeadlinePassed });
        Packet delayed = execute;
        delayed.deadline = {};
        CHECK(executionsOf(f, delayed) == 0);

        SECTION("nor when it arrives after the lease has expired but before the record is removed")
        {
            f.pass(reservationLease + seconds(1));
            CHECK(executionsOf(f, delayed) == 0);
        }
    }
    SECTION("a query that overtakes the execute gets no final verdict (QUERY_WRITES_NO_TOMBSTONE)")
    {
        f.deliver(f.bound(PacketKind::Query, opened));
        CHECK(f.sent().packet.outcome.verdict == Verdict::None);
        CHECK(executionsOf(f, execute) == 1);
    }
    SECTION("an agent without a record does not deny that a request ran (UNKNOWN_IS_DID_NOT_RUN)")
    {
        REQUIRE(executionsOf(f, execute) == 1);
        auto successor = f.startAgent(Incarnation(78));
        f.effects.clear();
        successor->onPacket(f.now, balancerA, f.bound(PacketKind::Query, opened));
        CHECK(refusalOf(f).verdict == Verdict::MayHaveRun);
    }
    SECTION("an agent without a record answers an execute, so that the caller does not wait forever "
            "(SILENT_WITHOUT_RECORD)")
    {
        auto successor = f.startAgent(Incarnation(78));
        f.effects.clear();
        successor->onPacket(f.now, balancerA, execute);
        CHECK(refusalOf(f) == Outcome { Verdict::MayHaveRun, Reason::WrongIncarnation });
    }
}

TEST_CASE(
    "Traces of a balancer that rejects an execute, which guard against a false verdict \"did not run\" (P6)", "[trace]")
{
    AgentFixture f;
    Packet opened = f.open(flowOf(1));
    BalancerCore balancer({ .node = NodeId(1), .data = balancerA }, f.keyring);
    for (const auto& document : f.documents())
        balancer.applyDocument(f.now, document);
    balancer.setCompleteThrough(Revision(f.revision));
    BalancerEffects effects;
    Packet execute = f.bound(PacketKind::Execute, opened);

    SECTION("an isolated balancer drops the execute without a verdict (BALANCER_CLAIMS_DID_NOT_RUN)")
    {
        balancer.setServingState({ .isReady = true, .isIsolated = true });
        balancer.onCallerPacket(f.now, callerEndpoint, execute, effects);
        CHECK(effects.empty());
    }
    SECTION("with the failure domain out of service the verdict is that the request may have run "
            "(BALANCER_CLAIMS_DID_NOT_RUN)")
    {
        f.operations.domainsOut = { "fd-1" };
        balancer.applyDocument(f.now, f.document("operations", f.operations));
        balancer.setServingState({ .isReady = true });
        balancer.onCallerPacket(f.now, callerEndpoint, execute, effects);
        REQUIRE(effects.size() == 1);
        auto* refusal = std::get_if<SendToCaller>(&effects.front());
        REQUIRE(refusal);
        CHECK(refusal->packet.outcome.verdict == Verdict::MayHaveRun);
    }
}

TEST_CASE("Traces of retransmitted executes, which guard against duplicate execution of a request (P7)", "[trace]")
{
    AgentFixture f;
    Packet opened;
    RunRequest request = f.run(flowOf(1), opened);
    Packet retransmission = f.bound(PacketKind::Execute, opened);

    SECTION(
        "a retransmission reaches the restarted agent (NO_AGENT_INCARNATION_CHECK, RESTART_KEEPS_AGENT_INCARNATION)")
    {
        auto successor = f.startAgent(Incarnation(78));
        f.effects.clear();
        successor->onPacket(f.now, balancerA, retransmission);
        CHECK(refusalOf(f) == Outcome { Verdict::MayHaveRun, Reason::WrongIncarnation });

        SECTION("also when the restarted agent has opened the flow again")
        {
            successor->onPacket(f.now, balancerA, f.packet(PacketKind::Open, flowOf(1)));
            REQUIRE(f.sent().packet.kind == PacketKind::Opened);
            successor->onPacket(f.now, balancerA, retransmission);
            CHECK(refusalOf(f) == Outcome { Verdict::MayHaveRun, Reason::WrongIncarnation });
        }
    }
    SECTION("a retransmission arrives after the acknowledgement but before the binding expires (RECORD_DROPPED_EARLY)")
    {
        f.core->onTargetAnswer(f.now, flowOf(1), request.request, { 1 });
        f.deliver(f.bound(PacketKind::AnswerAck, opened));
        f.pass(reservationLease - milliseconds(100));
        f.effects.clear();
        CHECK(executionsOf(f, retransmission) == 0);

        SECTION(
            "a retransmission arrives after the binding has expired and the record was removed (EXPIRY_NOT_CHECKED)")
        {
            f.pass(recordMargin + seconds(2));
            REQUIRE_FALSE(f.core->records().find(flowOf(1)));
            f.effects.clear();
            f.deliver(retransmission);
            CHECK(refusalOf(f) == Outcome { Verdict::MayHaveRun, Reason::Expired });
        }
    }
}

TEST_CASE("Traces of unused reservations, which guard against load above the limit of a cold target (P3)", "[trace]")
{
    AgentFixture f(1);
    Packet opened = f.open(flowOf(1));
    f.pass(placeHoldTime + milliseconds(50));

    SECTION("the slot of an unused reservation is given to another flow before its execute arrives (LEASE_IGNORED)")
    {
        Packet other;
        f.run(flowOf(2), other);
        CHECK(executionsOf(f, f.bound(PacketKind::Execute, opened)) == 0);
    }
    SECTION("the target restarts and runs a new flow before an old execute arrives (NO_TARGET_INCARNATION_CHECK)")
    {
        f.core->onTargetHealth(f.now, TargetState::Cold, 0, Incarnation(501));
        Packet other;
        f.run(flowOf(2), other);
        f.deliver(f.bound(PacketKind::Execute, opened));
        CHECK(refusalOf(f).verdict == Verdict::DidNotRun);
    }
}

TEST_CASE("Traces of a caller", "[trace]")
{
    TracedCaller caller;
    Packet open = caller.start();

    SECTION("that has sent an execute under one binding")
    {
        caller.after<SendToFabric>(openedFor(open, 1));
        Packet execute = caller.sent();
        REQUIRE(execute.kind == PacketKind::Execute);

        SECTION("a late refusal of a retransmitted open does not cause a new open, which would execute it twice (P7) "
                "(OPEN_REFUSAL_ENDS_EXECUTE)")
        {
            Packet refusal = replyTo(open, PacketKind::Refused, 2);
            refusal.outcome = { Verdict::DidNotRun, Reason::Overloaded };
            CHECK(caller.after<Finished>(refusal).empty());
            CHECK(caller.opensWithin(seconds(1)) == 0);
        }
        SECTION("the verdict that it may have run does not cause a new open, which would execute it twice (P7) "
                "(BINDS_AGAIN_AFTER_MAY_HAVE_RUN)")
        {
            Packet refusal = replyTo(execute, PacketKind::Refused);
            refusal.outcome = { Verdict::MayHaveRun, Reason::WrongIncarnation };
            auto finished = caller.after<Finished>(refusal);
            REQUIRE(finished.size() == 1);
            CHECK(finished.front().outcome.verdict == Verdict::MayHaveRun);
            CHECK(caller.opensWithin(seconds(3)) == 0);
        }
        SECTION("an incomplete answer does not finish the request (P5) (ANSWER_TAKEN_INCOMPLETE)")
        {
            CHECK(caller.after<Finished>(fragmentOf(execute, 0)).empty());
            CHECK(caller.after<Finished>(fragmentOf(execute, 0)).empty());
            auto finished = caller.after<Finished>(fragmentOf(execute, 1));
            REQUIRE(finished.size() == 1);
            CHECK(finished.front().payload == std::vector<std::uint8_t> { 0, 1 });
        }
        SECTION("the answer to another of its requests is ignored (P5) (ANSWER_MATCHED_BY_CALLER_ONLY)")
        {
            Packet otherAnswer = fragmentOf(execute, 0);
            otherAnswer.key.flow = FlowId(execute.key.flow.value + 1);
            otherAnswer.payload = { 66 };
            CHECK(caller.after<Finished>(otherAnswer).empty());
            caller.after<Finished>(fragmentOf(execute, 0));
            auto finished = caller.after<Finished>(fragmentOf(execute, 1));
            REQUIRE(finished.size() == 1);
            CHECK(finished.front().payload == std::vector<std::uint8_t> { 0, 1 });
        }
        SECTION("an answer fragment of another binding is ignored (P5) (ANSWER_OF_ANY_BINDING)")
        {
            Packet otherRun = fragmentOf(execute, 0);
            otherRun.binding = openedFor(open, 2).binding;
            otherRun.target = TargetId(2);
            otherRun.nonce = 0;
            otherRun.payload = { 66 };
            CHECK(caller.after<Finished>(otherRun).empty());
            caller.after<Finished>(fragmentOf(execute, 1));
            auto finished = caller.after<Finished>(fragmentOf(execute, 0));
            REQUIRE(finished.size() == 1);
            CHECK(finished.front().payload == std::vector<std::uint8_t> { 0, 1 });
        }
    }
}

TEST_CASE("Traces of a name that moves to another service, which guard against a misrouted request (P2)", "[trace]")
{
    AgentFixture f;
    Packet open = f.packet(PacketKind::Open, flowOf(1));

    SECTION("a balancer with an outdated view sends the open to the old service (NAME_NOT_RESOLVED_AGAIN)")
    {
        ServicesDocument moved { { { .id = courier, .name = "courier-old" },
            { .id = receipts, .name = "receipts", .spellings = { "courier" } } } };
        f.publish("services", moved);
        f.deliver(open);
        CHECK(refusalOf(f) == Outcome { Verdict::DidNotRun, Reason::WrongService });
    }
    SECTION("an agent with an outdated view receives an open for the new service (RESOLVED_UNDER_OWN_REVISION_ONLY)")
    {
        open.service = receipts;
        open.resolvedAt = Revision(f.revision + 1);
        f.deliver(open);
        CHECK(refusalOf(f) == Outcome { Verdict::DidNotRun, Reason::WrongService });
    }
    SECTION("a misspelled name that reaches the agent is refused (GUESSES_NAMES)")
    {
        open.name = "courie";
        f.deliver(open);
        CHECK(refusalOf(f) == Outcome { Verdict::DidNotRun, Reason::UnknownName });
    }
}

TEST_CASE("Traces of a target that drains or is taken out of service", "[trace]")
{
    AgentFixture f;

    SECTION("an open that arrives after the agent learned of the drain is not accepted (P8) (DRAIN_NOT_CHECKED)")
    {
        f.members.members = { { .vm = "vm-1", .leaving = true } };
        f.publish("members", f.members);
        f.deliver(f.packet(PacketKind::Open, flowOf(1)));
        CHECK(f.core->admission().held() == 0);
        for (const auto& reply : f.take<SendToProcess>())
            CHECK(reply.packet.kind != PacketKind::Opened);
    }
    SECTION("an agent that restarts during the drain ignores opens before it has a configuration (P8) "
            "(RESTART_SERVES_AT_ONCE)")
    {
        AgentSettings settings { .target = TargetId(1), .service = courier, .vm = "vm-1", .failureDomain = "fd-1" };
        AgentCore successor(settings, AgentSeeds { Incarnation(78), 42 }, f.keyring, f.effects);
        successor.onTargetHealth(f.now, TargetState::Warm, 0, firstTarget);
        successor.onTick(f.now);
        successor.onPacket(f.now, balancerA, f.packet(PacketKind::Open, flowOf(1)));
        CHECK(f.effects.empty());
    }
    SECTION("a bound packet that arrives after the agent learned that it is out of service is not executed (P4) "
            "(OUT_NOT_CHECKED)")
    {
        Packet opened = f.open(flowOf(1));
        f.operations.domainsOut = { "fd-1" };
        f.publish("operations", f.operations);
        f.effects.clear();
        CHECK(executionsOf(f, f.bound(PacketKind::Execute, opened)) == 0);
    }
    SECTION(
        "an agent that shuts down waits for a running request and its acknowledgement (P9) (SHUTDOWN_DOES_NOT_WAIT)")
    {
        Packet opened;
        RunRequest request = f.run(flowOf(1), opened);
        f.core->beginShutdown(f.now, true);
        CHECK_FALSE(f.core->isIdle());
        f.core->onTargetAnswer(f.now, flowOf(1), request.request, { 1 });
        CHECK_FALSE(f.core->isIdle());
        f.deliver(f.bound(PacketKind::AnswerAck, opened));
        CHECK(f.core->isIdle());
    }
}
