#include "transit_balancer_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    FleetOptions fleetOptionsOf(const TransitBalancerOptions& options)
    {
        FleetOptions fleet = options.fleet;
        fleet.linkBytesPerSecond = options.linkBytesPerSecond;
        return fleet;
    }

}

TransitBalancer::TransitBalancer(TransitBalancerOptions options)
    : TransitCore(fleetOptionsOf(options))
    , m_options(std::move(options))
    , m_placement(m_options.failureDomain)
    , m_entry({ .self = m_options.fleet.self,
          .linkBytesPerSecond = m_options.linkBytesPerSecond,
          .processorMillis = m_options.processorMillis,
          .isFlowHashStable = m_options.isFlowHashStable,
          .isEnabled = m_options.entryRotation,
          .grace = m_options.grace })
    , m_retryBudget({ .atStart = openRetryReserve, .reserve = openRetryReserve, .refillPerSecond = openRetryRefill })
    , m_locateBytes(m_options.linkBytesPerSecond / locateLinkShare)
{
}

void TransitBalancer::onTick(TimePoint now, TransitEffects& effects)
{
    std::size_t firstEffect = effects.size();
    m_fleet.onTick(now, {}, effects);
    m_placement.setBrokenDomains(m_fleet.domainsBehindBrokenPaths());
    releaseWaitingPackets(now, effects);
    // After a late tick, answers that are waiting in the sockets have to be read before timeouts are evaluated.
    bool isLate = m_lastTickAt && now >= *m_lastTickAt + lateTickThreshold;
    refillLocateBytes(m_lastTickAt ? now - *m_lastTickAt : Duration {});
    m_caughtUpAt = m_lastTickAt.value_or(now); // What has arrived since the last tick may still wait in the sockets.
    m_lastTickAt = now;
    if (!isLate) {
        retryOpens(now, effects);
        tickLocates(now, effects);
    }
    if (now >= m_nextSweepAt) {
        m_nextSweepAt = now + seconds(5);
        sweepFlows(now);
    }
    recordSentPackets(std::span(effects).subspan(firstEffect), now);
    if (now >= m_nextEntryUpdateAt)
        updateEntry(now, effects);
    if (m_stoppedAt && !m_leftRotationAt && mayLeaveRotation(now))
        leaveRotation(now, effects);
    if (isReady() != m_wasReady) {
        m_wasReady = isReady();
        m_fleet.setReady(m_wasReady, now, effects);
        effects.push_back(WriteLog { "ready",
            { { "is_ready", static_cast<std::int64_t>(m_wasReady) },
                { "revision", static_cast<std::int64_t>(m_fleet.view().through().revision.value) },
                { "targets", static_cast<std::int64_t>(m_fleet.view().targets().size()) } } });
    }
}

void TransitBalancer::onPacket(TransitPacket packet, TimePoint now, TransitEffects& effects)
{
    effects.push_back(CountEvent { TransitCounter::PacketsFromCallers });
    m_entry.meter().recordReceived(packet.bytes.size() + static_cast<std::size_t>(datagramHeaderBytes), now);
    if (m_fleet.view().hasConfiguration()) {
        std::size_t firstEffect = effects.size();
        handlePacket(std::move(packet), m_caughtUpAt, now, effects);
        recordSentPackets(std::span(effects).subspan(firstEffect), now);
        return;
    }
    if (m_waitingPackets.size() >= maxWaitingPackets) {
        m_waitingPackets.pop_front();
        effects.push_back(CountEvent { TransitCounter::PacketsDropped });
    }
    m_waitingPackets.emplace_back(m_caughtUpAt, std::move(packet));
}

void TransitBalancer::onMessage(Endpoint from, Message message, TimePoint now, TransitEffects& effects)
{
    std::size_t firstEffect = effects.size();
    handleMessage(from, std::move(message), now, effects);
    recordSentPackets(std::span(effects).subspan(firstEffect), now);
}

void TransitBalancer::handleMessage(Endpoint from, Message message, TimePoint now, TransitEffects& effects)
{
    effects.push_back(CountEvent { TransitCounter::MessagesIn });
    m_fleet.recordContact(from, message.through, now, effects);
    if (auto* held = std::get_if<HeldMessage>(&message.body)) {
        onHeld(from, *held, now, effects);
    } else if (auto* declined = std::get_if<DeclinedMessage>(&message.body)) {
        onDeclined(from, std::move(*declined), now, effects);
    } else if (auto* notHeld = std::get_if<NotHeldMessage>(&message.body)) {
        onNotHeld(from, std::move(*notHeld), now, effects);
    } else if (auto* flows = std::get_if<NotHeldFlowsMessage>(&message.body)) {
        for (const auto& flow : flows->flows)
            recordNotHeld(from, flow, now, effects);
    } else if (auto* report = std::get_if<AbsenceReportMessage>(&message.body)) {
        onAbsenceReport(from, *report, now, effects);
    } else if (auto* stamp = std::get_if<StampMessage>(&message.body)) {
        m_fleet.onStamp(from, message.through, *stamp, now, effects);
        if (stamp->role == ProcessRole::Agent)
            m_placement.recordLoad(from.address, stamp->load, now);
    } else if (auto* delta = std::get_if<DeltaMessage>(&message.body)) {
        if (m_fleet.onDelta(from, *delta, now, effects))
            onViewChanged(now, effects);
    } else if (std::get_if<LeavingMessage>(&message.body)) {
        m_fleet.onLeaving(from, effects);
        m_placement.suspect(from.address, now);
    }
    // Forwarded packets, queries and inventory updates are meant for agents. A balancer receives them if its address
    // was previously used by an agent.
}

