/**
 * @file transit_transfer_fixture.h
 * One target with few slots, for tests of requests of several packets.
 */
#pragma once

#include "transit_fixture.h"

#include "table/transit_limits.h"

#include <catch2/catch.hpp>

namespace hawthorncroft::tests {

inline constexpr std::uint32_t packetBytes = FakeTransfer::packetBytes;
inline constexpr std::uint32_t uploadBytes = 80000;
inline constexpr std::uint32_t longRequestBytes = 30000; ///< 25 packets, too many to wait as a whole.
static_assert(longRequestBytes > maxWholeRequestSize);
inline constexpr std::uint32_t firstSequence = 6; ///< After the opening packet of TransitSim.
inline constexpr std::size_t maxInFlight = 16; ///< Packets that a caller sends before it has an acknowledgement.

/** One target with few slots behind one agent. */
struct SlottedTarget : Fleet {
    static constexpr std::uint32_t slots = 5;
    Endpoint agentEndpoint;

    explicit SlottedTarget(Duration serviceTime = milliseconds(47))
        : Fleet(1)
        , agentEndpoint(agents[0])
    {
        TargetRecord record = targetRecord(agentEndpoint.address, "few");
        record.slots = slots;
        restartTarget(agentEndpoint.address, record.id);
        writeTarget(record);
        run(milliseconds(300));
        server().slots = slots;
        server().serviceTime = serviceTime;
    }

    FakeTransitTarget& server() { return target(agentEndpoint.address); }
    TransitAgent& theAgent() { return agent(agentEndpoint); }
    std::uint32_t busy() { return theAgent().load().busy; }

    std::int64_t gauge(std::string_view name)
    {
        for (const auto& gauge : theAgent().gauges(now())) {
            if (gauge.name == name)
                return gauge.value;
        }
        return -1;
    }

    /** Opens a flow and declares a transfer on it. */
    FlowTuple startTransfer(std::uint32_t n, std::uint32_t bytes, bool hasLength = true, bool isAcknowledged = true)
    {
        FlowTuple flow = flowOf(n);
        REQUIRE(open(balancers[0], flow));
        FakeTransfer transfer { .sequence = firstSequence, .bytes = bytes, .isAcknowledged = isAcknowledged };
        if (hasLength)
            transfer.requestSize = bytes;
        declareTransfer(flow, transfer);
        return flow;
    }

    /** Sends packets from `first` up to but not including `end`, and runs until the target has them. */
    void sendPackets(const FlowTuple& flow, std::uint32_t first, std::uint32_t end)
    {
        for (std::uint32_t i = first; i < end; ++i)
            sendTransferPacket(balancers[0], flow, i);
        run(milliseconds(5));
    }

    /** Fills all slots, and the one request beyond them, with requests of one packet. */
    void fillSlots(std::uint32_t firstFlow)
    {
        for (std::uint32_t i = 0; i < slots + slotOversubscription; ++i) {
            open(balancers[0], flowOf(firstFlow + i));
            sendRequest(balancers[0], flowOf(firstFlow + i));
        }
        run(milliseconds(5));
    }
};

} // namespace hawthorncroft::tests
