#include "transit_egress_base.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

#include <map>

using namespace hawthorncroft;

namespace {

constexpr std::int64_t tenMbit = 1250000; ///< Bytes per second.
constexpr std::size_t fullBytes = 1232; ///< A packet of 1,200 bytes with its header.
constexpr std::int64_t fullWireBytes = 1260;
constexpr std::size_t smallBytes = 132;
constexpr std::uint64_t bulkFlow = 1;

const EgressClass control {};
const EgressClass small { 3 };
const EgressClass full { 4 };

/** A link with its queue, on simulated time. */
struct Link {
    explicit Link(std::int64_t rate)
        : egress(rate)
    {
    }

    /** Offers a datagram. */
    void send(EgressClass order, std::uint64_t flow, std::size_t bytes)
    {
        if (egress.trySend(bytes, now)) {
            record(order, flow, bytes);
            return;
        }
        EgressDatagram datagram { .order = order, .flowHash = flow };
        datagram.bytes.resize(bytes);
        egress.push(std::move(datagram), now);
    }

    /** Releases what may leave now. */
    void release()
    {
        while (auto datagram = egress.pop(now))
            record(datagram->order, datagram->flowHash, datagram->bytes.size());
    }

    /** Advances the time in steps of 1 ms and calls an action in each, before the release. */
    template <typename Action> void run(Duration time, const Action& action)
    {
        for (TimePoint end = now + time; now < end; now = now + milliseconds(1)) {
            action();
            release();
        }
    }

    void record(EgressClass order, std::uint64_t flow, std::size_t bytes)
    {
        sent.emplace_back(order, flow);
        bytesOf[flow] += static_cast<std::int64_t>(bytes);
        wireBytes += static_cast<std::int64_t>(bytes) + datagramHeaderBytes;
    }

    /** @return Drops for a reason since the start. */
    std::uint64_t dropped(EgressDrop reason) { return egress.state(now).droppedBy(reason).datagrams; }

    TransitEgress egress;
    TimePoint now { seconds(100).us };
    std::vector<std::pair<EgressClass, std::uint64_t>> sent;
    std::map<std::uint64_t, std::int64_t> bytesOf; ///< Bytes sent, by flow.
    std::int64_t wireBytes {};
};

}

// Load: bulk at three times a link of 10 Mbit/s, beside an opening packet and a small request every 10 ms. Guards
// against requests that wait behind bulk for seconds.
TEST_CASE("Opening packets and small requests go before bulk on a narrow link", "[transit][egress]")
{
    Link link(tenMbit);
    int step = 0;
    std::size_t offered = 0;
    link.run(seconds(3), [&] {
        for (int i = 0; i < 3; ++i)
            link.send(full, bulkFlow, fullBytes);
        if (++step % 10)
            return;
        ++offered;
        link.send(control, 1000 + offered, 60);
        link.send(small, 2000 + offered, smallBytes);
        link.release();
        // Both leave within one step of 1 ms in which the link carries one full packet.
        link.now = link.now + milliseconds(1);
        link.release();
        CHECK(link.bytesOf.contains(1000 + offered));
        CHECK(link.bytesOf.contains(2000 + offered));
    });
    CHECK(offered > 250);
    CHECK(link.dropped(EgressDrop::Bytes) > 0);
    // The link stays full, and is not exceeded by more than the burst.
    CHECK(link.wireBytes <= 3 * tenMbit + egressBurstBytes);
    CHECK(link.wireBytes >= 3 * tenMbit * 99 / 100);
}

// Load: two bulk flows on 10 Mbit/s, one at 0.8 times and one at 8 times the rate of the link. Guards against a flow
// that gets the share of another one by sending more.
TEST_CASE("Two flows of a class get equal shares of a narrow link", "[transit][egress]")
{
    Link link(tenMbit);
    link.run(seconds(3), [&] {
        link.send(full, 1, 1000 - datagramHeaderBytes);
        for (int i = 0; i < 10; ++i)
            link.send(full, 2, 1000 - datagramHeaderBytes);
    });
    CHECK(link.bytesOf[1] > link.bytesOf[2] * 95 / 100);
    CHECK(link.bytesOf[1] < link.bytesOf[2] * 105 / 100);

    SECTION("also with datagrams of different sizes")
    {
        Link mixed(tenMbit);
        mixed.run(seconds(3), [&] {
            for (int i = 0; i < 12; ++i)
                mixed.send(full, 1, 100);
            mixed.send(full, 2, fullBytes);
        });
        std::int64_t firstWire = mixed.bytesOf[1] + mixed.bytesOf[1] / 100 * datagramHeaderBytes;
        std::int64_t secondWire
            = mixed.bytesOf[2] + mixed.bytesOf[2] / static_cast<std::int64_t>(fullBytes) * datagramHeaderBytes;
        CHECK(firstWire > secondWire * 95 / 100);
        CHECK(firstWire < secondWire * 105 / 100);
    }
}

