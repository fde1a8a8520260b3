/**
 * @file packet_type.h
 * Decoded form of the datagrams between callers, balancers and agents.
 * wire.fbs defines the wire format; codec_func.h converts between the two.
 */
#pragma once

#include "core_type.h"
#include "verdict_type.h"

#include <string>
#include <vector>

namespace hawthorncroft {

/** Message type of a packet. */
enum class PacketKind : std::uint8_t {
    Invalid,
    Open, ///< Caller to agent: reserve capacity for a flow; runs nothing.
    Opened, ///< Agent to caller: reservation succeeded; carries the binding.
    Refused, ///< Agent or balancer to caller: verdict, reason and retry-after.
    Execute, ///< Caller to agent: run the request under its binding.
    Answer, ///< Agent to caller: verdict and one fragment of the payload.
    AnswerAck, ///< Caller to agent: all fragments were received.
    Cancel, ///< Caller to agent: cancel the request.
    Query, ///< Caller to agent: get the outcome of an earlier request.
    Data, ///< Caller to agent: numbered chunk of an upload or message on a feed.
    DataAck, ///< Agent to caller: the target has stored the chunk.
    Event, ///< Agent to caller: numbered event of a feed.
    EventAck, ///< Caller to agent: the event was received.
    KeepAlive, ///< Caller to agent: extend the lease of a feed or upload.
    Renewed, ///< Agent to caller: a new binding for the same flow.
    Close, ///< Caller to agent: end a feed or commit an upload.
    Closed, ///< Agent to caller: the flow ended.
    Stamp, ///< Balancer or agent to another: configuration revision of the sender, with a nonce.
    StampReply, ///< Reply to a Stamp, with the same nonce.
    End,
};

/** Type of a flow. */
enum class FlowKind : std::uint8_t {
    Request, ///< One request and its answer.
    Feed, ///< Long-lived stream of events to the caller.
    Upload, ///< Numbered chunks to the target, then a commit.
    End,
};

/** State of a target as its agent reports it in replies. */
enum class TargetState : std::uint8_t {
    Unknown,
    Cold, ///< Recently started; its limit is reduced.
    Warm, ///< Accepts its full share of flows.
    Draining, ///< Accepts no new flows.
    Out, ///< Its failure domain or VM is out of service.
    Down, ///< Not reachable by its agent.
    End,
};

std::string_view nameOf(PacketKind kind);
std::string_view nameOf(FlowKind kind);
std::string_view nameOf(TargetState state);

/**
 * Signed proof that an agent admitted a flow. Any balancer with the key can verify it and route packets by it.
 * Only the issuing agent checks the expiry, against its own clock.
 */
struct Binding {
    ServiceId service; ///< The service for which the agent admitted the flow.
    TargetId target; ///< The target of the agent.
    Incarnation targetIncarnation; ///< Incarnation of the target to which the flow is bound.
    Incarnation agentIncarnation; ///< Incarnation of the agent that issued the binding.
    Endpoint agent; ///< Data endpoint of the agent.
    ReservationId reservation; ///< Reservation at the agent.
    TimePoint expiresAt; ///< On the agent's clock.
    Revision revision; ///< Configuration under which the agent admitted the flow or renewed its lease.
    KeyId key; ///< Key of the MAC.
    std::uint64_t mac {}; ///< MAC of all other fields, the caller ID and the flow ID.

    bool operator==(const Binding&) const = default;
};

/** A decoded datagram. Fields that its kind does not use are zero or empty. */
struct Packet {
    PacketKind kind { PacketKind::Invalid };
    FlowKind flowKind { FlowKind::Request };
    FlowKey key; ///< The flow.
    Revision revision; ///< Configuration revision of the sender; set by the balancer in packets from callers.
    Endpoint callerEndpoint; ///< Endpoint of the caller for replies; set by the balancer.
    std::uint8_t attempt {}; ///< Open: number of earlier attempts; selects the first rank to try.
    std::uint8_t hops {}; ///< Open: number of relays so far. Stamp, StampReply: 0 when the sender reads the platform.
    bool idempotent {}; ///< Execute: the request may run more than once.
    TargetState targetState { TargetState::Unknown }; ///< Replies of an agent: state of its target.
    std::uint16_t load {}; ///< Replies of an agent: use of the admission limit in 1/1000; above 1000 when overloaded.
    ServiceId service; ///< Service to which the balancer resolved the name.
    Revision resolvedAt; ///< Configuration revision under which `service` was resolved.
    TargetId target; ///< Open: the addressed target. Replies: the replying target.
    Outcome outcome; ///< Refused, Answer, Closed.
    /** Data, DataAck, Event, EventAck: sequence number from 1. Answer: fragment index from 0. Stamp, StampReply:
     * milliseconds since the platform confirmed the sender's view, or 4294967295 when it never has. */
    std::uint32_t sequence {};
    /** Answer: number of fragments. Close of an upload: number of chunks. Stamp, StampReply: 1 when the sender serves
     * and its view is confirmed. */
    std::uint32_t count {};
    TimePoint agentTime; ///< Opened, Renewed: time of the reply on the agent's clock.
    TimePoint deadline; ///< Execute, Close: latest start time on the agent's clock; zero when there is none.
    std::uint64_t nonce {}; ///< Copied into replies, so that the sender can match them to its packets.
    NodeId node; ///< Stamp, StampReply: the sender.
    Endpoint control; ///< Stamp, StampReply: control port of the sender.
    Binding binding; ///< Absent when `binding.reservation` is zero.
    std::string name; ///< Service name as sent by the caller, before correction.
    std::vector<std::uint8_t> payload;

    bool operator==(const Packet&) const = default;

    /** @return Whether the packet carries a binding. */
    bool hasBinding() const { return static_cast<bool>(binding.reservation); }
};

} // namespace hawthorncroft
