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

// Agent.
inline constexpr std::size_t maxFlowRecords = 65536; ///< Flows of one agent; beyond it an Open is relayed or refused.
inline constexpr std::size_t maxAnswerBytes = maxAnswerFragments * maxPayloadBytes; ///< Payload of one answer.
inline constexpr std::size_t maxKeptAnswerBytes
    = 64 * 1024 * 1024; ///< Answers not acknowledged yet; beyond it requests are refused.
inline constexpr std::size_t maxHeardBalancers
    = 64; ///< Balancers remembered for retransmissions; the oldest makes room.
inline constexpr std::size_t eventWindow = 32; ///< Unacknowledged events of a feed at which reading it is paused.
inline constexpr std::size_t maxEventsHeld = 64; ///< Window and events that were under way when reading was paused.
inline constexpr std::size_t maxChunksInFlight
    = 32; ///< Chunks of a flow on their way to the target; others are dropped.
inline constexpr std::size_t queueSlack = 32; ///< Entries of flows that left the queue, beyond its real length.
inline constexpr std::size_t maxRelayRanks = 16; ///< Ranks searched for the next target of an Open.

} // namespace hawthorncroft
