/**
 * @file metrics_type.h
 * Counters and distributions that processes record. Names and axes are in table/metrics_names.h.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace hawthorncroft {

/** A monotonic counter. */
enum class Counter : std::uint8_t {
    DatagramsIn,
    DatagramsOut,
    BytesIn, ///< Bytes of datagrams.
    BytesOut, ///< Bytes of datagrams.
    Malformed, ///< Datagrams that the codec rejected.
    BadTrailers, ///< Datagrams between processes with a wrong key or MAC.
    BadBindings, ///< Packets whose binding has a wrong key or MAC.
    RingDrops, ///< Entries dropped because a ring between threads was full.
    Opens, ///< Opens received.
    Relays, ///< Opens relayed to the next rank.
    DidNotRun, ///< Refusals and answers with this verdict.
    MayHaveRun, ///< Refusals and answers with this verdict.
    Done, ///< Answers with this verdict.
    InTime, ///< Answers within the service's objective.
    Retransmissions, ///< Packets retransmitted.
    Duplicates, ///< Packets of a flow that had already been received.
    Retries, ///< Opens after a refusal.
    RetriesDenied, ///< Retries that the budget did not allow.
    UnknownNames, ///< Opens whose name resolves to no service.
    WrongService, ///< Packets that name another service than the target's.
    FlowsOpened, ///< Feeds and uploads opened.
    FlowsBroken, ///< Feeds and uploads that ended with another verdict than done.
    Pauses, ///< Gaps between ticks that were long enough to count as a pause.
    Isolations, ///< Periods without a confirmed view.
    DocumentsAccepted, ///< Configuration documents that passed validation.
    DocumentsRefused, ///< Configuration documents that failed validation.
    PlatformCalls, ///< Calls to the platform; a pending watch counts as one.
    PlatformFailures, ///< Calls to the platform that got no valid response.
    ControlRequests, ///< Control requests served.
    ControlRefused, ///< Control requests rejected for their key, replay, rate or format.
    End,
};

/** A distribution of measured values. */
enum class Distribution : std::uint8_t {
    Latency, ///< From a request to its answer.
    Decision, ///< Duration of one routing decision.
    Hops, ///< Number of relays of an Open.
    QueueDepth, ///< Entries in a queue or ring when another entry is added.
    End,
};

/**
 * Name of a counter as printed.
 * @param counter Any counter.
 * @return Its name, or "invalid".
 */
std::string_view nameOf(Counter counter);

/**
 * Name of a distribution as printed.
 * @param distribution Any distribution.
 * @return Its name, or "invalid".
 */
std::string_view nameOf(Distribution distribution);

} // namespace hawthorncroft
