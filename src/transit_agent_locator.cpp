#include "transit_agent_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

InventoryState TransitAgent::inventoryState() const
{
    return {
        .isComplete = m_knowsAllFlows,
        .isFinal = m_stoppedAt.has_value(),
        .isRegistered = m_admission.ownEntry(m_fleet.view()) != nullptr,
    };
}

void TransitAgent::sendInventoryMessages(InventoryMessages messages, TransitEffects& effects)
{
    for (auto& message : messages)
        effects.push_back(SendMessage { agentOf(message.locator), std::move(message.body) });
}

void TransitAgent::announceFlow(HeldFlow& held, const FlowTuple& flow, TimePoint now, TransitEffects& effects)
{
    if (held.isAnnounced)
        return;
    held.isAnnounced = true;
    sendInventoryMessages(m_streams.announce(flow, inventoryState(), now), effects);
}

void TransitAgent::sendSnapshots(TimePoint now, TransitEffects& effects)
{
    if (!m_streams.needsSnapshots())
        return;
    std::vector<FlowTuple> held;
    for (auto& [flow, state] : m_flows) {
        if (state.state == FlowState::Ended)
            continue;
        state.isAnnounced = true;
        held.push_back(flow);
    }
    sendInventoryMessages(m_streams.snapshots(held, inventoryState(), now), effects);
}

void TransitAgent::resyncLocator(Endpoint from, TimePoint now, TransitEffects& effects)
{
    m_streams.restart(from.address);
    sendSnapshots(now, effects);
}

void TransitAgent::onInventoryUpdate(
    Endpoint from, const InventoryUpdateMessage& update, TimePoint now, TransitEffects& effects)
{
    auto answer = m_records.apply(from, update, now);
    if (auto* ack = std::get_if<InventoryAckMessage>(&answer))
        effects.push_back(SendMessage { from, *ack });
    if (!std::get_if<InventoryResyncMessage>(&answer))
        return;
    effects.push_back(WriteLog { "notes_missing",
        { { "agent", toString(from) }, { "stream", static_cast<std::int64_t>(update.stream) },
            { "sequence", static_cast<std::int64_t>(update.sequence) } } });
    effects.push_back(SendMessage { from, InventoryResyncMessage {} });
}

std::set<std::string_view> TransitAgent::liveDomains(TimePoint now) const
{
    std::set<std::string_view> domains;
    for (const auto& [endpoint, target] : m_fleet.view().targets()) {
        if (m_records.wasHeardWithin(agentOf(endpoint.address), inventoryLease, now))
            domains.insert(target.record.failureDomain);
    }
    return domains;
}

AbsenceReportMessage TransitAgent::absenceReport(const FlowTuple& flow, TimePoint now) const
{
    std::set<Endpoint> agents;
    std::set<Endpoint> unreachable; // No agent of their failure domain is live; the domain may be partitioned, keep
                                    // running and restart agents.
    auto domains = liveDomains(now);
    for (const auto& [endpoint, target] : m_fleet.view().targets()) {
        agents.insert(agentOf(endpoint.address));
        if (!domains.contains(target.record.failureDomain))
            unreachable.insert(agentOf(endpoint.address));
    }
    for (Endpoint agent : m_records.liveAgents(now))
        agents.insert(agent);
    std::set<Endpoint> holders;
    for (Endpoint holder : m_records.holdersOf(flow)) {
        holders.insert(holder);
        // A holder whose target's entry has lapsed and that sends nothing any more has ended.
        if (m_records.wasHeardWithin(holder, memberLifetime, now))
            agents.insert(holder);
    }
    AbsenceReportMessage report {
        .flows = {}, .agentsDigest = m_locators.digest(), .unknownAgents = {}, .staleAgents = {}
    };
    for (Endpoint agent : agents) {
        auto status = m_records.statusOf(agent, flow, now);
        if (unreachable.contains(agent) || holders.contains(agent))
            status = HolderStatus::Unknown;
        if (agent == m_fleet.self())
            status = m_knowsAllFlows ? HolderStatus::RuledOut : HolderStatus::Unknown;
        if (status == HolderStatus::Unknown)
            report.unknownAgents.push_back(agent);
        else if (status == HolderStatus::Stale)
            report.staleAgents.push_back(agent);
    }
    return report;
}

void TransitAgent::scheduleAbsenceReport(const ForwardMessage& query, TimePoint now, TransitEffects& effects)
{
    if (m_pendingAbsenceReports.size() >= maxLocates) {
        effects.push_back(CountEvent { TransitCounter::PacketsDropped });
        return;
    }
    // A conclusive report is delayed until inventory updates in transit have arrived. With an inconclusive one the
    // balancer queries other agents anyway, so it is sent without delay.
    AbsenceReportMessage report = absenceReport(query.packet.flow, now);
    bool isInconclusive = !report.unknownAgents.empty() || !report.staleAgents.empty();
    PendingAbsenceReport pending { now + (isInconclusive ? Duration {} : absenceReportDelay), query.replyTo,
        query.packet.flow };
    auto position = std::find_if(m_pendingAbsenceReports.rbegin(), m_pendingAbsenceReports.rend(),
        [&](const PendingAbsenceReport& other) { return other.dueAt <= pending.dueAt; });
    m_pendingAbsenceReports.insert(position.base(), pending);
    if (isInconclusive && m_immediateReplies < maxImmediateReplies) {
        ++m_immediateReplies;
        sendDueAbsenceReports(now, effects);
    }
}

void TransitAgent::sendDueAbsenceReports(TimePoint now, TransitEffects& effects)
{
    // After an outage many flows are queried at once; flows with the same report share one message per balancer.
    using CandidateAgents = std::pair<std::vector<Endpoint>, std::vector<Endpoint>>;
    std::map<std::pair<Endpoint, CandidateAgents>, std::vector<FlowTuple>> flowsByReport;
    while (!m_pendingAbsenceReports.empty() && m_pendingAbsenceReports.front().dueAt <= now) {
        PendingAbsenceReport pending = m_pendingAbsenceReports.front();
        m_pendingAbsenceReports.pop_front();
        AbsenceReportMessage report = absenceReport(pending.flow, now);
        if (report.unknownAgents.size() + report.staleAgents.size() <= maxLocateBroadcast)
            flowsByReport[{ pending.balancer, { std::move(report.unknownAgents), std::move(report.staleAgents) } }]
                .push_back(pending.flow);
    }
    for (auto& [to, flows] : flowsByReport) {
        effects.push_back(SendMessage { to.first,
            AbsenceReportMessage { .flows = std::move(flows),
                .agentsDigest = m_locators.digest(),
                .unknownAgents = to.second.first,
                .staleAgents = to.second.second } });
    }
}

void TransitAgent::tickLocator(TimePoint now, TransitEffects& effects)
{
    sendDueAbsenceReports(now, effects);
    m_streams.renew(now);
    sendSnapshots(now, effects);
    sendInventoryMessages(m_streams.heartbeats(inventoryState(), now), effects);
}

} // namespace hawthorncroft
