#include "transit_sim.h"
#include "transit_transfer_base.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

namespace {

constexpr std::uint32_t packetBytes = FakeTransfer::packetBytes;
constexpr std::uint32_t uploadBytes = 80000;
constexpr std::size_t maxInFlight = 16; ///< Packets that a caller sends before it has an acknowledgement.

/** @return A packet with data. @param requestSize Bytes of the request that starts in it; none when its head does not
 * tell. */
TransitPacket dataPacket(std::uint32_t sequence, std::uint16_t size, std::optional<std::uint64_t> requestSize = {})
{
    return { .flow = flowOf(1),
        .flags = { .hasAcknowledgement = true },
        .sequence = sequence,
        .dataSize = size,
        .isFull = size == packetBytes,
        .requestSize = requestSize };
}

/** @return Packet of a request with a known length. */
TransitPacket segment(std::uint32_t first, std::uint32_t bytes, std::uint32_t index)
{
    std::uint32_t offset = index * packetBytes;
    auto size = static_cast<std::uint16_t>(std::min(packetBytes, bytes - offset));
    return dataPacket(first + offset, size, index ? std::nullopt : std::optional<std::uint64_t>(bytes));
}

std::uint32_t segmentsOf(std::uint32_t bytes) { return (bytes + packetBytes - 1) / packetBytes; }

/** @return Part of the packet, which is then recorded as delivered. */
TransferRole deliver(RequestTransfer& transfer, const TransitPacket& packet)
{
    TransferRole role = transfer.roleOf(packet);
    transfer.recordDelivery(packet);
    return role;
}

}

