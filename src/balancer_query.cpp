#include "balancer_base.h"
#include "name_table_type.h"
#include "table/balancer_names.h"
#include "table/balancer_times.h"
#include "table/service_times.h"

#include <algorithm>

namespace hawthorncroft {

std::string_view nameOf(BalancerCounter counter) { return lookUpName(balancerCounterNames, counter); }

std::string_view nameOf(BalancerCore::Eligibility eligibility) { return lookUpName(eligibilityNames, eligibility); }

BalancerCore::Eligibility BalancerCore::eligibilityOf(TimePoint now, TargetId id) const
{
    const TargetConfig* target = m_view.target(id);
    if (!target)
        return Eligibility::Unknown;
    if (m_view.isOutOfService(*target))
        return Eligibility::Out;
    if (m_view.isLeaving(target->vm))
        return Eligibility::Leaving;
    auto hint = m_hints.find(id);
    if (hint == m_hints.end())
        return Eligibility::Eligible;
    if (hint->second.refusesWork(now))
        return Eligibility::Refusing;
    return hint->second.isSuspected(now) ? Eligibility::Suspected : Eligibility::Eligible;
}

BalancerCore::Choice BalancerCore::choose(TimePoint now, ServiceId service, const Packet& open) const
{
    std::array<TargetId, ranksConsidered> ranks {};
    std::size_t found = m_view.ranksOf(service).rank(open.key, ranks);
    std::array<const TargetConfig*, ranksConsidered> ready {};
    std::size_t readyCount = 0;
    TimePoint busyUntil;
    // Stops once enough targets are found: most opens then examine only the first ranks, which keeps their cost low.
    std::size_t wanted = open.attempt + ranksCompared;
    for (std::size_t i = 0; i < found && readyCount < wanted; ++i) {
        if (eligibilityOf(now, ranks[i]) != Eligibility::Eligible)
            continue;
        auto hint = m_hints.find(ranks[i]);
        if (hint != m_hints.end() && hint->second.busyUntil() > now) {
            busyUntil = busyUntil.us ? std::min(busyUntil, hint->second.busyUntil()) : hint->second.busyUntil();
            continue;
        }
        ready[readyCount++] = m_view.target(ranks[i]);
    }
    if (!readyCount)
        return { .busyUntil = busyUntil };
    std::size_t first = open.attempt % readyCount;
    std::size_t second = (first + 1) % readyCount;
    return { .target = lessLoaded(now, ready[first], ready[second], open.flowKind) };
}

const TargetConfig* BalancerCore::lessLoaded(
    TimePoint now, const TargetConfig* first, const TargetConfig* second, FlowKind kind) const
{
    auto firstLoad = loadOf(now, first->id, kind);
    auto secondLoad = loadOf(now, second->id, kind);
    // Load is compared only when both targets have a recent report. A target without one is chosen by rank, because
    // without opens its agent would send no replies and so no new report.
    if (!firstLoad || !secondLoad)
        return first;
    return *secondLoad < *firstLoad ? second : first;
}

std::optional<std::uint32_t> BalancerCore::loadOf(TimePoint now, TargetId id, FlowKind kind) const
{
    auto hint = m_hints.find(id);
    const TargetConfig* target = m_view.target(id);
    if (hint == m_hints.end() || !target)
        return std::nullopt;
    std::uint32_t weight = kind == FlowKind::Request ? target->slots : target->connections;
    return hint->second.estimatedLoad(now, kind, weight);
}

Duration BalancerCore::loadAge(TimePoint now, TargetId id, FlowKind kind) const
{
    auto hint = m_hints.find(id);
    bool isKnown = hint != m_hints.end() && hint->second.loadReportedAt(kind).us;
    return isKnown ? now - hint->second.loadReportedAt(kind) : Duration {};
}

TargetId BalancerCore::preferredTarget(TimePoint now, ServiceId service, const FlowKey& key) const
{
    Packet open;
    open.kind = PacketKind::Open;
    open.key = key;
    Choice choice = choose(now, service, open);
    return choice.target ? choice.target->id : TargetId();
}

bool BalancerCore::isOutBeyondGrace(TimePoint now, const TargetConfig& target, const Binding& binding) const
{
    auto isBeyondGrace = [&](const std::string& name) {
        auto out = m_outOfService.find(name);
        if (out == m_outOfService.end() || now - out->second.since < outOfServiceGrace)
            return false;
        // An agent that admitted the flow under a later configuration is in service again; this balancer's view is
        // older.
        return binding.revision < out->second.revision;
    };
    return isBeyondGrace(target.failureDomain) || isBeyondGrace(target.vm);
}

} // namespace hawthorncroft
