#include "transit_transfer_fixture.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

TEST_CASE("The last packet of a transfer waits for a slot, and all others pass", "[transit][transfer]")
{
    SlottedTarget fleet(milliseconds(300));
    FlowTuple flow = fleet.startTransfer(1, uploadBytes);
    std::uint32_t last = fleet.transfer(flow).packets() - 1;
    fleet.fillSlots(100);
    REQUIRE(fleet.busy() == SlottedTarget::slots + slotOversubscription);

    SECTION("which guards against uploads that stall, or that run beside the requests of all slots")
    {
        fleet.sendPackets(flow, 0, last);
        CHECK(fleet.transfer(flow).received.size() == last);
        CHECK(fleet.busy() == SlottedTarget::slots + slotOversubscription);
        CHECK(fleet.gauge("transfers") == 1);
        CHECK(fleet.gauge("transfer_bytes") == last * packetBytes);
        fleet.sendPackets(flow, last, last + 1);
        CHECK(fleet.transfer(flow).received.size() == last);
        CHECK(fleet.busy() == SlottedTarget::slots + slotOversubscription + 1);
        CHECK(fleet.gauge("transfers") == 0);

        SECTION("a packet that was delivered is delivered again at once, which guards against a caller whose "
                "acknowledgement was lost")
        {
            std::size_t before = fleet.server().deliveredPackets;
            fleet.sendPackets(flow, 3, 5);
            CHECK(fleet.server().deliveredPackets == before + 2);
            fleet.sendPackets(flow, last, last + 1);
            CHECK(fleet.server().deliveredPackets == before + 2);
        }
        SECTION("its service time begins with the last packet, which guards against transfer times that make all "
                "requests of the route look slow")
        {
            fleet.run(seconds(1));
            CHECK(fleet.caller(flow).answers == 1);
            CHECK(fleet.busy() == 0);
            // The target's own queue, one request long, may add the time until the next slot is free.
            std::size_t fast = 0;
            for (Duration time : fleet.times(TransitDistribution::RequestTime))
                fast += time < milliseconds(20);
            CHECK(fast == 1);
        }
    }
    SECTION("the last packet arrives before another, which guards against a slot that waits for bytes")
    {
        fleet.run(milliseconds(700));
        REQUIRE(fleet.busy() == 0);
        fleet.sendPackets(flow, 0, last - 1);
        fleet.sendPackets(flow, last, last + 1);
        fleet.sendPackets(flow, last, last + 1);
        CHECK(fleet.busy() == 0);
        CHECK(fleet.transfer(flow).received.size() == last - 1);
        CHECK(fleet.count(TransitCounter::TransfersHeld) == 1);
        CHECK(fleet.gauge("transfers") == 1);

        SECTION("and waits until that one was delivered")
        {
            fleet.sendPackets(flow, last - 1, last);
            fleet.run(milliseconds(10));
            CHECK(fleet.caller(flow).answers == 1);
            CHECK(fleet.busy() == 0);
            CHECK(fleet.count(TransitCounter::TransfersReleased) == 0);
        }
        SECTION("but not forever, which guards against bytes that the target never gets")
        {
            fleet.run(transferHoldLimit + milliseconds(20));
            CHECK(fleet.transfer(flow).received.size() == last);
            CHECK(fleet.count(TransitCounter::TransfersReleased) == 1);
            CHECK(fleet.busy() == 0);
            // The missing packet now completes the request.
            fleet.sendTransferPacket(fleet.balancers[0], flow, last - 1);
            fleet.run(milliseconds(3));
            CHECK(fleet.busy() == 1);
            fleet.run(milliseconds(10));
            CHECK(fleet.caller(flow).answers == 1);
            CHECK(fleet.busy() == 0);
        }
    }
    SECTION(
        "a packet fills the gap before the last one, whose target acknowledges nothing, which guards against a wait "
        "for an acknowledgement")
    {
        fleet.run(milliseconds(700));
        FlowTuple silent = fleet.startTransfer(2, longRequestBytes, true, false);
        fleet.sendPackets(silent, 0, 23);
        fleet.sendPackets(silent, 24, 25);
        REQUIRE(fleet.count(TransitCounter::TransfersHeld) == 1);
        ForwardMessage forward { .replyTo = fleet.balancers[0] };
        forward.packet = { .flow = silent,
            .flags = { .hasAcknowledgement = true, .isFinal = true },
            .sequence = firstSequence + longRequestBytes };
        TransitEffects effects;
        fleet.theAgent().onMessage(fleet.balancers[0], Message { StorePosition(), forward }, fleet.now(), effects);
        bool isDelivered = std::any_of(effects.begin(), effects.end(),
            [](const auto& effect) { return std::holds_alternative<DeliverToTarget>(effect); });
        CHECK_FALSE(isDelivered); // A final packet waits as well.
        fleet.sendPackets(silent, 23, 24);
        fleet.run(milliseconds(10));
        CHECK(fleet.caller(silent).answers == 1);
    }
    SECTION("a request of 25 packets is a transfer")
    {
        FlowTuple small = fleet.startTransfer(2, longRequestBytes);
        fleet.sendPackets(small, 0, 25);
        CHECK(fleet.transfer(small).received.size() == 24);
        fleet.run(seconds(1));
        CHECK(fleet.caller(small).answers == 1);
        CHECK(fleet.busy() == 0);
    }
    SECTION("without a known length a shorter packet waits, and all full ones pass")
    {
        FlowTuple unknown = fleet.startTransfer(2, 5000, false);
        fleet.sendPackets(unknown, 0, 5);
        CHECK(fleet.transfer(unknown).received.size() == 4);
        fleet.run(seconds(1));
        CHECK(fleet.caller(unknown).answers == 1);
    }
    SECTION("with neither length nor a shorter packet all bytes pass and no slot is counted, which guards against a "
            "request that is held forever")
    {
        FlowTuple unknown = fleet.startTransfer(2, 4 * packetBytes, false);
        fleet.run(milliseconds(700));
        fleet.sendPackets(unknown, 0, 3);
        CHECK(fleet.gauge("transfers") == 1);
        fleet.sendPackets(unknown, 3, 4);
        fleet.run(milliseconds(10));
        CHECK(fleet.caller(unknown).answers == 1);
        CHECK(fleet.logLineCount("transfer_answered") == 1);
        CHECK(fleet.gauge("transfers") == 0);
        CHECK(fleet.busy() == 0);
    }
}

