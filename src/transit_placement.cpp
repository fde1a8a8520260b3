#include "transit_placement_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    /** @return Slots of a target divided by its learned limit; one when the limit is unknown or not below the slots. */
    double slotsPerLimit(const LoadReport& load, std::uint32_t slots)
    {
        return load.limit && load.limit < slots ? static_cast<double>(slots) / load.limit : 1;
    }

}

TransitPlacement::TransitPlacement(std::string failureDomain)
    : m_failureDomain(std::move(failureDomain))
{
}

const TargetEntry* TransitPlacement::choose(const TransitView& view, const std::string& service, const FlowTuple& flow,
    const std::vector<std::uint32_t>& tried, TimePoint now, PlacementTrace* trace) const
{
    const auto& targets = view.targetsOf(service);
    if (targets.empty())
        return nullptr;
    Choice choice { .speeds = speedsOf(targets), .trace = trace };
    std::uint64_t random = hashOf(flow);
    for (std::size_t draw = 0; draw < maxDraws && !choice.isComplete(); ++draw) {
        random = mix64(random);
        const TargetEntry& target = *targets[random % targets.size()];
        if (isEligible(view, target, tried) && !isSuspected(target.record.address.address, now))
            consider(choice, target, PlacementBasis::LowestLoad, now);
    }
    // The draws found no target: few are left, or all are suspected. A scan finds one that is not suspected, and
    // otherwise a suspected one.
    for (std::size_t i = 0; i < targets.size() && i < maxCandidates && !choice.best; ++i) {
        const TargetEntry& target = *targets[(random + i) % targets.size()];
        if (isEligible(view, target, tried) && !isSuspected(target.record.address.address, now))
            consider(choice, target, PlacementBasis::OnlyUsable, now);
    }
    for (std::size_t i = 0; i < targets.size() && !choice.best; ++i) {
        const TargetEntry& target = *targets[(random + i) % targets.size()];
        if (isEligible(view, target, tried))
            consider(choice, target, PlacementBasis::LastResort, now);
    }
    return choice.best;
}

TransitPlacement::SpareTarget TransitPlacement::chooseSpare(const TransitView& view, const std::string& service,
    const FlowTuple& flow, const std::vector<std::uint32_t>& tried, TimePoint now) const
{
    const auto& targets = view.targetsOf(service);
    std::uint64_t first = mix64(hashOf(flow), tried.size());
    Speeds speeds = speedsOf(targets);
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
        double load = loadTermsOf(target, speeds, now).sum();
        if (best.target && load >= lowest)
            continue;
        best = { &target, *found->second.reportedAt };
        lowest = load;
    }
    return best;
}

void TransitPlacement::consider(Choice& choice, const TargetEntry& target, PlacementBasis basis, TimePoint now) const
{
    bool isInSameDomain = target.record.failureDomain == m_failureDomain;
    std::size_t& compared = isInSameDomain ? choice.sameDomainCount
        : isBehindBrokenPath(target)       ? choice.brokenPathCount // Does not replace one that is in reach.
                                           : choice.otherDomainCount;
    if (&target == choice.best || compared >= (isInSameDomain ? sameDomainCandidates : otherDomainCandidates))
        return;
    ++compared;
    if (choice.trace) {
        choice.trace->compared.push_back(&target);
        choice.trace->basis = basis;
    }
    double load = loadTermsOf(target, choice.speeds, now).sum();
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

double TransitPlacement::loadOf(const TransitView& view, const TargetEntry& target, TimePoint now) const
{
    return loadTermsOf(target, speedsOf(view.targetsOf(target.record.service)), now).sum();
}

LoadTerms TransitPlacement::loadTermsOf(const TargetEntry& target, const Speeds& speeds, TimePoint now) const
{
    LoadTerms load;
    auto found = m_estimates.find(target.record.address.address);
    if (found != m_estimates.end()) {
        const Estimate& estimate = found->second;
        std::uint32_t slots = std::max<std::uint32_t>(target.record.slots, 1);
        load.utilisation = static_cast<double>(estimate.load.busy + estimate.sentSinceReport) / slots
            * speeds.slotsPerLimit * relativeTime(estimate, slots, speeds);
    }
    if (target.record.failureDomain != m_failureDomain)
        load.otherDomain = remoteWeight;
    if (isBehindBrokenPath(target))
        load.brokenPath = brokenPathWeight;
    if (isCold(target, now))
        load.cold = coldWeight;
    return load;
}

bool TransitPlacement::isBehindBrokenPath(const TargetEntry& target) const
{
    return std::find(m_brokenDomains.begin(), m_brokenDomains.end(), target.record.failureDomain)
        != m_brokenDomains.end();
}

TransitPlacement::Speeds TransitPlacement::speedsOf(const std::vector<const TargetEntry*>& targets) const
{
    Speeds sum { .timePerSlotUs = 0, .slotsPerLimit = 0 };
    double known = 0;
    // In a large service, targets at equal distances stand for all.
    std::size_t step = (targets.size() + maxComparedSpeeds - 1) / maxComparedSpeeds;
    for (std::size_t i = 0; i < targets.size(); i += step) {
        auto found = m_estimates.find(targets[i]->record.address.address);
        if (found == m_estimates.end() || !found->second.load.serviceTimeUs)
            continue;
        double share = slotsPerLimit(found->second.load, targets[i]->record.slots);
        sum.timePerSlotUs += found->second.load.serviceTimeUs * share;
        sum.slotsPerLimit += share;
        ++known;
    }
    if (known <= 0)
        return {};
    return { .timePerSlotUs = sum.timePerSlotUs / known, .slotsPerLimit = sum.slotsPerLimit / known };
}

double TransitPlacement::relativeTime(const Estimate& estimate, std::uint32_t slots, const Speeds& speeds)
{
    if (!estimate.load.serviceTimeUs || speeds.timePerSlotUs <= 0)
        return 1;
    double relative = estimate.load.serviceTimeUs * slotsPerLimit(estimate.load, slots) / speeds.timePerSlotUs;
    bool isAlike = relative >= 1 / speedDeadZone && relative <= speedDeadZone;
    return isAlike ? 1 : std::clamp(relative, 1 / maxSpeedRatio, maxSpeedRatio);
}

double TransitPlacement::utilisationOf(const TargetEntry& target) const
{
    auto found = m_estimates.find(target.record.address.address);
    if (found == m_estimates.end())
        return 0;
    const Estimate& estimate = found->second;
    std::uint32_t slots = std::max<std::uint32_t>(target.record.slots, 1);
    return static_cast<double>(estimate.load.busy + estimate.sentSinceReport) / slots
        * slotsPerLimit(estimate.load, slots);
}

bool TransitPlacement::isSuspected(std::uint32_t address, TimePoint now) const
{
    auto found = m_estimates.find(address);
    if (found == m_estimates.end())
        return false;
    return now < found->second.suspectedUntil || now < found->second.returnBackoffUntil;
}

bool TransitPlacement::isCold(const TargetEntry& target, TimePoint now)
{
    return now < target.receivedAt + target.record.coldLeft;
}

bool TransitPlacement::isEligible(
    const TransitView& view, const TargetEntry& target, const std::vector<std::uint32_t>& tried) const
{
    if (target.record.isDraining || view.isEvacuated(target.record.failureDomain))
        return false;
    return std::find(tried.begin(), tried.end(), target.record.address.address) == tried.end();
}

} // namespace hawthorncroft
