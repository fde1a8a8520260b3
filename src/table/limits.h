/**
 * @file limits.h
 * Bounds on every table, queue, message and peer, in one place. Beyond a bound an item is refused or dropped and
 * counted.
 */
#pragma once

#include "../core_type.h"

#include <cstddef>

namespace hawthorncroft {

inline constexpr std::size_t maxDatagramBytes
    = 1400; ///< Fits one Ethernet frame with headers, so it is not fragmented.
inline constexpr std::size_t maxPayloadBytes = 1024; ///< Payload of one packet.
inline constexpr std::size_t maxNameBytes = 128; ///< Service name or spelling.
inline constexpr std::size_t maxAnswerFragments = 64; ///< Fragments of one answer.
inline constexpr std::uint8_t maxHops = 4; ///< Relays of one Open.
inline constexpr std::size_t maxDocumentBytes = 1000000; ///< The platform's limit for one value.
inline constexpr Duration flowLease = seconds(15); ///< A feed or upload without a Renewed for this long is lost.
inline constexpr Duration keepAliveInterval = seconds(3); ///< Time between two KeepAlive packets of a flow.
inline constexpr std::size_t maxCallerFlows = 65536; ///< Open flows of one caller.
inline constexpr std::size_t maxFinishedFlows = 8192; ///< Finished flows for which a caller acknowledges late answers.
inline constexpr std::size_t maxPendingEvents = 64; ///< Events of one feed that arrived before an earlier one.
inline constexpr std::size_t uploadWindow = 8; ///< Chunks of one upload that are sent and not acknowledged.
inline constexpr std::size_t maxUploadChunks = 65536; ///< Chunks of one upload.

inline constexpr std::size_t maxHttp2HeaderBytes = 16 * 1024; ///< Headers of one HTTP/2 message.
inline constexpr std::size_t maxHttp2BodyBytes = 4 * 1024 * 1024; ///< Body of one message; holds a document of 1 MB.
inline constexpr std::size_t maxHttp2Streams = 256; ///< Concurrent streams of one connection.
inline constexpr std::size_t maxHttp2PendingRequests = 1024; ///< Requests of one client that wait for a stream.
inline constexpr std::size_t maxHttp2Connections = 512; ///< Connections of one server.
inline constexpr std::size_t maxHttp2InputBytes = 8 * 1024 * 1024; ///< Incomplete requests of one connection.
inline constexpr std::size_t maxHttp2OutputBytes = 8 * 1024 * 1024; ///< Bodies waiting to be sent on one connection.
inline constexpr std::size_t maxHttp2TotalBytes = 64 * 1024 * 1024; ///< Both of the above over one server.
inline constexpr std::size_t maxHttp2WriteBytes = 64 * 1024; ///< One write to a socket.
inline constexpr std::size_t maxHttp2QueuedFrames = 1024; ///< Frames to send; beyond it nothing is read from the peer.
inline constexpr std::size_t maxHttp2ResetsPerSecond = 200; ///< Stream resets by one peer; beyond it, closed.
inline constexpr std::size_t maxHttp2ControlFramesPerSecond = 2000; ///< Frames of one peer that carry no message.
inline constexpr Duration http2IdleTimeout = seconds(30); ///< Without a whole frame from the peer.
inline constexpr Duration http2StallTimeout = seconds(10); ///< For one write, and for connecting.
inline constexpr Duration http2RequestTimeout = seconds(10); ///< For a request to arrive completely.

// Agent.
inline constexpr std::size_t maxFlowRecords = 65536; ///< Flows of one agent; beyond it an Open is relayed or refused.
inline constexpr std::size_t maxAnswerBytes = maxAnswerFragments * maxPayloadBytes; ///< Payload of one answer.
inline constexpr std::size_t maxUnackedAnswerBytes
    = 64 * 1024 * 1024; ///< Answers not acknowledged yet; beyond it requests are refused.
inline constexpr std::size_t maxKnownBalancers
    = 64; ///< Balancers remembered for retransmissions; the oldest makes room.
inline constexpr std::size_t eventWindow = 32; ///< Unacknowledged events of a feed at which reading it is paused.
inline constexpr std::size_t maxUnackedEvents = 64; ///< Window and events that were under way when reading was paused.
inline constexpr std::size_t maxChunksInFlight
    = 32; ///< Chunks of a flow on their way to the target; others are dropped.
inline constexpr std::size_t maxStaleQueueEntries
    = 32; ///< Entries of flows that left the queue, beyond its real length.
inline constexpr std::size_t maxRelayRanks = 16; ///< Ranks searched for the next target of an Open.

inline constexpr std::size_t maxDeltaBytes
    = 1000000; ///< Texts in one answer to a peer; further ones follow on request.
inline constexpr std::size_t maxControlRequestsPerSecond = 200; ///< Control requests from one peer address.
inline constexpr std::size_t maxControlPeers = 4096; ///< Peer addresses whose rate is tracked.
inline constexpr std::size_t maxControlNonces = 65536; ///< Latest nonces of requests that a server remembers.
inline constexpr std::size_t maxControlReplyBytes = 32 * 1024 * 1024; ///< One reply, such as all documents.
inline constexpr std::size_t maxControlTotalBytes = 96 * 1024 * 1024; ///< Replies that a server buffers.
inline constexpr std::size_t maxControlClients = 64; ///< Endpoints to which a control client keeps connections.

} // namespace hawthorncroft