TEST_CASE("A transfer that does not come to its end", "[transit][transfer]")
{
    SlottedTarget fleet;
    FlowTuple flow = fleet.startTransfer(1, uploadBytes);
    std::uint32_t last = fleet.transfer(flow).packets() - 1;
    fleet.sendPackets(flow, 0, 20);
    REQUIRE(fleet.gauge("transfers") == 1);
    std::size_t probes = fleet.probes();

    SECTION("the caller resets the flow, which guards against transfers that are counted forever")
    {
        fleet.sendReset(fleet.balancers[0], flow);
        fleet.run(milliseconds(5));
        CHECK(fleet.gauge("transfers") == 0);
        CHECK(fleet.gauge("transfer_bytes") == 0);
        CHECK(fleet.busy() == 0);
    }
    SECTION("the caller resets the flow while its last packet waits for earlier ones")
    {
        fleet.sendPackets(flow, last, last + 1);
        REQUIRE(fleet.count(TransitCounter::TransfersHeld) == 1);
        fleet.sendReset(fleet.balancers[0], flow);
        fleet.run(seconds(1));
        CHECK(fleet.gauge("transfers") == 0);
        CHECK(fleet.count(TransitCounter::TransfersReleased) == 0);
        CHECK(fleet.transfer(flow).received.size() == 20);
    }
    SECTION("the caller falls silent")
    {
        fleet.run(transferIdleLimit + seconds(1) + milliseconds(20));
        CHECK(fleet.gauge("transfers") == 0);
        CHECK(fleet.busy() == 0);
        CHECK(fleet.probes() == probes);

        SECTION("and goes on after all")
        {
            fleet.sendPackets(flow, 20, last);
            CHECK(fleet.gauge("transfers") == 1);
            fleet.sendPackets(flow, last, last + 1);
            fleet.run(milliseconds(10));
            CHECK(fleet.caller(flow).answers == 1);
            CHECK(fleet.gauge("transfers") == 0);
        }
    }
    SECTION("an acknowledged transfer causes no probe, which guards against a target that counts as gone")
    {
        for (std::uint32_t i = 20; i < last; ++i) {
            fleet.sendPackets(flow, i, i + 1);
            fleet.run(milliseconds(35));
        }
        CHECK(fleet.probes() == probes);
        CHECK(fleet.logLineCount("target_gone") == 0);
    }
    SECTION("a target that acknowledges nothing is probed and stays, which guards against a dead target that is not "
            "noticed")
    {
        FlowTuple silent = fleet.startTransfer(2, uploadBytes, true, false);
        fleet.sendPackets(silent, 0, 10);
        fleet.run(milliseconds(400));
        CHECK(fleet.probes() > probes);
        CHECK(fleet.logLineCount("target_gone") == 0);
        CHECK(fleet.gauge("transfers") == 2);
    }
    SECTION("the target ends, and the caller is told, which guards against an upload into nothing")
    {
        fleet.crashTarget(fleet.agentEndpoint.address);
        fleet.sendPackets(flow, 20, 21);
        fleet.run(milliseconds(400));
        CHECK(fleet.caller(flow).resetAt);
        CHECK(fleet.gauge("transfers") == 0);
    }
    SECTION("the agent shuts down only after it, which guards against uploads that are lost at each replacement")
    {
        TransitEffects effects;
        fleet.theAgent().onStop(fleet.now(), effects);
        fleet.applyEffectsFor(fleet.agentEndpoint, effects);
        fleet.run(milliseconds(300));
        CHECK_FALSE(fleet.theAgent().isFinished(fleet.now()));
        fleet.sendPackets(flow, 20, last + 1);
        fleet.run(milliseconds(10));
        CHECK(fleet.caller(flow).answers == 1);
        CHECK(fleet.theAgent().isFinished(fleet.now()));
    }
    SECTION("the agent shuts down although the caller sends nothing more")
    {
        TransitEffects effects;
        fleet.theAgent().onStop(fleet.now(), effects);
        fleet.applyEffectsFor(fleet.agentEndpoint, effects);
        fleet.run(requestDrainTimeout + milliseconds(20));
        CHECK(fleet.theAgent().isFinished(fleet.now()));
    }
    SECTION("the agent restarts, and full packets pass beside a busy target, which guards against transfers that wait "
            "for a slot with each packet")
    {
        fleet.server().serviceTime = milliseconds(300);
        fleet.fillSlots(100);
        fleet.restart(fleet.agentEndpoint);
        fleet.run(milliseconds(150));
        fleet.fillSlots(200);
        bool isLastFirst = GENERATE(false, true); // Then the last packet waits while the agent does not know the flow.
        if (isLastFirst)
            fleet.sendPackets(flow, last, last + 1);
        fleet.sendPackets(flow, 20, last);
        CHECK(fleet.transfer(flow).received.size() == last);
        if (!isLastFirst)
            fleet.sendPackets(flow, last, last + 1);
        fleet.run(seconds(2));
        CHECK(fleet.caller(flow).answers == 1);
        CHECK(fleet.busy() == 0);
        CHECK(fleet.gauge("transfers") == 0);
    }
}

