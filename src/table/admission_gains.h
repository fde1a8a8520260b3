/**
 * @file admission_gains.h
 * Gains and thresholds of the adaptive limits.
 */
#pragma once

#include "../core_type.h"

namespace hawthorncroft {

inline constexpr double fastSamples = 8; ///< Length of the fast moving average of the service time, in requests.
inline constexpr double slowSamples = 128; ///< Length of the slow moving average, in requests.
inline constexpr std::uint32_t minJumpSamples = 32; ///< Requests required before the averages are compared.
inline constexpr double jumpFactor = 2.5; ///< Ratio of the fast to the slow average above which the target is cold.
inline constexpr Duration jumpSlack
    = milliseconds(2); ///< Added to the threshold, so that jitter of short service times does not exceed it.
inline constexpr Duration jumpInterval
    = seconds(1); ///< Minimum time after a reduction of the limit before the averages are compared.
inline constexpr double dropFactor = 0.7; ///< Factor applied to the limit after a failure.
inline constexpr Duration dropInterval
    = milliseconds(100); ///< Failures within this time of the last reduction count as one.
inline constexpr int coldFailures = 2; ///< Failures among the last eight requests that mean a cold target.
inline constexpr double warmShare = 0.9; ///< Share of the ceiling at which the cold start ends.
inline constexpr Duration connectionStepInterval = seconds(1); ///< Interval between steps of the connection limit.
inline constexpr double connectionStep = 0.05; ///< Step of the connection limit, as a share of the offered connections.
inline constexpr Duration assumedServiceTime = milliseconds(50); ///< Service time used before any was recorded.
inline constexpr std::uint32_t minRetryAfterMs = 10; ///< Milliseconds.
inline constexpr std::uint32_t maxRetryAfterMs = 5000; ///< Milliseconds.

} // namespace hawthorncroft
