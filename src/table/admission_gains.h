/**
 * @file admission_gains.h
 * Gains and thresholds of the adaptive limit.
 */
#pragma once

#include "../core_type.h"

namespace hawthorncroft {

inline constexpr double fastSamples = 8; ///< Requests over which the fast average of the service time reaches.
inline constexpr double slowSamples = 128; ///< Requests over which the slow average reaches.
inline constexpr std::uint32_t minJumpSamples = 32; ///< Requests before the averages are compared.
inline constexpr double jumpFactor = 2.5; ///< A fast average this far above the slow one means a cold target.
inline constexpr Duration jumpSlack = milliseconds(2); ///< Added to the threshold, so that jitter is no jump.
inline constexpr Duration jumpInterval = seconds(1); ///< Shortest time between a drop and a jump.
inline constexpr double dropFactor = 0.7; ///< Limit after a failure, relative to the one before.
inline constexpr Duration dropInterval = milliseconds(100); ///< Failures closer together count as one.
inline constexpr int coldFailures = 2; ///< Failures among the last eight requests that mean a cold target.
inline constexpr double warmShare = 0.9; ///< Share of the ceiling at which the cold start ends.
inline constexpr Duration connectionStepInterval = seconds(1); ///< Time between steps of the connection limit.
inline constexpr double connectionStep = 0.05; ///< Step of the connection limit, as a share of the offer.
inline constexpr Duration assumedServiceTime = milliseconds(50); ///< Service time before any is known.
inline constexpr std::uint32_t minRetryAfterMs = 10; ///< Milliseconds.
inline constexpr std::uint32_t maxRetryAfterMs = 5000; ///< Milliseconds.

} // namespace hawthorncroft
