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
inline constexpr Duration leaseOfFlow = seconds(10); ///< A feed or upload without a Renewed for this long is lost.
inline constexpr Duration keepAliveInterval = seconds(3); ///< Time between two KeepAlive packets of a flow.
inline constexpr std::size_t maxCallerFlows = 65536; ///< Open flows of one caller.
inline constexpr std::size_t maxFinishedFlows = 8192; ///< Finished flows for which a caller acknowledges late answers.
inline constexpr std::size_t maxPendingEvents = 64; ///< Events of one feed that arrived before an earlier one.
inline constexpr std::size_t uploadWindow = 8; ///< Chunks of one upload that are sent and not acknowledged.
inline constexpr std::size_t maxUploadChunks = 65536; ///< Chunks of one upload.

} // namespace hawthorncroft
