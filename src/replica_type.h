/**
 * @file replica_type.h
 * Deltas, effects, options and counters of a configuration replica: its interface to the shell that runs it.
 */
#pragma once

#include "config_type.h"
#include "effect_type.h"
#include "table/replica_limits.h"

namespace hawthorncroft {

/** One changed document in a delta. */
struct DocumentChange {
    std::string key;
    Revision revision;
    std::string text; ///< JSON text; empty for a removed document.
};

/** Changes above one revision, received from a peer or from the platform. */
struct Delta {
    Revision since; ///< All changes above this revision, up to `completeThrough`, are contained.
    Revision completeThrough;
    /** Every document that exists at `completeThrough` is listed; a document that is not listed was removed. */
    bool isFull {};
    std::vector<DocumentChange> changes; ///< In ascending order of revision.
};

/** Read the platform with a watch; cancels a read that is still pending. */
struct ReadPlatform {
    Revision since; ///< Request changes above this revision.
};

using ReplicaEffect = std::variant<SendToProcess, FetchDelta, ReadPlatform>;
using ReplicaEffects = std::vector<ReplicaEffect>;

/** Identity, addresses and tuning of a process. */
struct ReplicaOptions {
    NodeId node; ///< Random number of this process.
    Endpoint data; ///< Own datagram endpoint as other processes see it; determines the rank as a reader.
    Endpoint control; ///< Endpoint of the own control port.
    std::vector<Endpoint> seeds; ///< Datagram endpoints of some processes, from the settings.
    std::uint64_t randomSeed {}; ///< Initial seed; each tick mixes in another random number.
    ReplicaTuning tuning;
};

/** Event counts since the start of the process. */
struct ReplicaCounters {
    std::uint64_t accepted {}; ///< Documents accepted.
    std::uint64_t older {}; ///< Documents not newer than the stored document with the same key.
    std::uint64_t refused {}; ///< Documents that failed validation.
    std::uint64_t conflicts {}; ///< Documents with the stored revision but different content; refused.
    std::uint64_t stamps {}; ///< Stamps sent.
    std::uint64_t replies {}; ///< Stamp replies sent.
    std::uint64_t fetches {}; ///< Delta requests sent to peers.
    std::uint64_t fetchFailures {}; ///< Delta requests that failed or timed out.
    std::uint64_t platformReads {}; ///< Platform reads started.
    std::uint64_t platformFailures {}; ///< Platform reads that failed.
    std::uint64_t pauses {}; ///< Pauses of the process.
};

/** Value of `sequence` in Stamp and StampReply when the sender knows of no confirmation of its view by the platform;
 * otherwise `sequence` is the age of that confirmation in ms. */
inline constexpr std::uint32_t neverConfirmed = 0xffffffffU;

} // namespace hawthorncroft
