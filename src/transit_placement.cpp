#include "transit_placement_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

TransitPlacement::TransitPlacement(std::string failureDomain)
    : m_failureDomain(std::move(failureDomain))
{
}

const TargetEntry* TransitPlacement::choose(const TransitView& view, const std::string& service, const FlowTuple& flow,
    const std::vector<std::uint32_t>& tried, TimePoint now) const
{
    const auto& targets = view.targetsOf(service);
    if (targets.empty())
        return nullptr;
    Choice choice;
    std::uint64_t random = hashOf(flow);
    for (std::size_t draw = 0; draw < maxDraws && !choice.isComplete(); ++draw) {
        random = mix64(random);
        const TargetEntry& target = *targets[random % targets.size()];
        if (isEligible(view, target, tried) && !isSuspected(target.record.address.address, now))
            consider(choice, target, now);
    }
    // The draws found no target: few are left, or all are suspected. A scan finds one that is not suspected, and
    // otherwise a suspected one.
    for (std::size_t i = 0; i < targets.size() && i < maxCandidates && !choice.best; ++i) {
        const TargetEntry& target = *targets[(random + i) % targets.size()];
        if (isEligible(view, target, tried) && !isSuspected(target.record.address.address, now))
            consider(choice, target, now);
    }
    for (std::size_t i = 0; i < targets.size() && !choice.best; ++i) {
        const TargetEntry& target = *targets[(random + i) % targets.size()];
        if (isEligible(view, target, tried))
            consider(choice, target, now);
    }
    return choice.best;
}

TransitPlacement::SpareTarget TransitPlacement::chooseSpare(const TransitView& view, const std::string& service,
    const FlowTuple& flow, const std::vector<std::uint32_t>& tried, TimePoint now) const
{
    const auto& targets = view.targetsOf(service);
    std::uint64_t first = mix64(hashOf(flow), tried.size());
    SpareTarget best;
    double lowest = 0;
    for (std::size_t i = 0; i < targets.size() && i < maxCandidates; ++i) {
        const TargetEntry& target = *targets[(first % targets.size() + i) % targets.size()];
        std::uint32_t address = target.record.address.address;
        auto found = m_estimates.find(address);
        if (found == m_estimates.end() || !found->second.reportedAt || found->second.overloadedBusy)
            continue;
        if (!isEligible(view, target, tried) || isSuspected(address, now))
            continue;
        double load = loadOf(target, now);
        if (best.target && load >= lowest)
            continue;
        best = { &target, *found->second.reportedAt };
        lowest = load;
    }
    return best;
}

void TransitPlacement::consider(Choice& choice, const TargetEntry& target, TimePoint now) const
{
    bool isInSameDomain = target.record.failureDomain == m_failureDomain;
    std::size_t& compared = isInSameDomain ? choice.sameDomainCount : choice.otherDomainCount;
    if (&target == choice.best || compared >= (isInSameDomain ? sameDomainCandidates : otherDomainCandidates))
        return;
    ++compared;
    double load = loadOf(target, now);
    if (choice.best && load >= choice.load)
        return;
    choice.best = &target;
    choice.load = load;
}

void TransitPlacement::recordSent(std::uint32_t address) { ++m_estimates[address].sentSinceReport; }

void TransitPlacement::recordLoad(std::uint32_t address, const LoadReport& load, TimePoint now)
{
    Estimate& estimate = m_estimates[address];
    estimate.reportedAt = now;
    if (load.busy <= spareLoadShare * estimate.overloadedBusy)
        estimate.overloadedBusy = 0;
    estimate.load = load;
    estimate.sentSinceReport = 0;
    estimate.suspectedUntil = {};
}

void TransitPlacement::suspect(std::uint32_t address, TimePoint now)
{
    m_estimates[address].suspectedUntil = now + suspicionTime;
}

void TransitPlacement::recordOverloaded(std::uint32_t address, const LoadReport& load)
{
    m_estimates[address].overloadedBusy = std::max<std::uint32_t>(load.busy, 1);
}

void TransitPlacement::recordReturned(std::uint32_t address, TimePoint now)
{
    Estimate& estimate = m_estimates[address];
    Duration backoff
        = returnBackoff * (std::int64_t { 1 } << std::min(estimate.consecutiveReturns, maxReturnBackoffDoublings));
    estimate.returnBackoffUntil = now + backoff;
    ++estimate.consecutiveReturns;
}

void TransitPlacement::recordAccepted(std::uint32_t address)
{
    Estimate& estimate = m_estimates[address];
    estimate.returnBackoffUntil = {};
    estimate.consecutiveReturns = 0;
    estimate.overloadedBusy = 0;
}

double TransitPlacement::loadOf(const TargetEntry& target, TimePoint now) const
{
    double load = utilisationOf(target);
    if (target.record.failureDomain != m_failureDomain)
        load += remoteWeight;
    if (now < target.receivedAt + target.record.coldLeft)
        load += coldWeight;
    return load;
}

double TransitPlacement::utilisationOf(const TargetEntry& target) const
{
    auto found = m_estimates.find(target.record.address.address);
    if (found == m_estimates.end())
        return 0;
    const Estimate& estimate = found->second;
    return static_cast<double>(estimate.load.busy + estimate.sentSinceReport)
        / std::max<std::uint32_t>(target.record.slots, 1);
}

bool TransitPlacement::isSuspected(std::uint32_t address, TimePoint now) const
{
    auto found = m_estimates.find(address);
    if (found == m_estimates.end())
        return false;
    return now < found->second.suspectedUntil || now < found->second.returnBackoffUntil;
}

bool TransitPlacement::isEligible(
    const TransitView& view, const TargetEntry& target, const std::vector<std::uint32_t>& tried) const
{
    if (target.record.isDraining || view.isEvacuated(target.record.failureDomain))
        return false;
    return std::find(tried.begin(), tried.end(), target.record.address.address) == tried.end();
}

} // namespace hawthorncroft
