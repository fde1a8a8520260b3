/**
 * @file agent_times.h
 * Leases, margins and intervals of the agent.
 */
#pragma once

#include "limits.h"

namespace hawthorncroft {

inline constexpr Duration reservationLease = seconds(5); ///< An unused reservation ends after it.
inline constexpr Duration placeHold
    = milliseconds(300); ///< An unused reservation keeps its place in the limit only so long, so that hedged opens
                         ///< that lose do not block the target for the whole lease.
inline constexpr Duration streamLease
    = flowLease * 2; ///< Lease of a feed or upload. Longer than the caller's, so that the caller gives up first.
inline constexpr Duration streamGrace = seconds(10); ///< A feed or upload whose lease lapsed is kept so long.
inline constexpr Duration recordMargin = seconds(20); ///< A record outlives its binding by this for delayed copies.
inline constexpr Duration answerRetention
    = seconds(20); ///< An answer is kept at least so long after the request ended.
inline constexpr Duration firstResend = milliseconds(50); ///< First retransmission of an answer or event.
inline constexpr Duration maxResend = seconds(2); ///< Longest interval between retransmissions.
inline constexpr Duration balancerMemory = seconds(5); ///< A balancer heard within this may carry a retransmission.
inline constexpr Duration agentPauseGap = seconds(1); ///< A longer gap between ticks counts as a pause of the process.

} // namespace hawthorncroft
