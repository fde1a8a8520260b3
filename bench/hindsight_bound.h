/**
 * @file hindsight_bound.h
 * Upper bound of what any scheduler could earn from a load whose arrivals and service times are known in advance. The
 * distance of a policy from it is at least what the policy's decisions lost, and partly what nobody could earn.
 */
#pragma once

#include "core_type.h"

#include <vector>

namespace hawthorncroft {

/** One request of a load. */
struct OfferedRequest {
    TimePoint arrivesAt; ///< Earliest time at which a target can start it.
    Duration work; ///< Time that it takes a slot.
    Duration objective; ///< Time from arrivesAt within which it has to be finished to earn its worth.
    double worth { 1 };
};

/**
 * Bounds the worth of the requests that can be finished within their objectives. All slots are pooled and requests may
 * be divided, so that no scheduler earns more.
 * @param requests Load, in any order.
 * @param slots Slots of all targets.
 * @return Upper bound, in units of worth; zero for an empty load.
 */
double hindsightBound(const std::vector<OfferedRequest>& requests, std::uint32_t slots);

} // namespace hawthorncroft
