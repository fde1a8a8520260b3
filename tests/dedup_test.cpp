#include "agent_fixture.h"
#include "table/agent_times.h"

using namespace hawthorncroft;

namespace {

Outcome refusalOf(AgentFixture& f)
{
    Packet reply = f.sent().packet;
    REQUIRE(reply.kind == PacketKind::Refused);
    return reply.outcome;
}

}

TEST_CASE("A request that was sent to the target", "[agent][dedup]")
{
    AgentFixture f;
    Packet opened;
    RunRequest request = f.run(flowOf(1), opened);

    SECTION("does not run again when its Execute is retransmitted, so that a confirmation is not duplicated")
    {
        for (int i = 0; i < 5; ++i)
            f.deliver(f.bound(PacketKind::Execute, opened), i % 2 ? balancerB : balancerA);
        f.deliver(f.packet(PacketKind::Open, flowOf(1)));
        CHECK(f.sent().packet.binding == opened.binding);
        CHECK(f.core->counter(AgentCounter::Started) == 1);

        SECTION("and its answer is retransmitted in fragments until it is acknowledged")
        {
            std::vector<std::uint8_t> payload(3000, 7);
            f.core->onTargetAnswer(f.now, flowOf(1), request.request, payload);
            auto fragments = f.take<SendToProcess>();
            REQUIRE(fragments.size() == 3);
            std::vector<std::uint8_t> joined;
            for (const auto& fragment : fragments) {
                CHECK(fragment.packet.count == 3);
                CHECK(fragment.packet.outcome.verdict == Verdict::Done);
                CHECK(fragment.packet.callerEndpoint == callerEndpoint);
                CHECK(fragment.to == balancerA);
                joined.insert(joined.end(), fragment.packet.payload.begin(), fragment.packet.payload.end());
            }
            CHECK(joined == payload);
            CHECK(f.core->records().keptAnswerBytes() == 3000);
            f.pass(milliseconds(100));
            auto again = f.take<SendToProcess>();
            REQUIRE(again.size() == 3);
            CHECK(again.front().to == balancerB);

            f.deliver(f.bound(PacketKind::AnswerAck, opened));
            CHECK(f.core->records().keptAnswerBytes() == 0);
            f.pass(seconds(3));
            CHECK(f.effects.empty());

            SECTION("and an Execute that arrives after the acknowledgement does not run")
            {
                f.deliver(f.bound(PacketKind::Execute, opened));
                Packet reply = f.sent().packet;
                CHECK(reply.outcome == Outcome { Verdict::Done, Reason::NoAnswer });
            }
        }
        SECTION("and an answer that is never acknowledged expires, so that its memory is freed")
        {
            f.core->onTargetAnswer(f.now, flowOf(1), request.request, std::vector<std::uint8_t>(10));
            f.pass(recordMargin + seconds(6));
            CHECK(f.core->records().size() == 0);
            CHECK(f.core->counter(AgentCounter::ExpiredAnswers) == 1);
            f.effects.clear();
            f.deliver(f.bound(PacketKind::Execute, opened));
            CHECK(refusalOf(f) == Outcome { Verdict::MayHaveRun, Reason::Expired });
        }
    }
    SECTION("may have run when the target fails")
    {
        f.core->onTargetFailed(f.now, flowOf(1), request.request, TargetFailure::Failed);
        CHECK(f.sent().packet.outcome == Outcome { Verdict::MayHaveRun, Reason::TargetFailed });
    }
    SECTION("did not run when the target shed it, and a delayed Execute cannot run after the refusal")
    {
        f.core->onTargetFailed(f.now, flowOf(1), request.request, TargetFailure::Shed);
        CHECK(refusalOf(f).verdict == Verdict::DidNotRun);
        f.deliver(f.bound(PacketKind::Execute, opened));
        CHECK(refusalOf(f).verdict == Verdict::DidNotRun);
        CHECK(f.core->counter(AgentCounter::Started) == 1);
    }
    SECTION("ignores the target's report for another request, so that answers are not mixed up")
    {
        f.core->onTargetAnswer(f.now, flowOf(1), ReservationId(request.request.value + 1), { 1 });
        f.core->onTargetAnswer(f.now, flowOf(2), request.request, { 1 });
        CHECK(f.effects.empty());
        CHECK(f.core->counter(AgentCounter::LateTargetReports) == 2);
    }
    SECTION("has no outcome while it runs, and a Query reports no verdict")
    {
        f.deliver(f.bound(PacketKind::Query, opened));
        CHECK(f.sent().packet.outcome.verdict == Verdict::None);
        f.core->onTargetAnswer(f.now, flowOf(1), request.request, { 4, 5 });
        f.take<SendToProcess>();
        f.deliver(f.bound(PacketKind::Query, opened), balancerB);
        auto reply = f.sent();
        CHECK(reply.to == balancerB);
        CHECK(reply.packet.payload == std::vector<std::uint8_t> { 4, 5 });
    }
    SECTION("is found by a Query without a binding, as sent by a caller that restarted")
    {
        f.core->onTargetAnswer(f.now, flowOf(1), request.request, { 4, 5 });
        f.effects.clear();
        f.deliver(f.packet(PacketKind::Query, flowOf(1)));
        CHECK(f.sent().packet.payload == std::vector<std::uint8_t> { 4, 5 });
        f.deliver(f.packet(PacketKind::Query, flowOf(2)));
        CHECK(refusalOf(f) == Outcome { Verdict::MayHaveRun, Reason::Unknown });
    }
    SECTION("is cancelled at the target only once, and an answer that arrives afterwards is delivered")
    {
        f.deliver(f.bound(PacketKind::Cancel, opened));
        f.deliver(f.bound(PacketKind::Cancel, opened));
        CHECK(f.take<CancelRequest>().size() == 1);
        f.core->onTargetAnswer(f.now, flowOf(1), request.request, { 1 });
        CHECK(f.sent().packet.outcome.verdict == Verdict::Done);
    }
    SECTION("may have run when the target restarts meanwhile")
    {
        f.core->onTargetHealth(f.now, TargetState::Warm, 0, Incarnation(501));
        CHECK(f.sent().packet.outcome == Outcome { Verdict::MayHaveRun, Reason::WrongIncarnation });
    }
    SECTION("may have run for the next agent process, which has no records")
    {
        f.core = f.startAgent(Incarnation(78));
        f.deliver(f.bound(PacketKind::Execute, opened));
        CHECK(refusalOf(f) == Outcome { Verdict::MayHaveRun, Reason::WrongIncarnation });
        CHECK(f.take<RunRequest>().empty());
    }
}

