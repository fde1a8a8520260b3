/**
 * @file service_times.h
 * Times that balancers and agents must agree on.
 */
#pragma once

#include "../core_type.h"

namespace hawthorncroft {

/**
 * Time after a failure domain or VM is seen as taken out in which bound packets still go to its agents, so that they
 * can answer with the exact verdict, and running requests may end. Below the 3 s of promise P4.
 */
inline constexpr Duration outOfServiceGrace = milliseconds(1500);

inline constexpr Duration contactReportInterval = milliseconds(100); ///< Between signs of life passed to the replica.

inline constexpr Duration metricsInterval = seconds(1); ///< Between copies of the metrics for the metrics thread.

} // namespace hawthorncroft
