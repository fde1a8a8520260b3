/**
 * @file agent_times.h
 * Leases, retention times and intervals of the agent.
 */
#pragma once

#include "limits.h"

namespace hawthorncroft {

inline constexpr Duration reservationLease = seconds(5); ///< Time after which an unused reservation expires.
inline constexpr Duration placeHoldTime
    = milliseconds(300); ///< Time for which an unused reservation counts against the concurrency limit. Shorter than
                         ///< its lease, so that unused hedged Opens do not block the target for the whole lease.
inline constexpr Duration streamLease
    = flowLease * 2; ///< Lease of a feed or upload. Longer than the caller's, so that the caller's expires first.
inline constexpr Duration streamGrace = seconds(10); ///< Time for which a feed or upload with an expired lease is kept.
inline constexpr Duration recordMargin
    = seconds(20); ///< Time for which a record is kept after its binding expired, to recognize delayed packets.
inline constexpr Duration answerRetention = seconds(20); ///< Minimum retention of an answer after the request ended.
inline constexpr Duration firstResendInterval
    = milliseconds(50); ///< Interval to the first retransmission of an answer or event.
inline constexpr Duration maxResendInterval = seconds(2); ///< Longest interval between retransmissions.
inline constexpr Duration knownBalancerTimeout
    = seconds(5); ///< A balancer that sent a packet within this time may be used for retransmissions.
inline constexpr Duration agentPauseThreshold
    = seconds(1); ///< A longer interval between ticks counts as a pause of the process.

} // namespace hawthorncroft