TEST_CASE("A request that is refused before it starts", "[agent][dedup]")
{
    AgentFixture f;
    Packet opened = f.open(flowOf(1));
    REQUIRE(opened.kind == PacketKind::Opened);
    Packet execute = f.bound(PacketKind::Execute, opened);

    auto checkTombstoned = [&](Reason reason) {
        CHECK(refusalOf(f) == Outcome { Verdict::DidNotRun, reason });
        // The retransmission passes all checks, so only the tombstone prevents its execution.
        f.deliver(f.bound(PacketKind::Execute, opened));
        CHECK(f.take<RunRequest>().empty());
        CHECK(f.core->counter(AgentCounter::Started) == 0);
    };

    SECTION("because its deadline passed leaves a tombstone")
    {
        execute.deadline = f.now - milliseconds(1);
        f.deliver(execute);
        checkTombstoned(Reason::DeadlinePassed);
    }
    SECTION("because its name resolves to another service leaves a tombstone, so that it is not misdirected")
    {
        execute.name = "receipts";
        f.deliver(execute);
        checkTombstoned(Reason::WrongService);
    }
    SECTION("because it was cancelled leaves a tombstone, even if the Cancel arrives before the Execute")
    {
        f.deliver(f.bound(PacketKind::Cancel, opened));
        checkTombstoned(Reason::Cancelled);

        SECTION("and the caller may open the flow again, after which only the new binding can run")
        {
            f.effects.clear();
            Packet second = f.open(flowOf(1));
            REQUIRE(second.kind == PacketKind::Opened);
            CHECK(second.binding.reservation != opened.binding.reservation);
            f.deliver(execute);
            CHECK(refusalOf(f).verdict == Verdict::DidNotRun);
            f.deliver(f.bound(PacketKind::Execute, second));
            CHECK(f.take<RunRequest>().size() == 1);
            f.deliver(execute);
            CHECK(f.effects.empty());
        }
    }
    SECTION("because its reservation expired has a tombstone until the record margin ends")
    {
        f.pass(seconds(6));
        CHECK(f.core->counter(AgentCounter::LapsedReservations) == 1);
        f.deliver(execute);
        CHECK(refusalOf(f) == Outcome { Verdict::DidNotRun, Reason::Expired });
        f.pass(recordMargin);
        f.deliver(execute);
        CHECK(refusalOf(f) == Outcome { Verdict::MayHaveRun, Reason::Expired });
    }
    SECTION("because the target restarted since the Open did not run")
    {
        f.core->onTargetHealth(f.now, TargetState::Warm, 0, Incarnation(501));
        f.effects.clear();
        f.deliver(execute);
        checkTombstoned(Reason::WrongIncarnation);
    }
    SECTION("because its binding is forged, of another flow or of another target keeps its reservation")
    {
        Packet forged = execute;
        forged.binding.expiresAt = forged.binding.expiresAt + seconds(60);
        f.deliver(forged);
        CHECK(refusalOf(f) == Outcome { Verdict::MayHaveRun, Reason::BadBinding });
        Packet borrowed = execute;
        borrowed.key = flowOf(2);
        f.deliver(borrowed);
        CHECK(refusalOf(f) == Outcome { Verdict::MayHaveRun, Reason::BadBinding });
        Packet misrouted = execute;
        misrouted.binding.target = TargetId(2);
        signBinding(f.keyring, misrouted.key, misrouted.binding);
        f.deliver(misrouted);
        CHECK(refusalOf(f) == Outcome { Verdict::MayHaveRun, Reason::WrongTarget });
        f.deliver(execute);
        CHECK(f.take<RunRequest>().size() == 1);
    }
}