TEST_CASE("The delivered bytes of a request tell which packet completes it", "[transit][transfer]")
{
    RequestTransfer transfer;
    constexpr std::uint32_t opening = 0xfffff000; // The numbers wrap around within the request.
    constexpr std::uint32_t first = opening + 1;
    constexpr std::uint32_t last = 66;
    transfer.recordOpening(opening);
    REQUIRE(segmentsOf(uploadBytes) == last + 1);

    SECTION("in order, only the last one does, which guards against uploads that occupy a slot from their first packet")
    {
        for (std::uint32_t i = 0; i < last; ++i) {
            CHECK(deliver(transfer, segment(first, uploadBytes, i)) == TransferRole::Part);
            CHECK(transfer.deliveredBytes() == std::uint64_t { i + 1 } * packetBytes);
        }
        CHECK(deliver(transfer, segment(first, uploadBytes, last)) == TransferRole::Completing);
        CHECK_FALSE(transfer.isInProgress());

        SECTION("its packets are repeats afterwards, which guards against a second slot for one request")
        {
            for (std::uint32_t i : { 0U, 30U, last })
                CHECK(deliver(transfer, segment(first, uploadBytes, i)) == TransferRole::Repeat);
        }
        SECTION("and the next request of the flow is another one")
        {
            CHECK(deliver(transfer, segment(first + uploadBytes, 500, 0)) == TransferRole::Completing);
            CHECK(deliver(transfer, segment(first + uploadBytes + 500, 1500, 0)) == TransferRole::Part);
            CHECK(deliver(transfer, segment(first + uploadBytes + 500, 1500, 1)) == TransferRole::Completing);
        }
    }
    SECTION("with any order, loss and repetition, exactly one packet completes, and the target then has all bytes")
    {
        REQUIRE(rc::check("one completing packet", [&](const std::vector<std::uint8_t>& choices) {
            RequestTransfer of;
            auto start = *rc::gen::arbitrary<std::uint32_t>();
            auto bytes = *rc::gen::inRange<std::uint32_t>(packetBytes + 1, uploadBytes);
            std::uint32_t count = segmentsOf(bytes);
            of.recordOpening(start - 1);
            std::set<std::uint32_t> delivered;
            std::set<std::uint32_t> early;
            std::size_t completions = 0;
            auto send = [&](std::uint32_t index) {
                TransitPacket packet = segment(start, bytes, index);
                TransferRole role = of.roleOf(packet);
                if (role == TransferRole::Early) {
                    early.insert(index);
                    return;
                }
                bool wasKnown = delivered.contains(index);
                RC_ASSERT(wasKnown == (role == TransferRole::Repeat));
                of.recordDelivery(packet);
                delivered.insert(index);
                if (role == TransferRole::Completing) {
                    ++completions;
                    RC_ASSERT(delivered.size() == count);
                }
            };
            auto choice = choices.begin();
            while (delivered.size() < count) {
                std::uint32_t lowest = 0;
                while (delivered.contains(lowest))
                    ++lowest;
                std::uint32_t inFlight = std::min<std::uint32_t>(maxInFlight, count - lowest);
                send(lowest + (choice == choices.end() ? 0 : *choice++ % inFlight));
                for (std::uint32_t index : std::exchange(early, {}))
                    send(index);
            }
            RC_ASSERT(completions == 1U);
        }));
    }
    SECTION("a packet before the head belongs to the same request, which guards against two requests out of one")
    {
        CHECK(deliver(transfer, segment(first, 3000, 1)) == TransferRole::Part);
        CHECK(transfer.roleOf(segment(first, 3000, 2)) == TransferRole::Early);
        CHECK(deliver(transfer, segment(first, 3000, 0)) == TransferRole::Part);
        CHECK(deliver(transfer, segment(first, 3000, 2)) == TransferRole::Completing);
    }
    SECTION("an acknowledgement of the target closes gaps, which guards against waiting for bytes that it has")
    {
        deliver(transfer, segment(first, 4800, 0));
        deliver(transfer, segment(first, 4800, 2));
        REQUIRE(transfer.roleOf(segment(first, 4800, 3)) == TransferRole::Early);
        transfer.recordAcknowledgement(first + 3 * packetBytes);
        CHECK(transfer.roleOf(segment(first, 4800, 3)) == TransferRole::Completing);
    }
    SECTION("an answer ends it, which guards against a slot for the rest of an upload that the target refused")
    {
        deliver(transfer, segment(first, uploadBytes, 0));
        transfer.finish();
        CHECK_FALSE(transfer.isInProgress());
        CHECK(transfer.roleOf(segment(first, uploadBytes, last)) == TransferRole::Repeat);
        CHECK(transfer.roleOf(segment(first + uploadBytes, 300, 0)) == TransferRole::Completing);
    }
    SECTION("many small gaps need a bounded memory and do not prevent the end")
    {
        constexpr std::uint32_t bytes = 40000;
        deliver(transfer, dataPacket(first, 10, bytes));
        for (std::uint32_t at = 20; at < bytes - 10; at += 20)
            CHECK(deliver(transfer, dataPacket(first + at, 10)) == TransferRole::Part);
        CHECK(transfer.roleOf(dataPacket(first + bytes - 10, 10)) == TransferRole::Early);
        transfer.recordAcknowledgement(first + bytes - 20);
        CHECK(transfer.roleOf(dataPacket(first + bytes - 20, 20)) == TransferRole::Completing);
    }
}

