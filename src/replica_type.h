/**
 * @file replica_type.h
 * Values that a configuration replica exchanges with its shell: deltas, options, effects and counters.
 */
#pragma once

#include "config_type.h"
#include "effect_type.h"
#include "table/replica_limits.h"

namespace hawthorncroft {

/** One changed document as it travels. */
struct DocumentChange {
    std::string key;
    Revision revision;
    std::string text; ///< JSON text; empty for a removed document.
};

/** Changes above one revision, from a peer or from the platform. */
struct Delta {
    Revision since; ///< The changes above this revision are complete up to `completeThrough`.
    Revision completeThrough;
    /** Every document that exists up to `completeThrough` is listed; one that is not listed was removed. */
    bool isFull {};
    std::vector<DocumentChange> changes; ///< In the order of their revisions.
};

/** Read the platform with a watch; an earlier read that is still pending is given up. */
struct ReadPlatform {
    Revision since; ///< Changes above this revision are wanted.
};

using ReplicaEffect = std::variant<SendToProcess, FetchDelta, ReadPlatform>;
using ReplicaEffects = std::vector<ReplicaEffect>;

/** Identity and surroundings of a process. */
struct ReplicaOptions {
    NodeId node; ///< Random number of this process.
    Endpoint data; ///< Own datagram endpoint as other processes see it; ranks of readers depend on it.
    Endpoint control; ///< Own control port.
    std::vector<Endpoint> seeds; ///< Datagram endpoints of some processes, from the settings.
    std::uint64_t randomSeed {}; ///< First random number; each tick adds another.
    ReplicaTuning tuning;
};

/** Events since the start of the process. */
struct ReplicaCounters {
    std::uint64_t accepted {}; ///< Documents taken.
    std::uint64_t older {}; ///< Documents whose key already had a revision as high.
    std::uint64_t refused {}; ///< Documents that failed the check.
    std::uint64_t conflicts {}; ///< Documents with a revision already held and other content; refused.
    std::uint64_t stamps {}; ///< Stamps sent.
    std::uint64_t replies {}; ///< Stamp replies sent.
    std::uint64_t fetches {}; ///< Deltas asked for.
    std::uint64_t fetchFailures {}; ///< Deltas that did not arrive.
    std::uint64_t platformReads {}; ///< Reads of the platform started.
    std::uint64_t platformFailures {}; ///< Reads of the platform that failed.
    std::uint64_t pauses {}; ///< Tick gaps that counted as a pause.
};

/** What Stamp and StampReply say of the platform in `sequence`: milliseconds since it confirmed the sender's view. */
inline constexpr std::uint32_t neverConfirmed = 0xffffffffU;

} // namespace hawthorncroft