// Load: 400 full packets at once on 10 Mbit/s, which the link takes 400 ms for. Guards against a queue that grows
// without bound, and against packets that arrive after their retransmission.
TEST_CASE("What waits for a link is bounded by bytes and by age", "[transit][egress]")
{
    Link link(tenMbit);
    for (int i = 0; i < 400; ++i)
        link.send(full, bulkFlow, fullBytes);
    EgressState state = link.egress.state(link.now);
    CHECK(state.linkBytesPerSecond == tenMbit);
    CHECK(state.waitingBytes <= tenMbit / 5);
    CHECK(state.waitingBytes > tenMbit / 5 - 2 * fullWireBytes);
    CHECK(state.droppedBy(EgressDrop::Bytes).datagrams + state.waitingDatagrams + link.sent.size() == 400);
    CHECK(state.droppedBy(EgressDrop::Bytes).bytes == state.droppedBy(EgressDrop::Bytes).datagrams * 1260);
    CHECK(state.droppedBy(EgressDrop::Age).datagrams == 0);

    SECTION("the newest bulk is dropped for a more urgent datagram, however late that comes")
    {
        std::uint64_t before = link.dropped(EgressDrop::Bytes);
        link.send(control, 7, fullBytes);
        CHECK(link.dropped(EgressDrop::Bytes) == before + 1);
        link.now = link.now + milliseconds(2); // The link carries one full datagram in this time.
        link.release();
        CHECK(link.sent.back().second == 7);
    }
    SECTION("a datagram less urgent than all others is dropped itself")
    {
        std::uint64_t before = link.dropped(EgressDrop::Bytes);
        link.send({ 9 }, 7, fullBytes);
        CHECK(link.dropped(EgressDrop::Bytes) == before + 1);
        CHECK(link.egress.takeDrops()[static_cast<std::size_t>(EgressDrop::Bytes)].order == EgressClass { 9 });
    }
    SECTION("what has waited for 200 ms is dropped, also in a class whose turn has not come")
    {
        link.run(milliseconds(190), [&] { link.send(small, 5, fullBytes + 100); });
        CHECK(link.dropped(EgressDrop::Age) == 0);
        link.now = link.now + milliseconds(10);
        link.release();
        CHECK(link.dropped(EgressDrop::Age) > 0);
        auto reports = link.egress.takeDrops();
        CHECK(reports[static_cast<std::size_t>(EgressDrop::Age)].age == milliseconds(200));
        CHECK(reports[static_cast<std::size_t>(EgressDrop::Age)].drops.datagrams == link.dropped(EgressDrop::Age));
        CHECK(link.egress.takeDrops()[static_cast<std::size_t>(EgressDrop::Age)].drops.datagrams == 0);
        CHECK(link.egress.state(link.now).oldestAge < milliseconds(200));
    }
}

// Load: half of a link of 10 Mbit/s, then nothing for an hour, then 100 full packets at once. Guards against datagrams
// that wait on an idle link, and against an idle time that allows a burst beyond 16 KB.
TEST_CASE("A link with capacity lets datagrams pass, and a long idle time allows one burst", "[transit][egress]")
{
    Link link(tenMbit);
    for (int i = 0; i < 1000; ++i) {
        CHECK(link.egress.trySend(fullBytes, link.now));
        link.now = link.now + milliseconds(2);
    }
    CHECK(link.egress.empty());
    link.now = link.now + seconds(3600);
    for (int i = 0; i < 100; ++i)
        link.send(full, bulkFlow, fullBytes);
    CHECK(link.wireBytes <= egressBurstBytes);
    CHECK(link.wireBytes > egressBurstBytes - fullWireBytes);
    CHECK_FALSE(link.egress.trySend(10, link.now)); // Others wait before it.

    SECTION("the queue tells when several datagrams may leave")
    {
        auto releaseAt = link.egress.releaseAt();
        REQUIRE(releaseAt);
        std::int64_t before = link.wireBytes;
        link.now = *releaseAt;
        link.release();
        CHECK(link.wireBytes - before > egressBurstBytes / 2 - fullWireBytes);
        CHECK(link.wireBytes - before <= egressBurstBytes / 2 + fullWireBytes);
    }
}

