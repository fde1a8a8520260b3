#include "transit_health_base.h"

#include "table/transit_limits.h"

namespace hawthorncroft {

void TargetHealth::noteAnswer() { m_resets = 0; }

void TargetHealth::noteReset() { ++m_resets; }

void TargetHealth::noteTaken(TimePoint now)
{
    if (isFaulty())
        m_probedAt = now;
}

bool TargetHealth::isFaulty() const { return m_resets >= faultyTargetResets; }

bool TargetHealth::mayTake(TimePoint now) const { return !isFaulty() || now >= m_probedAt + faultyProbeInterval; }

} // namespace hawthorncroft
