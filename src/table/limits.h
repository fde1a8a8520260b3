/**
 * @file limits.h
 * Limits on the size of tables, queues and messages and on the rates of peers. An item that exceeds a limit is refused
 * or dropped, and counted.
 */
#pragma once

#include "../core_type.h"

#include <cstddef>

namespace hawthorncroft {

inline constexpr std::size_t maxDatagramBytes
    = 1400; ///< A datagram of this size fits into one Ethernet frame with its headers, so IP does not fragment it.
inline constexpr std::size_t maxPayloadBytes = 1024; ///< Payload of one packet.
inline constexpr std::size_t maxNameBytes = 128; ///< Service name or spelling.
inline constexpr std::size_t maxAnswerFragments = 64; ///< Fragments of one answer.
inline constexpr std::uint8_t maxHops = 4; ///< Times that one Open may be relayed.
inline constexpr std::size_t maxDocumentBytes = 1000000; ///< Largest value that the platform's store accepts.
inline constexpr Duration flowLease = seconds(15); ///< A feed or upload that gets no Renewed for this long is lost.
inline constexpr Duration keepAliveInterval = seconds(3); ///< Time between two KeepAlive packets of a flow.
inline constexpr std::size_t maxCallerFlows = 65536; ///< Open flows of one caller.
inline constexpr std::size_t maxFinishedFlows
    = 8192; ///< Finished flows of a caller for which it still acknowledges late answers.
inline constexpr std::size_t maxPendingEvents = 64; ///< Out-of-order events of one feed that a caller buffers.
inline constexpr std::size_t uploadWindow = 8; ///< Unacknowledged chunks of one upload.
inline constexpr std::size_t maxUploadChunks = 65536; ///< Chunks of one upload.

inline constexpr std::size_t maxHttp2HeaderBytes = 16 * 1024; ///< Headers of one HTTP/2 message.
inline constexpr std::size_t maxHttp2BodyBytes
    = 4 * 1024 * 1024; ///< Body of one message; enough for a document of 1 MB.
inline constexpr std::size_t maxHttp2Streams = 256; ///< Concurrent streams of one connection.
inline constexpr std::size_t maxHttp2PendingRequests = 1024; ///< Requests of one client waiting for a stream.
inline constexpr std::size_t maxHttp2Connections = 512; ///< Connections of one server.
inline constexpr std::size_t maxHttp2InputBytes
    = 8 * 1024 * 1024; ///< Buffered bytes of incomplete requests of one connection.
inline constexpr std::size_t maxHttp2OutputBytes = 8 * 1024 * 1024; ///< Buffered body bytes to send on one connection.
inline constexpr std::size_t maxHttp2TotalBytes = 64 * 1024 * 1024; ///< Buffered input and output of one server.
inline constexpr std::size_t maxHttp2WriteBytes = 64 * 1024; ///< One write to a socket.
inline constexpr std::size_t maxHttp2QueuedFrames = 1024; ///< Outbound frames above which reading from the peer stops.
inline constexpr std::size_t maxHttp2ResetsPerSecond = 200; ///< Stream resets by a peer before it is disconnected.
inline constexpr std::size_t maxHttp2ControlFramesPerSecond = 2000; ///< Frames of a peer that carry no message.
inline constexpr Duration http2IdleTimeout = seconds(30); ///< Time without a complete frame from the peer.
inline constexpr Duration http2StallTimeout = seconds(10); ///< For one write and for connecting.
inline constexpr Duration http2RequestTimeout = seconds(10); ///< For the receipt of a complete request.

// Agent.
inline constexpr std::size_t maxFlowRecords = 65536; ///< Flows of one agent; when full, an Open is relayed or refused.
inline constexpr std::size_t maxAnswerBytes = maxAnswerFragments * maxPayloadBytes; ///< Payload of one answer.
inline constexpr std::size_t maxUnackedAnswerBytes
    = 64 * 1024 * 1024; ///< Unacknowledged answers of one agent; when full, an Open is relayed or refused.
inline constexpr std::size_t maxKnownBalancers
    = 64; ///< Balancers that an agent knows as routes for retransmissions; when full, the oldest is replaced.
inline constexpr std::size_t eventWindow = 32; ///< Unacknowledged events at which an agent pauses reading a feed.
inline constexpr std::size_t maxUnackedEvents = 64; ///< Event window plus events in flight when reading paused.
inline constexpr std::size_t maxChunksInFlight
    = 32; ///< Chunks of one flow that the target has not confirmed; further chunks are dropped.
inline constexpr std::size_t maxStaleQueueEntries
    = 32; ///< The queue is compacted when it exceeds twice the number of queued flows plus this.
inline constexpr std::size_t maxRelayRanks = 16; ///< Rendezvous ranks searched for the next target of an Open.

inline constexpr std::size_t maxDeltaBytes
    = 1000000; ///< Document texts in one delta to a peer; the peer requests the rest afterwards.
inline constexpr std::size_t maxControlRequestsPerSecond = 200; ///< Requests on the control port from one peer address.
inline constexpr std::size_t maxControlPeers = 4096; ///< Peer addresses whose request rate is tracked.
inline constexpr std::size_t maxControlNonces = 65536; ///< Request nonces that a server stores to detect replays.
inline constexpr std::size_t maxControlReplyBytes = 32 * 1024 * 1024; ///< One reply; large enough for all documents.
inline constexpr std::size_t maxControlTotalBytes = 96 * 1024 * 1024; ///< Replies buffered by one server.
inline constexpr std::size_t maxControlClients = 64; ///< Endpoints to which a control client keeps connections open.

} // namespace hawthorncroft