TEST_CASE("An expired request that its caller sends again", "[transit][transfer]")
{
    // Urgent requests that are in time keep all slots busy, so that a less urgent one that is late waits until its
    // timeout of 2 s.
    SlottedTarget fleet(milliseconds(300));
    RouteRecord urgent = routeTo("web", { 0x0a630002, 443 });
    urgent.priority = 0;
    urgent.latencyObjective = milliseconds(3000);
    urgent.timeout = seconds(6);
    fleet.writeRoutes({ routeTo("web"), urgent });
    fleet.run(milliseconds(300));
    std::uint32_t lastFlow = 1000;
    auto keepBusy = [&](Duration time, std::uint32_t perStep) {
        TimePoint until = fleet.now() + time;
        while (fleet.now() < until) {
            std::vector<FlowTuple> flows;
            for (std::uint32_t i = 0; i < perStep; ++i) {
                flows.push_back(flowOf(++lastFlow));
                flows.back().service = urgent.address;
                fleet.sendOpen(fleet.balancers[0], flows.back());
            }
            fleet.run(milliseconds(10));
            for (const FlowTuple& flow : flows)
                fleet.sendRequest(fleet.balancers[0], flow);
            fleet.run(milliseconds(40));
        }
    };
    FlowTuple flow = fleet.startTransfer(1, longRequestBytes);
    FlowTuple single = flowOf(2);
    fleet.open(fleet.balancers[0], single);
    fleet.sendPackets(flow, 0, 24);
    keepBusy(milliseconds(150), 6);
    keepBusy(milliseconds(850), 1);
    fleet.sendPackets(flow, 24, 25);
    fleet.sendRequest(fleet.balancers[0], single);
    keepBusy(milliseconds(1050), 1);
    REQUIRE(fleet.count(TransitCounter::RequestsExpired) == 1); // The time of the transfer counts.
    keepBusy(milliseconds(1100), 1);
    REQUIRE(fleet.count(TransitCounter::RequestsExpired) == 2);
    REQUIRE(fleet.transfer(flow).received.size() == 24);
    std::uint64_t queued = fleet.count(TransitCounter::RequestsQueued);
    std::uint32_t busy = fleet.busy();

    SECTION("is not queued again, which guards against work for callers who have given up, and against an expiry with "
            "each retransmission")
    {
        for (std::uint64_t i = 1; i <= 3; ++i) {
            fleet.sendPackets(flow, 24, 25);
            fleet.sendRequest(fleet.balancers[0], single);
            fleet.run(milliseconds(5));
            CHECK(fleet.count(TransitCounter::RequestsAbandoned) == 2 * i);
        }
        CHECK(fleet.count(TransitCounter::RequestsExpired) == 2);
        CHECK(fleet.count(TransitCounter::RequestsQueued) == queued);
        CHECK(fleet.logLineCount("request_abandoned") == 2);
        CHECK(fleet.busy() <= busy);
        CHECK(fleet.transfer(flow).received.size() == 24);
    }
    SECTION("but a delivered part of it is delivered again, since the target must get all bytes")
    {
        std::size_t before = fleet.server().deliveredPackets;
        fleet.sendPackets(flow, 0, 1);
        CHECK(fleet.server().deliveredPackets == before + 1);
        CHECK(fleet.count(TransitCounter::RequestsAbandoned) == 0);
    }
    SECTION("and another request of the flow is queued, which guards against flows that serve nothing more")
    {
        fleet.sendRequest(fleet.balancers[0], single, 2);
        fleet.run(milliseconds(5));
        CHECK(fleet.count(TransitCounter::RequestsQueued) == queued + 1);
        CHECK(fleet.count(TransitCounter::RequestsAbandoned) == 0);
    }
}