void TransitBalancer::onStop(TimePoint now, TransitEffects& effects)
{
    if (m_stoppedAt)
        return;
    m_stoppedAt = now;
    effects.push_back(WriteLog {
        "stopping", { { "drain_ms", drainTime.us / 1000 }, { "flows", static_cast<std::int64_t>(m_flows.size()) } } });
    m_entry.stop(now);
    updateEntry(now, effects);
    if (mayLeaveRotation(now))
        leaveRotation(now, effects);
    else
        m_fleet.sendEntryStamps(now, effects); // The others learn that this one is about to leave.
}

bool TransitBalancer::isReady() const
{
    bool isInRotation = !m_options.entryRotation || m_entry.isReady();
    return isInRotation && !m_leftRotationAt && m_fleet.view().hasConfiguration();
}

bool TransitBalancer::isFinished(TimePoint now) const
{
    return m_leftRotationAt && now >= *m_leftRotationAt + drainTime;
}

std::optional<Endpoint> TransitBalancer::holderOf(const FlowTuple& flow) const
{
    auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return std::nullopt;
    return found->second.holder.agent;
}

void TransitBalancer::handlePacket(TransitPacket packet, TimePoint arrivedAfter, TimePoint now, TransitEffects& effects)
{
    const RouteRecord* route = m_fleet.view().routeAt(packet.flow.service);
    bool isOpening = packet.flags.asksForFlow();
    // A flow may already be open by a route that other processes know and this one does not. Only a route that is known
    // to have been dropped ends it.
    bool isRefused = !route && (isOpening || m_fleet.view().wasRouteDropped(packet.flow.service));
    if (isRefused) {
        effects.push_back(CountEvent { TransitCounter::NoRoute });
        if (isOpening)
            refuseUnlessOpen(packet, { .arrivedAfter = arrivedAfter }, "no_route", 0, now, effects);
        else
            refuseOpen(packet, "no_route", 0, now, effects);
        return;
    }
    if (isOpening)
        openFlow(std::move(packet), *route, arrivedAfter, now, effects);
    else
        forwardData(std::move(packet), now, effects);
}

void TransitBalancer::onViewChanged(TimePoint now, TransitEffects& effects)
{
    m_locators = TransitLocators(m_fleet.view());
    m_fleet.addAgents(m_options.fleetPort, now);
    releaseWaitingPackets(now, effects);
}

void TransitBalancer::releaseWaitingPackets(TimePoint now, TransitEffects& effects)
{
    while (!m_waitingPackets.empty() && now >= m_waitingPackets.front().first + maxWaitForView) {
        m_waitingPackets.pop_front();
        effects.push_back(CountEvent { TransitCounter::PacketsDropped });
    }
    if (m_waitingPackets.empty() || !m_fleet.view().hasConfiguration())
        return;
    auto waiting = std::move(m_waitingPackets);
    m_waitingPackets.clear();
    for (auto& [arrivedAfter, packet] : waiting)
        handlePacket(std::move(packet), arrivedAfter, now, effects);
}

void TransitBalancer::sweepFlows(TimePoint now)
{
    std::erase_if(m_flows, [&](const auto& entry) { return now >= entry.second.usedAt + flowIdleLimit; });
}

void TransitBalancer::cacheHolder(const FlowTuple& flow, Holder holder, bool isOpening, TimePoint now)
{
    HolderBasis basis = isOpening ? HolderBasis::Answered : HolderBasis::Reported;
    auto found = m_flows.find(flow);
    if (found == m_flows.end()) {
        if (m_flows.size() >= maxCachedFlows)
            m_flows.erase(m_flows.begin());
        m_flows[flow] = { .holder = holder, .basis = basis, .alternatives = {}, .usedAt = now };
        return;
    }
    CachedFlow& cached = found->second;
    cached.usedAt = now;
    bool isOther = cached.holder.agent != holder.agent;
    if (isOpening && cached.basis == HolderBasis::Answered)
        addCandidate(cached, holder);
    else if (!isOpening && !(isOther && cached.basis == HolderBasis::Acknowledged))
        cached = { .holder = holder, .basis = basis, .alternatives = {}, .usedAt = now };
    // Other answers come late: the flow has a holder that the caller has chosen or that reported it.
}

void TransitBalancer::addCandidate(CachedFlow& cached, Holder holder)
{
    if (cached.holder.agent == holder.agent) {
        cached.holder = holder;
        return;
    }
    auto& others = cached.alternatives;
    auto known
        = std::find_if(others.begin(), others.end(), [&](const Holder& other) { return other.agent == holder.agent; });
    if (known != others.end())
        *known = holder;
    else if (others.size() < maxHoldersOfFlow) // Beyond it, the locators find a holder that the caller chooses.
        others.push_back(holder);
}

} // namespace hawthorncroft
