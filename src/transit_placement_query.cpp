#include "transit_placement_base.h"

#include "table/transit_names.h"

namespace hawthorncroft {

std::vector<TargetAssessment> TransitPlacement::assess(const TransitView& view, const std::string& service,
    const std::vector<const TargetEntry*>& targets, TimePoint now) const
{
    Speeds speeds = speedsOf(view.targetsOf(service));
    std::vector<TargetAssessment> assessments;
    for (const TargetEntry* target : targets) {
        TargetAssessment& assessment = assessments.emplace_back();
        assessment.target = target;
        assessment.state = stateOf(view, *target, now);
        assessment.load = loadTermsOf(*target, speeds, now);
        auto found = m_estimates.find(target->record.address.address);
        if (found == m_estimates.end())
            continue;
        const Estimate& estimate = found->second;
        assessment.report = estimate.load;
        assessment.sentSinceReport = estimate.sentSinceReport;
        if (estimate.reportedAt)
            assessment.reportAge = now - *estimate.reportedAt;
    }
    return assessments;
}

TargetState TransitPlacement::stateOf(const TransitView& view, const TargetEntry& target, TimePoint now) const
{
    if (target.record.isDraining)
        return TargetState::Draining;
    if (view.isEvacuated(target.record.failureDomain))
        return TargetState::Evacuated;
    auto found = m_estimates.find(target.record.address.address);
    if (found != m_estimates.end()) {
        if (now < found->second.returnBackoffUntil)
            return TargetState::Returned;
        if (now < found->second.suspectedUntil)
            return TargetState::Suspected;
        if (found->second.overloadedBusy)
            return TargetState::Overloaded;
    }
    return isCold(target, now) ? TargetState::Cold : TargetState::Eligible;
}

std::string_view nameOf(TargetState state) { return lookUpName(targetStateNames, state); }

std::string_view nameOf(PlacementBasis basis) { return lookUpName(placementBasisNames, basis); }

} // namespace hawthorncroft
