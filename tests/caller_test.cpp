#include "caller_base.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace hawthorncroft;

namespace {

constexpr CallerId callerId(77);

/** A caller core with a simulated clock and the effects of the last call. */
struct Caller {
    TimePoint now { 1000000 };
    CallerSettings settings { .id = callerId, .seed = 4, .retryReserve = 3 };
    CallerCore core { settings };
    CallerEffects effects;

    void tickFor(Duration duration)
    {
        effects.clear();
        now = now + duration;
        core.onTick(now, effects);
    }

    void receive(const Packet& packet)
    {
        effects.clear();
        core.onPacket(now, packet, effects);
    }

    FlowId request(RequestOptions options)
    {
        effects.clear();
        return core.startRequest(now, std::move(options), effects).flow;
    }

    std::vector<Packet> sent(PacketKind kind) const
    {
        std::vector<Packet> packets;
        for (const auto& effect : effects) {
            const auto* send = std::get_if<SendToFabric>(&effect);
            if (send && send->packet.kind == kind)
                packets.push_back(send->packet);
        }
        return packets;
    }

    template <typename Effect> std::vector<Effect> all() const
    {
        std::vector<Effect> found;
        for (const auto& effect : effects) {
            if (const auto* match = std::get_if<Effect>(&effect))
                found.push_back(*match);
        }
        return found;
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

Packet openedFor(const Packet& open, std::uint32_t target = 1)
{
    Packet opened = replyTo(open, PacketKind::Opened, target);
    opened.binding = { .service = ServiceId(1),
        .target = TargetId(target),
        .targetIncarnation = Incarnation(10 + target),
        .agentIncarnation = Incarnation(20 + target),
        .agent = { 0x7f000001, static_cast<std::uint16_t>(5000 + target) },
        .reservation = ReservationId(100 + target),
        .expiresAt = { 10000000 } };
    return opened;
}

Packet refusalOf(const Packet& packet, Verdict verdict, Reason reason, std::uint32_t retryAfterMs = 0)
{
    Packet refusal = replyTo(packet, PacketKind::Refused);
    refusal.outcome = { verdict, reason, retryAfterMs };
    return refusal;
}

Packet fragmentOf(const Packet& execute, std::uint32_t index, std::uint32_t count, std::uint8_t byte)
{
    Packet answer = replyTo(execute, PacketKind::Answer);
    answer.outcome.verdict = Verdict::Done;
    answer.sequence = index;
    answer.count = count;
    answer.payload = { byte };
    return answer;
}

}

TEST_CASE("A confirmation of a caller", "[caller]")
{
    Caller caller;
    FlowId flow = caller.request({ .service = "handover", .payload = { 1, 2 }, .deadline = seconds(2) });
    REQUIRE(caller.sent(PacketKind::Open).size() == 1);
    Packet open = caller.sent(PacketKind::Open)[0];
    CHECK(open.payload.empty());

    SECTION("is executed under the first binding, with the remaining time on the agent's clock")
    {
        caller.now = caller.now + milliseconds(10);
        caller.receive(openedFor(open));
        REQUIRE(caller.sent(PacketKind::Execute).size() == 1);
        Packet execute = caller.sent(PacketKind::Execute)[0];
        CHECK(execute.deadline == TimePoint { 500 } + milliseconds(1990));
        CHECK(execute.binding.target == TargetId(1));

        SECTION("and a second Opened does not rebind it, which guards against execution at two targets")
        {
            caller.receive(openedFor(open, 2));
            CHECK(caller.sent(PacketKind::Execute).empty());
            REQUIRE(caller.sent(PacketKind::Cancel).size() == 1);
            CHECK(caller.sent(PacketKind::Cancel)[0].binding.target == TargetId(2));
            caller.tickFor(milliseconds(200));
            REQUIRE(caller.sent(PacketKind::Execute).size() == 1);
            CHECK(caller.sent(PacketKind::Execute)[0].binding == execute.binding);
        }
        SECTION("and a delayed refusal of an Open does not end it, which guards against a false refusal")
        {
            Packet late = refusalOf(open, Verdict::DidNotRun, Reason::Overloaded);
            caller.receive(late);
            CHECK(caller.effects.empty());
            Packet ofOther = refusalOf(execute, Verdict::DidNotRun, Reason::Cancelled);
            ofOther.binding = openedFor(open, 2).binding;
            caller.receive(ofOther);
            CHECK(caller.effects.empty());
        }
        SECTION("and its answer is reassembled from reordered and duplicated fragments, without those of others")
        {
            caller.receive(fragmentOf(execute, 2, 3, 'c'));
            caller.receive(fragmentOf(execute, 0, 3, 'a'));
            caller.receive(fragmentOf(execute, 0, 3, 'a'));
            Packet ofOther = fragmentOf(execute, 1, 3, 'x');
            ofOther.key.flow = FlowId(flow.value + 1);
            caller.receive(ofOther);
            CHECK(caller.all<Finished>().empty());
            Packet ofOtherLength = fragmentOf(execute, 1, 2, 'x');
            caller.receive(ofOtherLength);
            CHECK(caller.all<Finished>().empty());
            caller.receive(fragmentOf(execute, 1, 3, 'b'));
            REQUIRE(caller.all<Finished>().size() == 1);
            CHECK(caller.all<Finished>()[0].payload == std::vector<std::uint8_t> { 'a', 'b', 'c' });
            CHECK(caller.sent(PacketKind::AnswerAck).size() == 1);

            SECTION("and a duplicate fragment is acknowledged again but not delivered again")
            {
                caller.receive(fragmentOf(execute, 1, 3, 'b'));
                CHECK(caller.all<Finished>().empty());
                REQUIRE(caller.sent(PacketKind::AnswerAck).size() == 1);
                CHECK(caller.sent(PacketKind::AnswerAck)[0].binding == execute.binding);
            }
        }
        SECTION("and without an answer it ends as \"may have run\", which guards against a false \"did not run\"")
        {
            caller.tickFor(seconds(3));
            REQUIRE(caller.all<Finished>().size() == 1);
            CHECK(caller.all<Finished>()[0].outcome == Outcome { Verdict::MayHaveRun, Reason::NoAnswer });

            SECTION("and a later query returns the outcome")
            {
                caller.effects.clear();
                REQUIRE(caller.core.startQuery(caller.now, { .flow = flow }, caller.effects).flow == flow);
                REQUIRE(caller.sent(PacketKind::Query).size() == 1);
                Packet query = caller.sent(PacketKind::Query)[0];
                CHECK(query.binding == execute.binding);
                CHECK(query.name == "handover");
                caller.receive(fragmentOf(query, 0, 1, 'a'));
                REQUIRE(caller.all<Finished>().size() == 1);
                CHECK(caller.all<Finished>()[0].outcome.verdict == Verdict::Done);
            }
            SECTION("and a query distinguishes an answer that is no longer stored from an empty one")
            {
                caller.core.startQuery(caller.now, { .flow = flow }, caller.effects);
                Packet gone = fragmentOf(execute, 0, 0, 'a');
                gone.payload.clear();
                caller.receive(gone);
                REQUIRE(caller.all<Finished>().size() == 1);
                CHECK(caller.all<Finished>()[0].outcome == Outcome { Verdict::Done, Reason::Expired });
            }
        }
        SECTION("and after \"may have run\" it is never bound again")
        {
            caller.receive(refusalOf(execute, Verdict::MayHaveRun, Reason::WrongIncarnation));
            REQUIRE(caller.all<Finished>().size() == 1);
            CHECK(caller.all<Finished>()[0].outcome.verdict == Verdict::MayHaveRun);
            caller.tickFor(seconds(5));
            CHECK(caller.effects.empty());
        }
        SECTION("and after \"did not run\" it waits for the retry-after, then binds to another target")
        {
            caller.receive(refusalOf(execute, Verdict::DidNotRun, Reason::Draining, 300));
            CHECK(caller.effects.empty());
            caller.tickFor(milliseconds(299));
            CHECK(caller.effects.empty());
            caller.receive(openedFor(open));
            CHECK(caller.effects.empty());
            caller.tickFor(milliseconds(100));
            REQUIRE(caller.sent(PacketKind::Open).size() == 1);
            Packet again = caller.sent(PacketKind::Open)[0];
            CHECK(again.attempt > open.attempt);
            CHECK(again.key == open.key);
            caller.receive(openedFor(again, 2));
            CHECK(caller.sent(PacketKind::Execute).size() == 1);
        }
        SECTION("and when cancelled it ends with the agent's outcome")
        {
            caller.effects.clear();
            CHECK(caller.core.cancel(caller.now, flow, caller.effects));
            REQUIRE(caller.sent(PacketKind::Cancel).size() == 1);
            CHECK(caller.all<Finished>().empty());
            caller.receive(refusalOf(execute, Verdict::DidNotRun, Reason::Cancelled));
            REQUIRE(caller.all<Finished>().size() == 1);
            CHECK(caller.all<Finished>()[0].outcome == Outcome { Verdict::DidNotRun, Reason::Cancelled });
        }
    }
    SECTION("is hedged once after a delay, with the next attempt number")
    {
        caller.tickFor(milliseconds(60));
        REQUIRE(caller.sent(PacketKind::Open).size() == 1);
        Packet hedged = caller.sent(PacketKind::Open)[0];
        CHECK(hedged.attempt == open.attempt + 1);

        SECTION("and one refusal does not end it while the other Open has no reply")
        {
            caller.receive(refusalOf(open, Verdict::DidNotRun, Reason::Overloaded, 1));
            caller.receive(refusalOf(open, Verdict::DidNotRun, Reason::Overloaded, 1));
            CHECK(caller.core.counters().retried == 0);
            caller.receive(openedFor(hedged, 2));
            CHECK(caller.sent(PacketKind::Execute).size() == 1);
        }
    }
    SECTION("ends as \"did not run\" when no Opened arrives by the deadline")
    {
        caller.tickFor(seconds(2));
        REQUIRE(caller.all<Finished>().size() == 1);
        CHECK(caller.all<Finished>()[0].outcome == Outcome { Verdict::DidNotRun, Reason::DeadlinePassed });
        caller.receive(openedFor(open));
        CHECK(caller.sent(PacketKind::Execute).empty());
    }
    SECTION("is refused at once for an unknown name, which guards against retries that cannot succeed")
    {
        caller.receive(refusalOf(open, Verdict::DidNotRun, Reason::UnknownName));
        REQUIRE(caller.all<Finished>().size() == 1);
        CHECK(caller.all<Finished>()[0].outcome == Outcome { Verdict::DidNotRun, Reason::UnknownName });
    }
    SECTION("ignores packets for another caller")
    {
        Packet misdirected = openedFor(open);
        misdirected.key.caller = CallerId(78);
        caller.receive(misdirected);
        CHECK(caller.effects.empty());
        CHECK(caller.core.counters().strays == 1);
    }
}

TEST_CASE("The retry budget limits retries, which guards against retries that amplify an overload", "[caller]")
{
    Caller caller;
    std::size_t opens = 0;
    std::size_t refused = 0;
    for (int i = 0; i < 50; ++i) {
        caller.request({ .service = "handover", .deadline = seconds(30) });
        std::vector<Packet> pending = caller.sent(PacketKind::Open);
        while (!pending.empty()) {
            opens += pending.size();
            caller.receive(refusalOf(pending[0], Verdict::DidNotRun, Reason::Overloaded, 10));
            refused += caller.all<Finished>().size();
            caller.tickFor(seconds(2));
            pending = caller.sent(PacketKind::Open);
        }
    }
    CHECK(refused == 50);
    CHECK(opens <= 50 + caller.settings.retryReserve);
}

TEST_CASE("A feed of a caller", "[caller]")
{
    Caller caller;
    FlowId flow = caller.core.openFeed(caller.now, { .service = "route" }, caller.effects).flow;
    Packet open = caller.sent(PacketKind::Open).at(0);
    caller.receive(openedFor(open));
    Packet keepAlive = caller.sent(PacketKind::KeepAlive).at(0);
    Packet renewed = replyTo(keepAlive, PacketKind::Renewed);
    caller.receive(renewed);
    REQUIRE(caller.all<FeedOpened>().size() == 1);
    auto eventWith = [&](std::uint32_t sequence) {
        Packet event = replyTo(keepAlive, PacketKind::Event);
        event.sequence = sequence;
        event.payload = { static_cast<std::uint8_t>(sequence) };
        return event;
    };

    SECTION("delivers each event once and in order, and acknowledges only delivered events")
    {
        caller.receive(eventWith(2));
        CHECK(caller.effects.empty());
        caller.receive(eventWith(1));
        REQUIRE(caller.all<FeedEvent>().size() == 2);
        CHECK(caller.all<FeedEvent>()[0].sequence == 1);
        CHECK(caller.all<FeedEvent>()[1].sequence == 2);
        CHECK(caller.sent(PacketKind::EventAck).size() == 2);
        caller.receive(eventWith(2));
        CHECK(caller.all<FeedEvent>().empty());
        CHECK(caller.sent(PacketKind::EventAck).size() == 1);

        SECTION("and continues under the new binding after an agent has adopted it again")
        {
            Packet adopted = renewed;
            adopted.binding.agentIncarnation = Incarnation(99);
            adopted.binding.reservation = ReservationId(5);
            caller.receive(adopted);
            caller.receive(eventWith(3));
            REQUIRE(caller.all<FeedEvent>().size() == 1);
            CHECK(caller.sent(PacketKind::EventAck).at(0).binding == adopted.binding);
            caller.tickFor(seconds(4));
            CHECK(caller.sent(PacketKind::KeepAlive).at(0).binding == adopted.binding);
            CHECK(caller.sent(PacketKind::KeepAlive).at(0).sequence == 3);
        }
    }
    SECTION("is not broken by a lost keep-alive or a temporary refusal, which guards P1")
    {
        caller.tickFor(seconds(4));
        REQUIRE(caller.sent(PacketKind::KeepAlive).size() == 1);
        caller.receive(refusalOf(caller.sent(PacketKind::KeepAlive)[0], Verdict::DidNotRun, Reason::NotReady));
        CHECK(caller.all<FlowBroken>().empty());
        caller.tickFor(milliseconds(200));
        REQUIRE(caller.sent(PacketKind::KeepAlive).size() == 1);
        caller.receive(renewed);
        caller.tickFor(seconds(2));
        CHECK(caller.effects.empty());
    }
    SECTION("is reported broken when its lease expires without a Renewed, and reopened")
    {
        caller.tickFor(caller.settings.lease);
        REQUIRE(caller.all<FlowBroken>().size() == 1);
        FlowBroken broken = caller.all<FlowBroken>()[0];
        CHECK(broken.flow == flow);
        CHECK(broken.outcome.reason == Reason::NoAnswer);
        REQUIRE(caller.sent(PacketKind::Open).size() == 1);
        CHECK(caller.sent(PacketKind::Open)[0].key.flow == broken.reopenedAs);
    }
    SECTION("is not reopened after its caller has closed it")
    {
        caller.effects.clear();
        caller.core.closeFlow(caller.now, flow, caller.effects);
        Packet close = caller.sent(PacketKind::Close).at(0);
        caller.receive(replyTo(close, PacketKind::Closed));
        REQUIRE(caller.all<Finished>().size() == 1);
        CHECK(caller.all<Finished>()[0].outcome.verdict == Verdict::Done);
        CHECK(caller.core.openFlows() == 0);
        CHECK_FALSE(caller.core.nextTimer());
    }
}

TEST_CASE("An upload of a caller", "[caller]")
{
    Caller caller;
    std::vector<std::uint8_t> content(maxPayloadBytes * 20 + 7, 5);
    caller.core.startUpload(caller.now, { .service = "intake", .content = content }, caller.effects);
    caller.receive(openedFor(caller.sent(PacketKind::Open).at(0)));
    std::vector<Packet> window = caller.sent(PacketKind::Data);
    REQUIRE(window.size() == uploadWindow);

    SECTION("sends a window of chunks and commits all of them under the binding of the current agent")
    {
        std::size_t received = 0;
        std::vector<Packet> renewals;
        while (!window.empty()) {
            Packet chunk = window.back();
            window.pop_back();
            received += chunk.payload.size();
            Packet ack = replyTo(chunk, PacketKind::DataAck);
            ack.sequence = chunk.sequence;
            caller.receive(ack);
            CHECK(caller.all<UploadProgress>().size() == 1);
            auto more = caller.sent(PacketKind::Data);
            window.insert(window.end(), more.begin(), more.end());
            CHECK(caller.sent(PacketKind::Close).empty());
            CHECK(caller.sent(PacketKind::KeepAlive).empty() == !window.empty());
            renewals = caller.sent(PacketKind::KeepAlive);
            caller.receive(ack);
            CHECK(caller.all<UploadProgress>().empty());
        }
        REQUIRE(renewals.size() == 1);
        Packet renewed = replyTo(renewals[0], PacketKind::Renewed);
        renewed.binding.agentIncarnation = Incarnation(99);
        caller.receive(renewed);
        std::vector<Packet> closes = caller.sent(PacketKind::Close);
        CHECK(received == content.size());
        REQUIRE(closes.size() == 1);
        CHECK(closes[0].count == 21);
        CHECK(closes[0].binding.agentIncarnation == Incarnation(99));

        SECTION("and ends with the verdict of the commit")
        {
            Packet closed = replyTo(closes[0], PacketKind::Closed);
            closed.outcome.verdict = Verdict::Done;
            caller.receive(closed);
            REQUIRE(caller.all<Finished>().size() == 1);
            CHECK(caller.all<Finished>()[0].outcome.verdict == Verdict::Done);
            CHECK(caller.sent(PacketKind::AnswerAck).size() == 1);
        }
        SECTION("and does not resend the commit under a later agent's binding, which guards against a double commit")
        {
            renewed.binding.agentIncarnation = Incarnation(100);
            caller.receive(renewed);
            caller.tickFor(milliseconds(1000));
            auto repeated = caller.sent(PacketKind::Close);
            REQUIRE_FALSE(repeated.empty());
            for (const Packet& close : repeated)
                CHECK(close.binding.agentIncarnation == Incarnation(99));
        }
        SECTION("and ends as \"may have run\" when the commit has no reply")
        {
            caller.tickFor(seconds(14));
            caller.tickFor(seconds(2));
            REQUIRE(caller.all<Finished>().size() == 1);
            CHECK(caller.all<Finished>()[0].outcome.verdict == Verdict::MayHaveRun);
        }
    }
    SECTION("restarts from the first chunk at another target, which guards against gaps in the file")
    {
        Packet ack = replyTo(window[0], PacketKind::DataAck);
        ack.sequence = window[0].sequence;
        caller.receive(ack);
        caller.receive(refusalOf(window[1], Verdict::DidNotRun, Reason::WrongIncarnation));
        caller.tickFor(milliseconds(200));
        caller.receive(openedFor(caller.sent(PacketKind::Open).at(0), 2));
        REQUIRE(caller.sent(PacketKind::Data).size() == uploadWindow);
        CHECK(caller.sent(PacketKind::Data)[0].sequence == 1);
        caller.receive(ack);
        CHECK(caller.all<UploadProgress>().empty());
    }
}

namespace {

/** Correct agents behind a fabric that loses, duplicates and delays packets, reproducible by its seed. */
struct LossyFabric {
    struct InFlight {
        TimePoint at;
        bool toCaller {};
        Packet packet;
    };

