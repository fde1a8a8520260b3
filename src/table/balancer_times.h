/**
 * @file balancer_times.h
 * Time constants and limits of a balancer's decisions.
 */
#pragma once

#include "../core_type.h"

namespace hawthorncroft {

inline constexpr Duration pauseThreshold
    = seconds(1); ///< Time between two events from which on the process counts as paused.
inline constexpr Duration maxLoadReportAge
    = seconds(2); ///< Older load reports are ignored, since they do not reflect the present load.
inline constexpr Duration maxStateReportAge
    = seconds(3); ///< A report that a target is draining, out of service or down is ignored after this time.
inline constexpr Duration suspectAfter
    = milliseconds(400); ///< A target with `suspectCount` unanswered opens is suspected when the first is this old.
inline constexpr std::uint32_t suspectCount
    = 3; ///< Minimum number of consecutive unanswered opens of a suspected target.
inline constexpr Duration firstProbeDelay
    = milliseconds(500); ///< Time for which a suspected target gets no open, before one probes it.
inline constexpr Duration maxProbeDelay
    = seconds(8); ///< Upper limit of the probe delay, which doubles with each unanswered probe.
inline constexpr Duration hintPruneInterval = seconds(60); ///< Interval for removing hints about removed targets.
inline constexpr std::uint32_t notReadyRetryMs
    = 50; ///< Retry-after in milliseconds while the balancer is not serving or is shutting down.
inline constexpr std::uint32_t noTargetRetryMs
    = 500; ///< Retry-after in milliseconds when no target is eligible or the retry budget is exhausted.
inline constexpr std::size_t ranksConsidered = 8; ///< Maximum number of ranks examined for one open or query.
inline constexpr std::size_t ranksCompared
    = 2; ///< Number of eligible ranks among which the less loaded target is chosen.

} // namespace hawthorncroft
