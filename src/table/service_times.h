/**
 * @file service_times.h
 * Times that must be the same in balancers and agents.
 */
#pragma once

#include "../core_type.h"

namespace hawthorncroft {

/**
 * Grace period after the process sees that a failure domain or VM is taken out of service. Until its end, packets with
 * a binding are still sent to its agents, so that they can answer with the exact verdict, and running requests may end.
 * Below the 3 s of promise P4.
 */
inline constexpr Duration outOfServiceGrace = milliseconds(1500);

/** Minimum interval between reports to the configuration replica that a packet of another process was received. */
inline constexpr Duration contactReportInterval = milliseconds(100);

inline constexpr Duration metricsInterval
    = seconds(1); ///< Interval at which the metrics are copied for the metrics thread.

} // namespace hawthorncroft