    explicit LossyFabric(std::uint32_t seed)
        : random(seed)
    {
    }

    bool chance(int percent) { return static_cast<int>(random() % 100) < percent; }

    void transmit(const Packet& packet, bool toCaller)
    {
        for (int copies = chance(20) ? 0 : 1 + chance(10); copies > 0; --copies)
            inFlight.push_back({ caller.now + milliseconds(1 + random() % 60), toCaller, packet });
    }

    /** Each Open attempt reaches another agent, so that a hedge always gets another target. */
    void onPacketAtAgent(const Packet& packet)
    {
        auto key = std::pair(packet.key.flow.value, packet.binding.target.value);
        if (packet.kind == PacketKind::Open && chance(15))
            return transmit(refusalOf(packet, Verdict::DidNotRun, Reason::Overloaded, 5), true);
        if (packet.kind == PacketKind::Open)
            return transmit(openedFor(packet, packet.attempt + 1U), true);
        if (packet.kind == PacketKind::Cancel && !ran.contains(key))
            tombstones.insert(key);
        if (packet.kind != PacketKind::Execute)
            return;
        if (!ran.contains(key) && (tombstones.contains(key) || chance(10)))
            tombstones.insert(key);
        if (tombstones.contains(key))
            return transmit(refusalOf(packet, Verdict::DidNotRun, Reason::Draining, 5), true);
        ran.insert(key);
        transmit(fragmentOf(packet, 0, 2, static_cast<std::uint8_t>(packet.key.flow.value)), true);
        transmit(fragmentOf(packet, 1, 2, static_cast<std::uint8_t>(packet.key.flow.value >> 8)), true);
    }

