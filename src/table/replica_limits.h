/**
 * @file replica_limits.h
 * Times and counts of the configuration replica. docs/measurements.md shows what they lead to.
 */
#pragma once

#include "../core_type.h"

namespace hawthorncroft {

/** Times and counts of gossip, start, pause, isolation and platform reading. */
struct ReplicaTuning {
    Duration stampInterval { milliseconds(500) }; ///< Between periodic stamps to one random peer.
    Duration urgentInterval { milliseconds(250) }; ///< Between stamps while unconfirmed, starting or without contact.
    Duration urgentContactAge { seconds(1) }; ///< Silence after which stamps become urgent.
    Duration isolation { seconds(2) }; ///< Silence after which the process is isolated.
    Duration pauseGap { seconds(1) }; ///< Gap between ticks that counts as a pause.
    Duration minGossipRoundInterval { milliseconds(
        200) }; ///< Least time between announcements; changes between are batched.
    Duration fetchTimeout { seconds(1) }; ///< After this, another peer is asked for the delta.
    Duration nonceLifetime { seconds(5) }; ///< Replies to older stamps are ignored.
    std::size_t gossipRoundFanout { 6 }; ///< Peers told at once of something newer.
    std::size_t urgentFanout { 3 }; ///< Peers asked at once while unconfirmed or starting.
    std::size_t maxSources { 4 }; ///< Peers remembered as holders of something newer.
    std::size_t maxRecentPeers { 4 }; ///< Peers remembered as reachable.
    std::size_t maxNonces { 64 }; ///< Stamps whose reply is still awaited.

    Duration startWaitForPeers { seconds(1) }; ///< Longest wait for a peer once the platform has answered.
    Duration startLimit { seconds(5) }; ///< After this, all that are reachable suffice.
    std::size_t startConfirmations { 2 }; ///< Peers that must confirm the view, when there are as many.

    std::size_t permanentReaders { 3 }; ///< Ranks that always read the platform, so that one may fail unnoticed.
    /** Age of the platform's confirmation above which further ranks start. News of a confirmation needs a few
     * seconds to reach every process, so a shorter time would start readers although the platform is being read. */
    Duration readerGrace { seconds(10) };
    Duration readerStep { seconds(1) }; ///< Time between the starts of successive ranks.
    std::size_t readerWindow { 4 }; ///< Steps during which a rank keeps trying; bounds the readers of any fleet.
    Duration readMinInterval { milliseconds(200) }; ///< Between two reads of one process.
    Duration readTimeout { seconds(25) }; ///< The platform answers a watch within 20 s.
    Duration readBackoffMin { seconds(1) }; ///< After the first failed read.
    Duration readBackoffMax { seconds(5) }; ///< After many failed reads.
    Duration readerQueryInterval { seconds(2) }; ///< Between questions of a former reader to its successors.
    Duration recentReadAge { seconds(3) }; ///< A successor has read the platform within this time.
    /** Assumed transit of a stamp, added to the age that it reports. Without it the age could stand still while the
     * stamps that report it travel in circles. */
    Duration assumedNetworkDelay { milliseconds(50) };
};

inline constexpr std::size_t maxTombstones = 10000; ///< Removals remembered for deltas.
inline constexpr std::size_t maxFaultyDocuments = 100; ///< Refused documents whose faults are kept for status.

} // namespace hawthorncroft