// Load: any, without a link rate, as at an agent. Guards against agents that hold datagrams back.
TEST_CASE("Without a link rate nothing waits", "[transit][egress]")
{
    TransitEgress egress(0);
    for (int i = 0; i < 100000; ++i)
        REQUIRE(egress.trySend(fullBytes, TimePoint {}));
    CHECK(egress.empty());
    CHECK_FALSE(egress.releaseAt());
    CHECK(egress.state(TimePoint {}).linkBytesPerSecond == 0);
}

// Load: a datagram of 60,000 bytes, larger than the burst, then small ones. Guards against a datagram that never
// leaves, and against one that gets capacity for nothing.
TEST_CASE("A datagram larger than the burst leaves and is paid for afterwards", "[transit][egress]")
{
    Link link(tenMbit);
    link.send(small, 1, smallBytes);
    link.send(full, 2, 60000);
    CHECK(link.bytesOf[2] == 0);
    link.run(milliseconds(5), [] {});
    CHECK(link.bytesOf[2] == 60000);
    link.send(small, 3, smallBytes);
    link.run(milliseconds(30), [] {});
    CHECK(link.bytesOf[3] == 0);
    link.run(milliseconds(20), [] {});
    CHECK(link.bytesOf[3] == smallBytes);

    SECTION("one that is larger than the whole queue is dropped")
    {
        link.send(small, 5, smallBytes);
        link.send(full, 4, tenMbit);
        CHECK(link.dropped(EgressDrop::Bytes) == 1);
        CHECK(link.egress.empty());
        CHECK(link.bytesOf[5] == smallBytes);
    }
}

// Load: 50 full packets at once on 10 Mbit/s. Guards against a clock that stands still or jumps and then grants
// capacity, blocks the link or breaks the bounds.
TEST_CASE("The queue copes with a clock that stands still or jumps", "[transit][egress]")
{
    Link link(tenMbit);
    for (int i = 0; i < 50; ++i)
        link.send(full, bulkFlow, fullBytes);
    std::int64_t burst = link.wireBytes;

    SECTION("while it stands still nothing leaves")
    {
        for (int i = 0; i < 1000; ++i)
            link.release();
        CHECK(link.wireBytes == burst);
    }
    SECTION("after a jump back the link goes on at its rate")
    {
        link.now = link.now + seconds(-50);
        link.release();
        CHECK(link.wireBytes == burst);
        link.run(milliseconds(100), [] {});
        CHECK(link.egress.empty());
        CHECK(link.dropped(EgressDrop::Age) == 0);
    }
    SECTION("after a jump forward what waits is too old")
    {
        link.now = link.now + seconds(1000000000);
        link.release();
        CHECK(link.egress.empty());
        CHECK(link.wireBytes == burst);
        CHECK(link.dropped(EgressDrop::Age) > 0);
        CHECK(link.egress.trySend(fullBytes, link.now));
    }
}

// Guards against a message that takes the place of a more urgent one, or of which a caller waits behind bulk.
TEST_CASE(
    "Messages between processes and opening packets go first, then packets by priority and size", "[transit][egress]")
{
    auto forward = [](PacketFlags flags, std::uint16_t dataSize) {
        ForwardMessage message;
        message.packet = { .flags = flags, .dataSize = dataSize };
        return MessageBody(message);
    };
    PacketFlags opening { .isOpening = true };
    PacketFlags data { .hasAcknowledgement = true };
    CHECK(egressClassOf(StampMessage {}, 0) == EgressClass {});
    CHECK(egressClassOf(LocateMessage {}, 0) == EgressClass {});
    CHECK(egressClassOf(forward(opening, 0), 255) == EgressClass {});
    CHECK(EgressClass {} < egressClassOf(forward(data, 0), 0));
    CHECK(egressClassOf(forward(data, 0), 0) == egressClassOf(forward(data, 300), 0));
    CHECK(egressClassOf(forward(data, 300), 0) < egressClassOf(forward(data, 301), 0));
    CHECK(egressClassOf(forward(data, 1200), 0) < egressClassOf(forward(data, 0), 1));
    CHECK(egressClassOf(forward(data, 1200), 254) < egressClassOf(forward(data, 0), 255));
    CHECK(forwardedFlowOf(StampMessage {}) == nullptr);
    ForwardMessage query;
    query.isLocating = true;
    query.packet = { .flags = data, .dataSize = 1200 };
    CHECK(egressClassOf(query, 1) == egressClassOf(forward(data, 0), 1));
}
