/**
 * @file replica_limits.h
 * Times and counts of the configuration replica. docs/measurements.md shows their effect.
 */
#pragma once

#include "../core_type.h"

namespace hawthorncroft {

/** Times and counts of gossip, start, pause detection, isolation and platform reads. */
struct ReplicaTuning {
    Duration stampInterval { milliseconds(500) }; ///< Between periodic stamps, each to one random peer.
    Duration urgentInterval { milliseconds(250) }; ///< Between stamps while unconfirmed, starting or without contact.
    Duration urgentContactAge { seconds(1) }; ///< Time without contact after which the urgent interval applies.
    Duration isolation { seconds(2) }; ///< Time without contact after which the process is isolated.
    Duration pauseThreshold { seconds(1) }; ///< Time between two ticks that counts as a pause of the process.
    /** Minimum time between gossip rounds; changes of the view in between share one round. */
    Duration minGossipRoundInterval { milliseconds(200) };
    Duration fetchTimeout { seconds(1) }; ///< An unanswered delta request is then sent to another peer.
    Duration nonceLifetime { seconds(5) }; ///< A reply to an older stamp confirms nothing.
    std::size_t gossipRoundFanout { 6 }; ///< Peers that receive a stamp in a gossip round.
    std::size_t urgentFanout { 3 }; ///< Random peers that receive each urgent stamp.
    std::size_t maxSources { 4 }; ///< Peers kept as sources of a newer revision.
    std::size_t maxRecentPeers { 4 }; ///< Reachable peers kept for urgent stamps.
    std::size_t maxNonces { 64 }; ///< Stamps whose reply is awaited.

    Duration startWaitForPeers { seconds(1) }; ///< Maximum wait for a peer once the platform has answered.
    Duration startLimit { seconds(5) }; ///< Time after which one reachable peer or the platform suffices.
    std::size_t startConfirmations { 2 }; ///< Serving peers that must confirm the view, or all if there are fewer.

    std::size_t permanentReaders { 3 }; ///< Ranks that always read the platform; several, so that one may fail.
    /** Age of the platform's confirmation above which fallback readers start. A confirmation takes a few seconds to
     * reach every process, so a shorter time would start readers although the platform is being read. */
    Duration readerGrace { seconds(10) };
    Duration readerStep { seconds(1) }; ///< Time between the starts of successive ranks.
    std::size_t readerWindow { 4 }; ///< Steps during which a rank tries; limits the readers in a fleet of any size.
    Duration readMinInterval { milliseconds(200) }; ///< Minimum time between the starts of two reads of one process.
    Duration readTimeout { seconds(25) }; ///< The platform answers a watch within 20 s.
    Duration readBackoffMin { seconds(1) }; ///< Delay after the first failed read.
    Duration readBackoffMax { seconds(5) }; ///< Upper limit of the delay, which doubles with each failure.
    Duration readerQueryInterval { seconds(2) }; ///< Between queries of a former reader to the permanent readers.
    Duration recentReadAge { seconds(3) }; ///< A process counts as a reader if its own read was confirmed this lately.
    /** Assumed network delay of a stamp, added to the age that it reports. Without it the age might not increase while
     * processes pass it on to each other in circles. */
    Duration assumedNetworkDelay { milliseconds(50) };
};

inline constexpr std::size_t maxTombstones = 10000; ///< Removed documents kept for deltas.
inline constexpr std::size_t maxFaultyDocuments = 100; ///< Refused documents whose faults are kept for status.

} // namespace hawthorncroft