namespace {

/** The measured load at one target: requests of one packet with 47 ms, and uploads over narrow links with 4.2 ms. */
struct MixedLoad : SlottedTarget {
    struct Upload {
        FlowTuple flow;
        std::uint32_t next {}; ///< Packet to send next.
    };

    std::vector<Upload> uploads;
    std::map<FlowTuple, TimePoint> sentAt; ///< Requests of one packet.
    std::size_t opensInProgress {};
    std::uint32_t mostBeyond {}; ///< Maximum of busy beyond the requests in progress.
    std::int64_t mostTransfers {};

    void replay(Duration time, bool hasUploads)
    {
        constexpr std::int64_t stepMs = 5;
        std::vector<FlowTuple> opened;
        std::uint32_t lastFlow = 0;
        for (std::int64_t ms = 0; ms < time.us / 1000; ms += stepMs) {
            for (const FlowTuple& flow : std::exchange(opened, {})) {
                sendRequest(balancers[0], flow);
                sentAt[flow] = now();
            }
            if (ms % 25 == 0) {
                opened.push_back(flowOf(++lastFlow));
                sendOpen(balancers[0], opened.back());
            }
            if (hasUploads && ms % 100 == 0)
                addUpload(10000 + static_cast<std::uint32_t>(ms));
            if (ms % 10 == 0)
                sendUploads();
            run(milliseconds(stepMs));
            compareBusy(opened.size());
        }
        for (int i = 0; i < 200; ++i) {
            sendUploads();
            run(milliseconds(10));
        }
    }

