#include "packet_util.h"
#include "transit_codec_func.h"
#include "transit_sim.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hawthorncroft;
using namespace hawthorncroft::tests;

TEST_CASE("Messages between processes keep their content when encoded and decoded", "[transit][codec]")
{
    TimePoint now { seconds(9).us };
    auto packet = *format.decode(openingPacket(), false);
    auto roundTrip = [&](MessageBody body) {
        auto decoded = decodeMessage(encodeMessage({ StorePosition(7), std::move(body) }, now), format, now);
        REQUIRE(decoded);
        CHECK(decoded->through == StorePosition(7));
        return decoded->body;
    };

    SECTION("a forwarded packet")
    {
        auto body = std::get<ForwardMessage>(
            roundTrip(ForwardMessage { { 1, 2 }, "web", StorePosition(5), true, 1, { { 3, 4 } }, packet }));
        CHECK(body.packet.bytes == packet.bytes);
        CHECK(body.packet.flow == packet.flow);
        CHECK(body.replyTo == Endpoint { 1, 2 });
        CHECK(body.isLocating);
        CHECK(body.tried == std::vector<Endpoint> { { 3, 4 } });
    }
    SECTION("replies, locate messages and inventory messages")
    {
        CHECK(std::get<HeldMessage>(roundTrip(HeldMessage { packet.flow, 9, true, { 1, 2, 3 } })).load
            == LoadReport { 1, 2, 3 });
        CHECK(std::get<DeclinedMessage>(
                  roundTrip(DeclinedMessage { DeclineReason::Cold, { .replyTo = { 1, 2 }, .packet = packet }, {} }))
                  .reason
            == DeclineReason::Cold);
        CHECK(std::get<NotHeldMessage>(roundTrip(NotHeldMessage { packet })).packet.flow == packet.flow);
        InventoryUpdateMessage inventoryUpdate { { packet.flow }, 9, 8, 7, 4, { 1, 3 }, true, true, true, true, true };
        CHECK(std::get<InventoryUpdateMessage>(roundTrip(inventoryUpdate)) == inventoryUpdate);
        AbsenceReportMessage absenceReport { { packet.flow }, 77, { { 1, 2 } }, { { 3, 4 } } };
        CHECK(std::get<AbsenceReportMessage>(roundTrip(absenceReport)) == absenceReport);
        CHECK(std::get<InventoryAckMessage>(roundTrip(InventoryAckMessage { 3, 4 })) == InventoryAckMessage { 3, 4 });
        CHECK(std::holds_alternative<InventoryResyncMessage>(roundTrip(InventoryResyncMessage {})));
        CHECK(
            std::get<LocateMessage>(roundTrip(LocateMessage { { 1, 2 }, { packet, packet }, {} })).packets.size() == 2);
        CHECK(std::get<NotHeldFlowsMessage>(roundTrip(NotHeldFlowsMessage { { packet.flow } })).flows.size() == 1);
        CHECK(std::get<StampMessage>(
                  roundTrip(StampMessage { ProcessRole::Agent, 5, milliseconds(3), true, true, {}, { { 1, 2 } } }))
                  .balancers.size()
            == 1);
        StampMessage stamp { .role = ProcessRole::Balancer, .entry = EntryReport { 125000000000, 90, 7, 8, true } };
        CHECK(std::get<StampMessage>(roundTrip(stamp)).entry == stamp.entry);
        // Guards against a balancer of an earlier version that counts as one without capacity.
        CHECK_FALSE(std::get<StampMessage>(roundTrip(StampMessage { .role = ProcessRole::Balancer })).entry);
        stamp.takesRelayed = true;
        CHECK(std::get<StampMessage>(roundTrip(stamp)).takesRelayed);
        stamp.paths = { { 1, 4294967295, 3, 4 }, { 5, 6, 7, 8 } };
        CHECK(std::get<StampMessage>(roundTrip(stamp)).paths == stamp.paths);
        // Guards against a message that keeps its receiver busy with reports.
        stamp.paths.resize(1000);
        CHECK(std::get<StampMessage>(roundTrip(stamp)).paths.size() == maxPathReports);
        CHECK(std::get<LeavingMessage>(roundTrip(LeavingMessage { ProcessRole::Agent })).role == ProcessRole::Agent);
    }
    SECTION("a delta, whose cold time is reduced by the time since the sender received the record")
    {
        TargetRecord record = targetRecord(11, "one");
        record.coldLeft = seconds(2);
        ViewItem target { .key = "target/one",
            .position = StorePosition(6),
            .isRemoved = true,
            .value = record,
            .retainedUntil = now + milliseconds(300),
            .receivedAt = now - milliseconds(500) };
        ViewItem route { .key = "route/x", .position = StorePosition(7), .value = routeTo("web") };
        ViewItem service {
            .key = "service/web", .position = StorePosition(7), .value = ServiceRecord { "web", 2000, seconds(2), 4.5 }
        };
        ViewItem evacuation { .key = "evacuation/a", .position = StorePosition(7), .value = EvacuationRecord { "a" } };
        DeltaMessage message { milliseconds(4),
            { StorePosition(1), StorePosition(7), true, { 42 }, { target, route, service, evacuation }, 77 } };
        message.delta.configuration = { StorePosition(9), 4 };
        auto body = std::get<DeltaMessage>(roundTrip(message));
        REQUIRE(body.delta.items.size() == 4);
        CHECK(body.delta.keys == std::vector<std::uint64_t> { 42 });
        CHECK(body.delta.digest == 77);
        CHECK(body.delta.configuration == ConfigurationStamp { StorePosition(9), 4 });
        CHECK(std::get<TargetRecord>(*body.delta.items[0].value).coldLeft == milliseconds(1500));
        CHECK(body.delta.items[0].retainedUntil == now + milliseconds(300));
        CHECK(body.delta.items[1].value == route.value);
        CHECK(body.delta.items[2].value == service.value);
        CHECK(body.delta.items[3].value == evacuation.value);
    }
    SECTION("eras of the store, and the configuration of a delta from a process of an earlier version")
    {
        ViewItem kept { .key = "evacuation/a",
            .position = StorePosition(6, 3),
            .isRemoved = true,
            .value = EvacuationRecord { "a" },
            .retainedUntil = now + seconds(4),
            .isMissing = true,
            .carriedFrom = Revision(12) };
        DeltaMessage delta { milliseconds(4), { StorePosition(9, 2), StorePosition(7, 3), true, {}, { kept } } };
        auto decode = [&](MessageBody body) {
            return decodeMessage(encodeMessage({ StorePosition(7, 3), std::move(body) }, now), format, now);
        };
        delta.delta.configuration = { StorePosition(8, 2), 4 };
        auto decoded = decode(delta);
        REQUIRE(decoded);
        CHECK(decoded->through == StorePosition(7, 3));
        const ViewDelta& received = std::get<DeltaMessage>(decoded->body).delta;
        CHECK(received.since == delta.delta.since);
        CHECK(received.through == delta.delta.through);
        CHECK(received.configuration == delta.delta.configuration);
        REQUIRE(received.items.size() == 1);
        CHECK(received.items[0].position == kept.position);
        CHECK(received.items[0].isMissing);
        CHECK(received.items[0].carriedFrom == kept.carriedFrom);
        CHECK(received.items[0].value == kept.value);
        CHECK(received.items[0].retainedUntil == kept.retainedUntil);

        delta.delta.configuration = {};
        CHECK(std::get<DeltaMessage>(decode(delta)->body).delta.configuration
            == ConfigurationStamp { StorePosition(7, 3), 0 });
        ForwardMessage forward { { 1, 2 }, "web", StorePosition(5, 2), true, 1, { { 3, 4 } }, packet };
        CHECK(std::get<ForwardMessage>(decode(forward)->body).routePosition == forward.routePosition);
        StampMessage stamp { .keptConfigurationVersion = 12 };
        CHECK(std::get<StampMessage>(decode(stamp)->body).keptConfigurationVersion == 12);
    }
    SECTION("a report with rates that no process can have, which guards against a negative load")
    {
        EntryReport report { std::numeric_limits<std::int64_t>::max(), 4294967295, -1, 0, false };
        auto decoded = std::get<StampMessage>(roundTrip(StampMessage { .entry = report })).entry;
        REQUIRE(decoded);
        CHECK(decoded->linkBytesPerSecond == report.linkBytesPerSecond);
        CHECK(decoded->processorMillis == report.processorMillis);
        CHECK(decoded->carriedBytesPerSecond == 0);
    }
    SECTION("receiver and sender of a relayed message, and none of one that is sent directly")
    {
        Message message { StorePosition(7), ForwardMessage { .replyTo = { 1, 2 }, .packet = packet }, { 3, 4 },
            { 5, 6 } };
        auto decoded = decodeMessage(encodeMessage(message, now), format, now);
        REQUIRE(decoded);
        CHECK(decoded->relayTo == Endpoint { 3, 4 });
        CHECK(decoded->origin == Endpoint { 5, 6 });
        message.relayTo = {};
        decoded = decodeMessage(encodeMessage(message, now), format, now);
        REQUIRE(decoded);
        CHECK_FALSE(decoded->relayTo);
        CHECK_FALSE(decoded->origin);
    }
    SECTION("malformed messages are rejected")
    {
        REQUIRE(rc::check("arbitrary bytes do not crash the decoder",
            [&](std::vector<std::uint8_t> bytes) { decodeMessage(bytes, format, now); }));
        REQUIRE(rc::check("messages with one changed byte do not crash the decoder", [&] {
            auto bytes = encodeMessage({ StorePosition(7), HeldMessage { packet.flow, 9, true, {} } }, now);
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^= *rc::gen::inRange<std::uint8_t>(1, 255);
            decodeMessage(bytes, format, now);
        }));
    }
}

