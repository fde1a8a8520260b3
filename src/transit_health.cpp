#include "transit_health_base.h"

#include "table/transit_limits.h"

namespace hawthorncroft {

void TargetHealth::recordAnswer() { m_resets = 0; }

void TargetHealth::recordReset() { ++m_resets; }

void TargetHealth::recordAdmission(TimePoint now)
{
    if (isFaulty())
        m_probedAt = now;
}

bool TargetHealth::isFaulty() const { return m_resets >= faultyTargetResets; }

bool TargetHealth::canAdmit(TimePoint now) const { return !isFaulty() || now >= m_probedAt + faultyProbeInterval; }

} // namespace hawthorncroft
