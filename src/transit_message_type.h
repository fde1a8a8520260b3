/**
 * @file transit_message_type.h
 * Messages between the processes that carry transparent flows. A process is known by the endpoint that it sends from.
 */
#pragma once

#include "transit_view_type.h"

#include <variant>
#include <vector>

namespace hawthorncroft {

/** A caller's packet on its way to an agent. From a balancer, or from an agent that knows the flow's holder. */
struct ForwardMessage {
    Endpoint replyTo; ///< Balancer that the caller's packet reached.
    std::string service; ///< Opening packets: service that the balancer chose.
    Revision routeRevision; ///< Opening packets: revision of the route by which it was chosen.
    bool isLocating {}; ///< The balancer does not know the holder and asks several agents.
    std::uint8_t hops {}; ///< Agents that passed the packet on.
    std::vector<Endpoint> tried; ///< Opening packets: agents that did not take it.
    TransitPacket packet;
};

/** The sender's target holds the flow. Sent to the balancer that forwarded the packet; without a flow a load report. */
struct HeldMessage {
    FlowTuple flow;
    std::uint32_t targetSequence {}; ///< First sequence number of the target; zero when it was not seen.
    bool isOpening {}; ///< Answers an opening packet; the caller has not chosen this target yet.
    LoadReport load;
};

/**
 * Asks every agent for flows that their locators do not know. The packets go with the question, so that a holder can
 * pass them on at once; the answer of the others is one message for all flows. In a large fleet one agent passes the
 * question on: the links of entry VMs are narrow, those of the VMs beside targets are not.
 */
struct LocateMessage {
    Endpoint replyTo;
    std::vector<TransitPacket> packets; ///< First packet of each flow.
    std::vector<Endpoint> relayTo; ///< Agents that the receiver asks on behalf of the balancer; they answer to it.
};

/** The sender's target did not take an opening packet, which was not run. */
struct DeclinedMessage {
    DeclineReason reason {};
    ForwardMessage forward; ///< What was declined.
    LoadReport load;
};

/** The sender's target does not hold the flow of this packet. */
struct NotHeldMessage {
    TransitPacket packet; ///< Comes back, so that the balancer can find the holder.
};

/** The sender's target does not hold these flows; answers a LocateMessage. */
struct NotHeldFlowsMessage {
    std::vector<FlowTuple> flows;
};

/**
 * Flows that the sender's target holds, sent to the agents that are asked for them; see transit_inventory_base.h. The
 * first message of a stream begins a list of all flows, further ones add to it.
 */
struct InventoryUpdateMessage {
    std::vector<FlowTuple> flows;
    std::uint64_t incarnation {}; ///< Random number of the sending process.
    std::uint32_t stream {}; ///< Counts the streams of the process.
    std::uint32_t sequence {}; ///< Number of the message in its stream, from one.
    std::uint32_t shardCount {}; ///< Shards that the sender divides flows into.
    std::vector<std::uint32_t> shards; ///< Those that the sender tells the receiver about.
    bool isHeartbeat {}; ///< Repeats the number of the last message that had flows.
    bool wantsAck {}; ///< The receiver has not said yet that it has everything up to this number.
    bool isComplete {}; ///< With this message the receiver knows all flows of the sender's target in these shards.
    bool isFinal {}; ///< The sender ends; its target gets no new flow until another process starts there.
    bool isRegistered {}; ///< The sender's target is registered; another one may go at any time without a word.

    bool operator==(const InventoryUpdateMessage&) const = default;
};

/** The sender has all notes of the receiver's stream up to a number. */
struct InventoryAckMessage {
    std::uint32_t stream {};
    std::uint32_t sequence {};

    bool operator==(const InventoryAckMessage&) const = default;
};

/** The sender lacks notes of the receiver, which is to tell all flows again. */
struct InventoryResyncMessage { };

/**
 * Word of a locator on flows that it has no note of: no agent that it knows holds them but those named here. Answers a
 * ForwardMessage that locates, beside the answer for the locator's own target.
 */
struct AbsenceReportMessage {
    std::vector<FlowTuple> flows;
    std::uint64_t agentsDigest {}; ///< Of the agents that the sender knows; see TransitLocators::digest.
    std::vector<Endpoint> unknownAgents; ///< Agents that may hold the flows, or whose notes are not complete.
    std::vector<Endpoint> staleAgents; ///< Agents that did not hold them when the sender heard them last.

    bool operator==(const AbsenceReportMessage&) const = default;
};

/** What a process holds and knows. Sent at intervals and with news. */
struct StampMessage {
    ProcessRole role {};
    std::uint64_t incarnation {}; ///< Random number of the process.
    Duration age; ///< Time since the store confirmed the view, directly or through others; negative when never.
    bool wantsReply {}; ///< Asks for what the sender does not hold.
    bool wantsFullDelta {}; ///< Asks for everything, as the sender's configuration differs from the receiver's.
    LoadReport load; ///< Agents only.
    std::vector<Endpoint> balancers; ///< Some balancers that the sender heard of lately.
    std::string failureDomain; ///< Of the sender's VM.
    bool isReady {}; ///< Balancers only: routers may send packets to the sender.
};

/** Part of the view that the receiver does not have. */
struct DeltaMessage {
    Duration age; ///< As in StampMessage.
    ViewDelta delta;
};

/** The sender ends and takes nothing more. */
struct LeavingMessage {
    ProcessRole role {};
};

using MessageBody = std::variant<ForwardMessage, HeldMessage, DeclinedMessage, NotHeldMessage, InventoryUpdateMessage,
    StampMessage, DeltaMessage, LeavingMessage, LocateMessage, NotHeldFlowsMessage, InventoryResyncMessage,
    AbsenceReportMessage, InventoryAckMessage>;

/** A message with the sender's revision, so that news travels on every datagram. */
struct Message {
    Revision through; ///< The sender holds everything up to this revision.
    MessageBody body;
};

} // namespace hawthorncroft
