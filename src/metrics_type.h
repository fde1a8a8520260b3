/**
 * @file metrics_type.h
 * What the processes count and measure. Names and axes are in table/metrics_names.h.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace hawthorncroft {

/** A number that only grows. */
enum class Counter : std::uint8_t {
    DatagramsIn,
    DatagramsOut,
    BytesIn, ///< Bytes of datagrams.
    BytesOut, ///< Bytes of datagrams.
    Malformed, ///< Datagrams that the codec refused.
    BadTrailers, ///< Datagrams between processes with a wrong key or MAC.
    BadBindings, ///< Packets whose binding has a wrong key or MAC.
    RingDrops, ///< Entries dropped because a ring between threads was full.
    Opens, ///< Opens received.
    Relays, ///< Opens relayed to the next rank.
    DidNotRun, ///< Refusals and answers with this verdict.
    MayHaveRun, ///< Refusals and answers with this verdict.
    Done, ///< Answers with this verdict.
    InTime, ///< Answers within the service's objective.
    Retransmissions, ///< Packets sent again.
    Duplicates, ///< Packets of a flow that were received before.
    Retries, ///< Opens after a refusal.
    RetriesDenied, ///< Retries that the budget did not allow.
    UnknownNames, ///< Opens whose name resolves to no service.
    WrongService, ///< Packets that name another service than the target's.
    FlowsOpened, ///< Feeds and uploads opened.
    FlowsBroken, ///< Feeds and uploads that ended against the caller's will.
    Pauses, ///< Tick gaps that count as a pause.
    Isolations, ///< Times without any confirmed view.
    DocumentsAccepted, ///< Configuration documents that passed the check.
    DocumentsRefused, ///< Configuration documents that did not.
    PlatformCalls, ///< Calls to the platform, a waiting watch as one.
    PlatformFailures, ///< Calls to the platform without a valid response.
    ControlRequests, ///< Control requests served.
    ControlRefused, ///< Control requests refused for key, replay, rate or form.
    End,
};

/** A distribution of measured values. */
enum class Distribution : std::uint8_t {
    Latency, ///< From a request to its answer.
    Decision, ///< Time of one routing decision.
    Hops, ///< Relays of an Open.
    QueueDepth, ///< Entries in a queue or ring when another is added.
    End,
};

/**
 * Name of a counter as printed.
 * @param counter The counter.
 * @return Its name, or "invalid".
 */
std::string_view nameOf(Counter counter);

/**
 * Name of a distribution as printed.
 * @param distribution The distribution.
 * @return Its name, or "invalid".
 */
std::string_view nameOf(Distribution distribution);

} // namespace hawthorncroft