    void applyEffects()
    {
        CallerEffects effects = std::exchange(caller.effects, {});
        for (const auto& effect : effects) {
            if (const auto* send = std::get_if<SendToFabric>(&effect))
                transmit(send->packet, false);
            if (const auto* end = std::get_if<Finished>(&effect))
                finished[end->flow.value].push_back(*end);
        }
    }

    void step()
    {
        caller.tickFor(milliseconds(1));
        applyEffects();
        std::vector<InFlight> due;
        std::erase_if(inFlight, [&](const InFlight& item) {
            bool isDue = item.at <= caller.now;
            if (isDue)
                due.push_back(item);
            return isDue;
        });
        for (const auto& item : due) {
            if (!item.toCaller) {
                onPacketAtAgent(item.packet);
                continue;
            }
            caller.receive(item.packet);
            applyEffects();
        }
    }

    std::mt19937 random;
    Caller caller;
    std::vector<InFlight> inFlight;
    std::set<std::pair<std::uint64_t, std::uint64_t>> ran; ///< Flow and target of each execution.
    std::set<std::pair<std::uint64_t, std::uint64_t>> tombstones;
    std::map<std::uint64_t, std::vector<Finished>> finished;
};

}

TEST_CASE("Over a lossy fabric every verdict is true and no confirmation runs twice", "[caller]")
{
    auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    INFO("seed " << seed);
    LossyFabric lossyFabric(seed);
    std::size_t done = 0;
    constexpr int requests = 400;
    for (int i = 0; i < requests; ++i) {
        lossyFabric.caller.effects.clear();
        lossyFabric.caller.core.startRequest(lossyFabric.caller.now,
            { .service = "handover", .deadline = milliseconds(200 + 10 * (i % 100)) }, lossyFabric.caller.effects);
        lossyFabric.applyEffects();
        for (int ms = 0; ms < 5; ++ms)
            lossyFabric.step();
    }
    for (int ms = 0; ms < 3000; ++ms)
        lossyFabric.step();
    REQUIRE(lossyFabric.finished.size() == requests);
    for (const auto& [flow, ends] : lossyFabric.finished) {
        auto first = lossyFabric.ran.lower_bound({ flow, 0 });
        auto runs = std::distance(first, lossyFabric.ran.lower_bound({ flow + 1, 0 }));
        CHECK(ends.size() == 1);
        CHECK(runs <= 1);
        if (ends[0].outcome.verdict == Verdict::DidNotRun)
            CHECK(runs == 0);
        if (ends[0].outcome.verdict != Verdict::Done)
            continue;
        ++done;
        CHECK(runs == 1);
        CHECK(ends[0].payload
            == std::vector<std::uint8_t> { static_cast<std::uint8_t>(flow), static_cast<std::uint8_t>(flow >> 8) });
    }
    CHECK(done > requests / 2);
    CHECK(lossyFabric.caller.core.openFlows() == 0);
}
