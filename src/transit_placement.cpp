#include "transit_placement_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

TransitPlacement::TransitPlacement(std::string failureDomain)
    : m_failureDomain(std::move(failureDomain))
{
}

const ViewedTarget* TransitPlacement::choose(const TransitView& view, const std::string& service, const FlowTuple& flow,
    const std::vector<std::uint32_t>& tried, TimePoint now) const
{
    const auto& targets = view.targetsOf(service);
    if (targets.empty())
        return nullptr;
    Choice choice;
    std::uint64_t random = hashOf(flow);
    for (std::size_t draw = 0; draw < maxDraws && !choice.isComplete(); ++draw) {
        random = mix64(random);
        const ViewedTarget& target = *targets[random % targets.size()];
        if (isEligible(view, target, tried) && !isSuspected(target.record.address.address, now))
            consider(choice, target, now);
    }
    // Few targets are left, or none that is not suspected.
    for (std::size_t i = 0; i < targets.size() && i < maxCandidates && !choice.best; ++i) {
        const ViewedTarget& target = *targets[(random + i) % targets.size()];
        if (isEligible(view, target, tried) && !isSuspected(target.record.address.address, now))
            consider(choice, target, now);
    }
    for (std::size_t i = 0; i < targets.size() && !choice.best; ++i) {
        const ViewedTarget& target = *targets[(random + i) % targets.size()];
        if (isEligible(view, target, tried))
            consider(choice, target, now);
    }
    return choice.best;
}

void TransitPlacement::consider(Choice& choice, const ViewedTarget& target, TimePoint now) const
{
    bool isNear = target.record.failureDomain == m_failureDomain;
    std::size_t& compared = isNear ? choice.near : choice.far;
    if (&target == choice.best || compared >= (isNear ? sameDomainCandidates : otherDomainCandidates))
        return;
    ++compared;
    double load = loadOf(target, now);
    if (choice.best && load >= choice.load)
        return;
    choice.best = &target;
    choice.load = load;
}

void TransitPlacement::noteSent(std::uint32_t address) { ++m_estimates[address].sentSince; }

void TransitPlacement::noteLoad(std::uint32_t address, const LoadReport& load)
{
    Estimate& estimate = m_estimates[address];
    estimate.load = load;
    estimate.sentSince = 0;
    estimate.suspectedUntil = {};
}

void TransitPlacement::suspect(std::uint32_t address, TimePoint now)
{
    m_estimates[address].suspectedUntil = now + suspicionTime;
}

void TransitPlacement::noteReturned(std::uint32_t address, TimePoint now)
{
    Estimate& estimate = m_estimates[address];
    Duration avoided = returnBackoff * (std::int64_t { 1 } << std::min(estimate.returned, maxReturnBackoffDoublings));
    estimate.returnsUntil = now + avoided;
    ++estimate.returned;
}

void TransitPlacement::noteTaken(std::uint32_t address)
{
    Estimate& estimate = m_estimates[address];
    estimate.returnsUntil = {};
    estimate.returned = 0;
}

double TransitPlacement::loadOf(const ViewedTarget& target, TimePoint now) const
{
    double load = 0;
    auto found = m_estimates.find(target.record.address.address);
    if (found != m_estimates.end()) {
        const Estimate& estimate = found->second;
        load = (estimate.load.busy + estimate.sentSince + flowWeight * estimate.load.flows)
            / std::max<std::uint32_t>(target.record.slots, 1);
    }
    if (target.record.failureDomain != m_failureDomain)
        load += remoteWeight;
    if (now < target.receivedAt + target.record.coldLeft)
        load += coldWeight;
    return load;
}

bool TransitPlacement::isSuspected(std::uint32_t address, TimePoint now) const
{
    auto found = m_estimates.find(address);
    if (found == m_estimates.end())
        return false;
    return now < found->second.suspectedUntil || now < found->second.returnsUntil;
}

bool TransitPlacement::isEligible(
    const TransitView& view, const ViewedTarget& target, const std::vector<std::uint32_t>& tried) const
{
    if (target.record.isDraining || view.isEvacuated(target.record.failureDomain))
        return false;
    return std::find(tried.begin(), tried.end(), target.record.address.address) == tried.end();
}

} // namespace hawthorncroft