    /** @return Times from the sending of each request of one packet to its start at the target. */
    std::vector<Duration> waits()
    {
        std::vector<Duration> waits;
        for (const auto& [at, flow] : server().started) {
            if (sentAt.contains(flow))
                waits.push_back(at - sentAt[flow]);
        }
        return waits;
    }

private:
    void addUpload(std::uint32_t n)
    {
        FlowTuple flow = flowOf(n);
        sendOpen(balancers[0], flow);
        declareTransfer(flow, { .sequence = firstSequence, .bytes = uploadBytes, .requestSize = uploadBytes });
        uploads.push_back({ flow });
    }

    void sendUploads()
    {
        for (Upload& upload : uploads) {
            const FakeTransfer& sent = transfer(upload.flow);
            bool maySend = caller(upload.flow).openedAt && upload.next < sent.packets()
                && upload.next < sent.received.size() + maxInFlight;
            if (maySend)
                sendTransferPacket(balancers[0], upload.flow, upload.next++);
        }
    }

    void compareBusy(std::size_t opening)
    {
        std::size_t inProgress = opening;
        for (const auto& [flow, at] : sentAt)
            inProgress += !caller(flow).answers;
        for (const Upload& upload : uploads)
            inProgress
                += !upload.next || (upload.next == transfer(upload.flow).packets() && !caller(upload.flow).answers);
        if (busy() > inProgress)
            mostBeyond = std::max(mostBeyond, busy() - static_cast<std::uint32_t>(inProgress));
        mostTransfers = std::max(mostTransfers, gauge("transfers"));
    }
};

Duration meanOf(const std::vector<Duration>& times)
{
    Duration sum
        = std::accumulate(times.begin(), times.end(), Duration {}, [](Duration a, Duration b) { return a + b; });
    return { sum.us / static_cast<std::int64_t>(std::max<std::size_t>(times.size(), 1)) };
}

}

TEST_CASE("Uploads of 80,000 bytes beside requests of one packet at five slots", "[transit][transfer]")
{
    MixedLoad without;
    without.replay(seconds(5), false);
    std::vector<Duration> expected = without.waits();
    MixedLoad with;
    with.replay(seconds(5), true);
    std::vector<Duration> waits = with.waits();
    REQUIRE(with.mostTransfers > SlottedTarget::slots);

    SECTION("requests of one packet wait no longer, which guards against uploads that hold slots while they transfer")
    {
        REQUIRE(waits.size() == expected.size());
        CHECK(meanOf(waits) <= meanOf(expected));
        CHECK(*std::max_element(waits.begin(), waits.end()) <= *std::max_element(expected.begin(), expected.end()));
    }
    SECTION("busy counts requests only, which guards against targets that look full while they are idle")
    {
        CHECK(with.mostBeyond == 0);
        CHECK(with.busy() == 0);
    }
    SECTION("every upload is answered once, and its service time is the target's")
    {
        for (const MixedLoad::Upload& upload : with.uploads)
            CHECK(with.caller(upload.flow).answers == 1);
        std::size_t fast = 0;
        for (Duration time : with.times(TransitDistribution::RequestTime))
            fast += time < milliseconds(6);
        CHECK(fast == with.uploads.size());
        CHECK(with.gauge("transfers") == 0);
    }
}
