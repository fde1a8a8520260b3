/**
 * @file transit_egress_type.h
 * Types of the queue in front of a balancer's link.
 */
#pragma once

#include "transit_type.h"

#include <array>
#include <string_view>

namespace hawthorncroft {

/** Place of a datagram in the order at a full link; a lower rank goes first. */
struct EgressClass {
    std::uint16_t rank {}; ///< Zero for messages between processes and opening packets.

    constexpr auto operator<=>(const EgressClass&) const = default;
};

/** Socket that a datagram is sent through. */
enum class EgressSocket : std::uint8_t {
    Fleet, ///< To other processes of the system.
    Packets, ///< To callers.
};

/** Datagram that waits for the link. */
struct EgressDatagram {
    EgressClass order;
    std::uint64_t flowHash {}; ///< Datagrams with the same hash share one part of the link within their class.
    FlowTuple flow; ///< For logs; empty for messages that belong to no flow.
    EgressSocket socket {};
    Endpoint to;
    std::vector<std::uint8_t> bytes;
};

/** Reason why a datagram is dropped instead of sent. */
enum class EgressDrop : std::uint8_t {
    Age, ///< It waited so long that its sender has retransmitted it.
    Bytes, ///< The queue was full.
    End,
};

/** Drops for one reason. */
struct EgressDrops {
    std::uint64_t datagrams {};
    std::uint64_t bytes {}; ///< On the wire.

    bool operator==(const EgressDrops&) const = default;
};

/** State of the queue; all sizes are bytes on the wire. */
struct EgressState {
    std::int64_t linkBytesPerSecond {}; ///< Zero when datagrams are not held back.
    std::int64_t waitingBytes {};
    std::size_t waitingDatagrams {};
    Duration oldestAge; ///< Time that the oldest datagram has waited.
    std::array<EgressDrops, static_cast<std::size_t>(EgressDrop::End)> dropped; ///< By reason, since the start.

    /** @return Drops for a reason since the start. */
    const EgressDrops& droppedBy(EgressDrop reason) const { return dropped[static_cast<std::size_t>(reason)]; }
};

std::string_view nameOf(EgressDrop reason);

} // namespace hawthorncroft