TEST_CASE("A request whose length is wrong or unknown", "[transit][transfer]")
{
    RequestTransfer transfer;
    constexpr std::uint32_t first = 1001;
    transfer.recordOpening(first - 1);

    SECTION("too short: the packet with the last announced byte completes it, and what follows is another request")
    {
        CHECK(deliver(transfer, dataPacket(first, packetBytes, 2000)) == TransferRole::Part);
        CHECK(deliver(transfer, dataPacket(first + 1200, packetBytes)) == TransferRole::Completing);
        CHECK(deliver(transfer, dataPacket(first + 2400, packetBytes)) == TransferRole::Part);
        CHECK(deliver(transfer, dataPacket(first + 3600, 10)) == TransferRole::Completing);
    }
    SECTION(
        "too long, or beyond 2^63: all packets are parts, and no packet waits for bytes that the caller never sends")
    {
        for (std::uint64_t size : { std::uint64_t { 100000 }, (std::uint64_t { 1 } << 63) + 100, ~std::uint64_t {} }) {
            RequestTransfer of;
            of.recordOpening(first - 1);
            CHECK(deliver(of, dataPacket(first, packetBytes, size)) == TransferRole::Part);
            CHECK(deliver(of, dataPacket(first + 1200, packetBytes)) == TransferRole::Part);
            CHECK(deliver(of, dataPacket(first + 2400, 10)) == TransferRole::Part);
            CHECK(of.deliveredBytes() == 2410);
        }
    }
    SECTION("none: full packets are parts and a shorter one completes it, which guards against a slot for each packet")
    {
        CHECK(deliver(transfer, dataPacket(first, packetBytes)) == TransferRole::Part);
        CHECK(deliver(transfer, dataPacket(first + 1200, packetBytes)) == TransferRole::Part);
        CHECK(transfer.roleOf(dataPacket(first + 3600, 10)) == TransferRole::Early);
        CHECK(deliver(transfer, dataPacket(first + 2400, packetBytes)) == TransferRole::Part);
        CHECK(deliver(transfer, dataPacket(first + 3600, 10)) == TransferRole::Completing);
    }
    SECTION("none, and the last packet is full: a final flag tells the end")
    {
        CHECK(deliver(transfer, dataPacket(first, packetBytes)) == TransferRole::Part);
        TransitPacket final = dataPacket(first + 1200, packetBytes);
        final.flags.isFinal = true;
        CHECK(deliver(transfer, final) == TransferRole::Completing);
    }
    SECTION("a head split over two packets has no known length")
    {
        TransitPacket head = dataPacket(first, packetBytes);
        head.requestId = "r1";
        CHECK(deliver(transfer, head) == TransferRole::Part);
        CHECK(deliver(transfer, dataPacket(first + 1200, packetBytes)) == TransferRole::Part);
        CHECK(deliver(transfer, dataPacket(first + 2400, 600)) == TransferRole::Completing);
    }
    SECTION("text in a body that looks like a head changes no length")
    {
        CHECK(deliver(transfer, dataPacket(first, packetBytes, 3000)) == TransferRole::Part);
        CHECK(deliver(transfer, dataPacket(first + 1200, packetBytes, 50)) == TransferRole::Part);
        CHECK(deliver(transfer, dataPacket(first + 2400, 600, 50)) == TransferRole::Completing);
    }
    SECTION("learned in the middle: a shorter packet ends it whatever is missing, since the target may have the rest")
    {
        RequestTransfer learned;
        CHECK(deliver(learned, dataPacket(0x80000010, packetBytes)) == TransferRole::Part);
        CHECK(deliver(learned, dataPacket(0x7ffffff0, packetBytes)) == TransferRole::Part);
        CHECK(learned.deliveredBytes() == packetBytes + 32);
        CHECK(deliver(learned, dataPacket(0x80001000, 100)) == TransferRole::Completing);
        CHECK_FALSE(learned.isInProgress());
    }
}

TEST_CASE("Requests of one packet are requests, whatever their sequence numbers", "[transit][transfer]")
{
    RequestTransfer transfer;
    transfer.recordOpening(5);
    for (std::uint32_t sequence : { 1U, 2U, 2U, 90U, 1U, 190U }) {
        INFO("sequence " << sequence);
        CHECK(deliver(transfer, dataPacket(sequence, 100, 100)) == TransferRole::Completing);
        CHECK_FALSE(transfer.isInProgress());
    }
    // A full packet whose head tells that nothing follows.
    CHECK(deliver(transfer, dataPacket(290, packetBytes, packetBytes)) == TransferRole::Completing);
    // Far ahead of what callers have in flight, so that the expected start is outdated.
    CHECK(transfer.roleOf(dataPacket(5000000, 100)) == TransferRole::Completing);
    // Only the tail of a small request has arrived.
    CHECK(transfer.roleOf(dataPacket(290 + packetBytes + packetBytes, 100)) == TransferRole::Early);
}
