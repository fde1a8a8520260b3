/**
 * @file transit_health_base.h
 * Whether a target serves what it takes, as its agent sees it. A target that takes flows and resets their requests
 * looks idle, so that it attracts more than its share: an agent whose target does so declines new flows but for single
 * probes.
 */
#pragma once

#include "core_type.h"

#include <cstdint>

namespace hawthorncroft {

/** Outcomes of a target's requests, and when the target is to be tried again. Pure. */
class TargetHealth {
public:
    /** Notes that the target answered a request. */
    void recordAnswer();

    /** Notes that the target reset a flow with a request under way. */
    void recordReset();

    /** Notes that the target got an opening packet. */
    void recordAdmission(TimePoint now);

    /** @return Whether the target reset all of its last requests. */
    bool isFaulty() const;

    /** @return Whether the target may get a new flow. */
    bool canAdmit(TimePoint now) const;

private:
    std::uint32_t m_resets {}; ///< Requests reset in a row.
    TimePoint m_probedAt;
};

} // namespace hawthorncroft
