/**
 * @file transit_health_base.h
 * Health of a target as observed by its agent. A target that accepts flows and resets their requests appears idle and
 * would attract more than its share of new flows. The agent of such a target declines new flows, except for single
 * probes.
 */
#pragma once

#include "core_type.h"

#include <cstdint>

namespace hawthorncroft {

/** Circuit breaker on consecutive request resets of a target. Pure. */
class TargetHealth {
public:
    /** Records that the target answered a request. */
    void recordAnswer();

    /** Records that the target reset a flow with a request in progress. */
    void recordReset();

    /** Records that an opening packet was delivered to the target. */
    void recordAdmission(TimePoint now);

    /** @return Whether the target's latest requests were all reset. */
    bool isFaulty() const;

    /** @return Whether the target may get a new flow, as a healthy target or as a probe. */
    bool canAdmit(TimePoint now) const;

private:
    std::uint32_t m_resets {}; ///< Consecutive requests reset.
    TimePoint m_probedAt;
};

} // namespace hawthorncroft