TEST_CASE("A request that waits for a slot", "[agent][dedup]")
{
    AgentFixture f;
    Packet first;
    RunRequest running = f.run(flowOf(1), first);
    Packet second = f.open(flowOf(2));
    Packet execute = f.bound(PacketKind::Execute, second);
    execute.deadline = f.now + milliseconds(80);
    f.deliver(execute);
    CHECK(f.take<RunRequest>().empty());

    SECTION("starts when the slot is free")
    {
        f.core->onTargetAnswer(f.now + milliseconds(40), flowOf(1), running.request, {});
        REQUIRE(f.take<RunRequest>().size() == 1);
    }
    SECTION("has its deadline checked again before it starts, so that nothing runs for a caller that gave up")
    {
        f.core->onTargetAnswer(f.now + milliseconds(81), flowOf(1), running.request, {});
        CHECK(f.take<RunRequest>().empty());
        f.deliver(execute);
        CHECK(refusalOf(f) == Outcome { Verdict::DidNotRun, Reason::DeadlinePassed });
    }
    SECTION("is refused at its deadline and leaves the queue while the target hangs")
    {
        f.pass(milliseconds(100));
        CHECK(refusalOf(f) == Outcome { Verdict::DidNotRun, Reason::DeadlinePassed });
        CHECK(f.core->admission().queued() == 0);
    }
}

TEST_CASE("The record table", "[agent][dedup]")
{
    RecordTable table;
    SECTION("is bounded, so that a flood of Opens cannot exhaust memory")
    {
        for (std::uint64_t i = 1; i <= maxFlowRecords; ++i)
            REQUIRE(table.add(flowOf(i)));
        CHECK(table.add(flowOf(maxFlowRecords + 1)) == nullptr);
        CHECK(table.count(FlowState::Reserved) == maxFlowRecords);
        table.remove(*table.find(flowOf(1)));
        CHECK(table.add(flowOf(maxFlowRecords + 1)));
    }
    SECTION("fires the timer of each record once and not early, also beyond the span of the wheel")
    {
        TimePoint start { 5000000 };
        table.advance(start, [](FlowRecord&) {});
        std::uint64_t flow = 0;
        for (Duration wait : { milliseconds(1), milliseconds(500), seconds(15), seconds(17), seconds(100) })
            table.scheduleTimer(*table.add(flowOf(++flow)), start + wait);
        std::vector<std::uint64_t> woken;
        for (TimePoint now = start; now < start + seconds(101); now = now + milliseconds(10)) {
            table.advance(now, [&](FlowRecord& record) {
                CHECK(record.dueAt <= now);
                CHECK(now - record.dueAt <= milliseconds(15));
                woken.push_back(record.key.flow.value);
            });
        }
        CHECK(woken == std::vector<std::uint64_t> { 1, 2, 3, 4, 5 });
    }
}
