/**
 * @file transit_message_type.h
 * Messages between the processes that carry transparent flows. The endpoint that a process sends from identifies it.
 */
#pragma once

#include "transit_entry_type.h"
#include "transit_path_type.h"
#include "transit_view_type.h"

#include <variant>
#include <vector>

namespace hawthorncroft {

/** A caller's packet, sent to an agent by a balancer or by an agent that knows the flow's holder. */
struct ForwardMessage {
    Endpoint replyTo; ///< Balancer that received the packet from the caller.
    std::string service; ///< Opening packets: service that the balancer chose.
    StorePosition routePosition; ///< Opening packets: position of the route that the service was chosen by.
    bool isLocating {}; ///< The balancer does not know the holder and queries several agents.
    std::uint8_t hops {}; ///< Times forwarded by agents; above zero, the receiver answers for its own target only.
    std::vector<Endpoint> tried; ///< Opening packets: agents that declined the packet or did not answer.
    TransitPacket packet;
};

/**
 * The sender's target holds the flow. Sent to the balancer that forwarded the packet. Without a flow it is only a load
 * report.
 */
struct HeldMessage {
    FlowTuple flow;
    std::uint32_t targetSequence {}; ///< Initial sequence number of the target; zero when unknown.
    bool isOpening {}; ///< Answers an opening packet; the caller has not acknowledged this target's answer yet.
    LoadReport load;
};

/**
 * Queries an agent for flows that the locators could not resolve. The query includes the packets, so that the holder
 * can deliver them to its target without another round trip; other agents answer with one message for all flows. In a
 * large fleet one agent relays the query to the others, because the links of entry VMs have less bandwidth than those
 * of the VMs beside targets.
 */
struct LocateMessage {
    Endpoint replyTo;
    std::vector<TransitPacket> packets; ///< First packet of each flow.
    std::vector<Endpoint> relayTo; ///< Agents that the receiver relays the query to; they answer the balancer.
};

/** The sender's target did not accept an opening packet; nothing was executed for it. */
struct DeclinedMessage {
    DeclineReason reason {};
    ForwardMessage forward; ///< The declined message.
    LoadReport load;
};

/** The sender's target does not hold the flow of this packet. */
struct NotHeldMessage {
    TransitPacket packet; ///< Returned so that the balancer can locate the holder with it.
};

/** The sender's target does not hold these flows. Answers a LocateMessage. */
struct NotHeldFlowsMessage {
    std::vector<FlowTuple> flows;
};

/**
 * Flows that the sender's target holds, sent to the locators of their shards; see transit_inventory_base.h. A stream
 * starts with a snapshot of all flows; later messages add new flows.
 */
struct InventoryUpdateMessage {
    std::vector<FlowTuple> flows;
    std::uint64_t incarnation {}; ///< Random identifier of the sending process.
    std::uint32_t stream {}; ///< Number of the stream within the process.
    std::uint32_t sequence {}; ///< Number of the message in its stream, starting at one.
    std::uint32_t shardCount {}; ///< Number of shards that the sender divides flows into.
    std::vector<std::uint32_t> shards; ///< Shards that the sender reports to this receiver.
    bool isHeartbeat {}; ///< Carries no flows and repeats the last sequence number.
    bool wantsAck {}; ///< The receiver has not acknowledged this sequence number yet.
    bool isComplete {}; ///< After this message the receiver knows all flows of the sender's target in these shards.
    bool isFinal {}; ///< The sender shuts down; its target gets no new flow until another agent starts there.
    bool isRegistered {}; ///< The sender's target is registered. An unregistered one may stop without notice.

    bool operator==(const InventoryUpdateMessage&) const = default;
};

/** Cumulative acknowledgement of inventory updates: the sender has the receiver's stream up to a sequence number. */
struct InventoryAckMessage {
    std::uint32_t stream {};
    std::uint32_t sequence {};

    bool operator==(const InventoryAckMessage&) const = default;
};

/** The sender is missing inventory updates of the receiver and requests a new snapshot. */
struct InventoryResyncMessage { };

/**
 * A locator's statement on flows that it has no holder entry for: of the agents that it knows, only those listed here
 * may hold them. Answers a ForwardMessage with `isLocating`, in addition to the answer for the locator's own target.
 */
struct AbsenceReportMessage {
    std::vector<FlowTuple> flows;
    std::uint64_t agentsDigest {}; ///< Digest of the agents that the sender knows; see TransitLocators::digest.
    std::vector<Endpoint> unknownAgents; ///< May hold the flows, for example because their inventory is incomplete.
    std::vector<Endpoint> staleAgents; ///< Did not hold the flows when last heard, but their lease has expired.

    bool operator==(const AbsenceReportMessage&) const = default;
};

/** State of a process and of its view. Sent periodically and after view changes. */
struct StampMessage {
    ProcessRole role {};
    std::uint64_t incarnation {}; ///< Random identifier of the process.
    Duration age; ///< Time since the store confirmed the view, directly or through others; negative when never.
    bool wantsReply {}; ///< Requests a delta of what the sender's view lacks.
    bool wantsFullDelta {}; ///< Requests a full delta, because the sender's configuration differs from the receiver's.
    LoadReport load; ///< Agents only.
    std::vector<Endpoint> balancers; ///< Some balancers that the sender recently learned of.
    std::string failureDomain; ///< Of the sender's VM.
    bool isReady {}; ///< Balancers only: the sender is ready to receive packets from routers.
    std::optional<EntryReport> entry; ///< In stamps to balancers of the own failure domain, from balancers.
    std::vector<PathReport> paths; ///< At most `maxPathReports`; in the stamps of a round only.
    bool takesRelayed {}; ///< The sender forwards and receives relayed messages; processes of earlier versions do not.
    std::uint64_t keptConfigurationVersion {}; ///< As TransitView::keptConfigurationVersion.
};

/** Part of the view that the receiver lacks. */
struct DeltaMessage {
    Duration age; ///< As in StampMessage.
    ViewDelta delta;
};

/** The sender shuts down and accepts nothing more. */
struct LeavingMessage {
    ProcessRole role {};
};

using MessageBody = std::variant<ForwardMessage, HeldMessage, DeclinedMessage, NotHeldMessage, InventoryUpdateMessage,
    StampMessage, DeltaMessage, LeavingMessage, LocateMessage, NotHeldFlowsMessage, InventoryResyncMessage,
    AbsenceReportMessage, InventoryAckMessage>;

/** A message with the position of the sender's view, so that every message shows receivers whether their view is
 * behind. */
struct Message {
    StorePosition through; ///< The sender's view contains all changes up to this position.
    MessageBody body;
    Endpoint relayTo {}; ///< Receiver of a message that goes through a relay; none otherwise.
    Endpoint origin {}; ///< Sender of that message.
};

} // namespace hawthorncroft