TEST_CASE("Long messages are split into fragments and joined", "[transit][codec]")
{
    FragmentJoiner sender;
    FragmentJoiner receiver;
    TimePoint now { seconds(9).us };
    std::vector<std::uint8_t> message(5000);
    for (std::size_t i = 0; i < message.size(); ++i)
        message[i] = static_cast<std::uint8_t>(i * 7);
    auto datagrams = sender.split(message);
    REQUIRE(datagrams.size() == 4);

    SECTION("fragments may arrive in any order and more than once")
    {
        for (std::size_t i : { 3, 1, 1, 0 })
            CHECK_FALSE(receiver.join({ 1, 1 }, datagrams[i], now));
        CHECK(receiver.join({ 1, 1 }, datagrams[2], now) == message);
        CHECK(receiver.partialCount() == 0);
    }
    SECTION("fragments of two senders are not mixed")
    {
        for (std::size_t i = 0; i < 3; ++i)
            receiver.join({ 1, 1 }, datagrams[i], now);
        CHECK_FALSE(receiver.join({ 2, 1 }, datagrams[3], now));
    }
    SECTION("incomplete messages are bounded in number and age")
    {
        for (std::uint32_t i = 0; i < 10 * maxPartialMessages; ++i)
            receiver.join({ i, 1 }, datagrams[0], now);
        CHECK(receiver.partialCount() <= maxPartialMessages + 1);
        receiver.join({ 1, 1 }, datagrams[0], now + seconds(2));
        CHECK(receiver.partialCount() == 1);
    }
    SECTION("fragments with malformed headers are rejected")
    {
        CHECK_FALSE(receiver.join({ 1, 1 }, bytesOf({ 1, 2, 3 }), now));
        CHECK_FALSE(receiver.join({ 1, 1 }, bytesOf({ 1, 0, 0, 0, 5, 0, 2, 0, 9 }), now));
        CHECK_FALSE(receiver.join({ 1, 1 }, bytesOf({ 1, 0, 0, 0, 0, 0, 0, 0, 9 }), now));
    }
}
