/**
 * @file transit_capacity_type.h
 * Options and samples of the learned capacity of a target (docs/design/learned-capacity.md).
 */
#pragma once

#include "transit_type.h"

namespace hawthorncroft {

/** Options of the learned capacity. */
struct CapacityOptions {
    bool isEnabled { true }; ///< Otherwise the limit is the registered slots, and the service time is unknown.
    std::uint32_t minPercent { 25 }; ///< The limit never falls below this share of the slots, rounded up.
};

/** One request that the target has ended. */
struct CapacitySample {
    Endpoint route; ///< Address that the caller sent to.
    Duration serviceTime; ///< From delivery to the target until the first data of its answer.
    std::uint32_t inProgress {}; ///< Requests at the target when this one started, including it.
    std::uint32_t inProgressAtEnd {}; ///< Requests at the target when it ended, including it; zero when unknown.
    bool isSuccess {}; ///< The target answered it. Others are not samples: a quick error is not a fast answer.
    std::uint32_t slots {}; ///< Registered slots of the target.
    Duration latencyObjective {}; ///< Of the route; zero when unknown.
};

/** Change of a learned limit, for the log. */
struct CapacityChange {
    std::uint32_t before {};
    std::uint32_t after {};
    std::string_view reason;
    Duration age; ///< Since the first of the samples that it follows from.
    double throughputBefore {}; ///< Throughput at the limit before a trial; otherwise the same as throughput.
    double throughput {}; ///< Measured answers for each baseline service time.
};

} // namespace hawthorncroft
