/**
 * @file balancer_times.h
 * Times and thresholds of a balancer's decisions.
 */
#pragma once

#include "../core_type.h"

namespace hawthorncroft {

inline constexpr Duration pauseGap = seconds(1); ///< A gap this long between events means that the process was paused.
inline constexpr Duration maxLoadReportAge
    = seconds(2); ///< A load report older than this says nothing about the present.
inline constexpr Duration maxStateReportAge
    = seconds(3); ///< A target's report that it drains or is down is believed this long.
inline constexpr Duration suspectAfter = milliseconds(400); ///< Opens unanswered this long make a target suspected.
inline constexpr std::uint32_t suspectCount = 3; ///< Opens unanswered in a row that make a target suspected.
inline constexpr Duration firstProbeDelay
    = milliseconds(500); ///< Wait before a suspected target is probed by one open.
inline constexpr Duration maxProbeDelay = seconds(8); ///< Upper end of the doubling probe delay.
inline constexpr Duration hintPruneInterval = seconds(60); ///< Between searches for hints of removed targets.
inline constexpr std::uint32_t notReadyRetryMs = 50; ///< Retry-after while the view is not confirmed; milliseconds.
inline constexpr std::uint32_t noTargetRetryMs = 500; ///< Retry-after when no target is eligible; milliseconds.
inline constexpr std::size_t ranksConsidered = 8; ///< Ranks examined for one open.
inline constexpr std::size_t ranksCompared = 2; ///< Eligible ranks among which load decides.

} // namespace hawthorncroft
