/**
 * @file packet_type.h
 * The datagram that callers, balancers and agents exchange, as a typed value.
 * The wire format is in wire.fbs; codec_func.h converts between the two.
 */
#pragma once

#include "core_type.h"
#include "verdict_type.h"

#include <string>
#include <vector>

namespace hawthorncroft {

/** What a packet asks for or reports. */
enum class PacketKind : std::uint8_t {
    Invalid,
    Open, ///< Caller to agent: reserve; runs nothing.
    Opened, ///< Agent to caller: the binding.
    Refused, ///< Agent or balancer to caller: verdict, reason and retry-after.
    Execute, ///< Caller to agent: run the request under its binding.
    Answer, ///< Agent to caller: verdict and one fragment of the payload.
    AnswerAck, ///< Caller to agent: all fragments arrived.
    Cancel, ///< Caller to agent: stop the request.
    Query, ///< Caller to agent: outcome of an earlier request.
    Data, ///< Caller to agent: numbered chunk of an upload or message on a feed.
    DataAck, ///< Agent to caller: the target holds the chunk.
    Event, ///< Agent to caller: numbered event of a feed.
    EventAck, ///< Caller to agent: the event arrived.
    KeepAlive, ///< Caller to agent: extend the lease of a feed or upload.
    Renewed, ///< Agent to caller: a new binding for the same flow.
    Close, ///< Caller to agent: end a feed or commit an upload.
    Closed, ///< Agent to caller: the flow ended.
    Stamp, ///< Process to process: configuration revision held, with a nonce.
    StampReply, ///< Process to process: answer to a Stamp with the same nonce.
    End,
};

/** What a flow carries. */
enum class FlowKind : std::uint8_t {
    Request, ///< One request and its answer.
    Feed, ///< Long-lived stream of events to the caller.
    Upload, ///< Numbered chunks to the target, then a commit.
    End,
};

/** State of a target as its agent reports it in replies. */
enum class TargetState : std::uint8_t {
    Unknown,
    Cold, ///< In its cold start.
    Warm, ///< Takes its full share.
    Draining, ///< Takes no new work.
    Out, ///< Its failure domain or VM is taken out.
    Down, ///< Its agent cannot reach it.
    End,
};

std::string_view nameOf(PacketKind kind);
std::string_view nameOf(FlowKind kind);
std::string_view nameOf(TargetState state);

/**
 * Admission of one flow at one agent. Any balancer that holds the key routes a packet by it.
 * Only the issuing agent judges the expiry, by its own clock.
 */
struct Binding {
    ServiceId service; ///< The service for which the agent admitted the flow.
    TargetId target; ///< The target beside the agent.
    Incarnation targetIncarnation; ///< The target process that the flow belongs to.
    Incarnation agentIncarnation; ///< The agent process that issued the binding.
    Endpoint agent; ///< Where the agent receives datagrams.
    ReservationId reservation; ///< The admission at the agent.
    TimePoint expiresAt; ///< On the agent's clock.
    Revision revision; ///< Configuration under which the agent admitted the flow or renewed its lease.
    KeyId key; ///< Key of the MAC.
    std::uint64_t mac {}; ///< Over all other fields, the caller id and the flow id.

    bool operator==(const Binding&) const = default;
};

/** One datagram. Fields that a kind does not use are zero or empty. */
struct Packet {
    PacketKind kind { PacketKind::Invalid };
    FlowKind flowKind { FlowKind::Request };
    FlowKey key; ///< The flow.
    Revision revision; ///< Configuration revision of the sender; for caller packets set by the balancer.
    Endpoint callerEndpoint; ///< Where the caller receives replies; set by the balancer.
    std::uint8_t attempt {}; ///< Open: number of earlier tries; shifts the first rank.
    std::uint8_t hops {}; ///< Open: relays so far. Stamp, StampReply: 0 when the sender itself reads the platform.
    bool idempotent {}; ///< Execute: the request may run more than once.
    TargetState targetState { TargetState::Unknown }; ///< Replies of an agent: its target's state.
    std::uint16_t load {}; ///< Replies of an agent: use of the admission limit in 1/1000; above 1000 when overloaded.
    ServiceId service; ///< Service that the balancer resolved, and under which revision: `resolvedAt`.
    Revision resolvedAt; ///< Revision of the configuration under which `service` was resolved.
    TargetId target; ///< Target addressed by an Open, or the replying target.
    Outcome outcome; ///< Refused, Answer, Closed.
    /** Data, DataAck, Event, EventAck: number from 1. Answer: fragment from 0. Stamp, StampReply: milliseconds since
     * the platform confirmed the sender's view, or 4294967295 when it never did. */
    std::uint32_t sequence {};
    /** Answer: number of fragments. Close of an upload: number of chunks. Stamp, StampReply: 1 when the sender's view
     * is checked enough to serve. */
    std::uint32_t count {};
    TimePoint agentTime; ///< Opened, Renewed: the agent's clock when it replied.
    TimePoint deadline; ///< Execute, Close: last moment to start, on the agent's clock; zero when there is none.
    std::uint64_t nonce {}; ///< Stamp, StampReply, and attempts of an Open for telling replies apart.
    NodeId node; ///< Stamp, StampReply: the sender.
    Endpoint control; ///< Stamp, StampReply: the sender's control port.
    Binding binding; ///< Absent when `binding.reservation` is zero.
    std::string name; ///< Service name as the caller spelled it.
    std::vector<std::uint8_t> payload;

    bool operator==(const Packet&) const = default;

    /** @return Whether the packet carries a binding. */
    bool hasBinding() const { return static_cast<bool>(binding.reservation); }
};

} // namespace hawthorncroft
