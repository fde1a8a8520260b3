#include "transit_balancer_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    bool contains(const std::vector<Endpoint>& agents, Endpoint agent)
    {
        return std::find(agents.begin(), agents.end(), agent) != agents.end();
    }

}

void TransitBalancer::forwardData(TransitPacket packet, TimePoint now, TransitEffects& effects)
{
    auto found = m_flows.find(packet.flow);
    if (found == m_flows.end()) {
        startLocate(std::move(packet), now, effects);
        return;
    }
    CachedFlow& cached = found->second;
    cached.usedAt = now;
    if (cached.basis == HolderBasis::Answered && !chooseHolder(cached, packet)) {
        // The caller chose a target whose answer has not reached this balancer, or was lost. The known candidates are
        // not asked: an agent that has restarted cannot tell that its target was not chosen.
        startLocate(std::move(packet), now, effects);
        return;
    }
    effects.push_back(
        SendMessage { cached.holder.agent, ForwardMessage { .replyTo = m_fleet.self(), .packet = std::move(packet) } });
}

bool TransitBalancer::chooseHolder(CachedFlow& cached, const TransitPacket& packet)
{
    if (!packet.flags.hasAcknowledgement)
        return true; // Shows no choice, for example the reset of a caller that has given up.
    bool isHolderChosen = acknowledgesAnswer(packet, cached.holder.targetSequence);
    auto chosen = std::find_if(cached.alternatives.begin(), cached.alternatives.end(),
        [&](const Holder& other) { return acknowledgesAnswer(packet, other.targetSequence); });
    if (!isHolderChosen && chosen == cached.alternatives.end())
        return false;
    if (!isHolderChosen)
        cached.holder = *chosen;
    cached.basis = HolderBasis::Acknowledged;
    cached.alternatives.clear();
    return true;
}

void TransitBalancer::startLocate(TransitPacket packet, TimePoint now, TransitEffects& effects)
{
    auto found = m_locates.find(packet.flow);
    if (found != m_locates.end()) {
        if (found->second.packets.size() < maxPacketsPerLocate)
            found->second.packets.push_back(std::move(packet));
        else
            effects.push_back(CountEvent { TransitCounter::PacketsDropped });
        return;
    }
    if (m_locates.size() >= maxLocates) {
        effects.push_back(CountEvent { TransitCounter::PacketsDropped });
        return;
    }
    FlowTuple flow = packet.flow;
    Locate& locate = m_locates[flow];
    locate.startedAt = now;
    locate.packets.push_back(std::move(packet));
    queryLocators(flow, locate, now, effects);
}

void TransitBalancer::queryLocators(const FlowTuple& flow, Locate& locate, TimePoint now, TransitEffects& effects)
{
    for (std::uint32_t address : m_locators.of(flow))
        queryLocator(agentOf(address), locate, effects);
    if (locate.queried.empty())
        broadcastLocate(flow, locate, possibleHolders(now), now);
}

void TransitBalancer::queryLocator(Endpoint agent, Locate& locate, TransitEffects& effects)
{
    locate.waitingFor.push_back(agent);
    locate.queried.push_back(agent);
    effects.push_back(SendMessage {
        agent, ForwardMessage { .replyTo = m_fleet.self(), .isLocating = true, .packet = locate.packets.front() } });
}

std::vector<Endpoint> TransitBalancer::possibleHolders(TimePoint now) const
{
    std::vector<Endpoint> agents;
    for (const auto& [endpoint, target] : m_fleet.view().targets())
        agents.push_back(agentOf(endpoint.address));
    for (const auto& [endpoint, member] : m_fleet.members()) {
        if (member.role == ProcessRole::Agent && m_fleet.isAlive(endpoint, now))
            agents.push_back(endpoint);
    }
    std::sort(agents.begin(), agents.end());
    agents.erase(std::unique(agents.begin(), agents.end()), agents.end());
    return agents;
}

void TransitBalancer::broadcastLocate(
    const FlowTuple& flow, Locate& locate, std::vector<Endpoint> agents, TimePoint now)
{
    bool isComplete = agents.size() <= maxLocateBroadcast && m_fleet.knowsAllAgents(now);
    std::erase_if(agents, [&](Endpoint agent) { return contains(locate.answered, agent); });
    agents.resize(std::min(agents.size(), maxLocateBroadcast));
    if (!queryAgents(flow, locate, agents))
        return; // The byte budget is used up; the query is tried again at a later tick.
    locate.isBroadcast = true;
    locate.broadcastAt = now;
    locate.retryAt = now + queryRetryInterval;
    locate.isComplete = isComplete && !(agents.empty() && locate.answered.empty() && locate.reportingLocators.empty());
    locate.queried.insert(locate.queried.end(), agents.begin(), agents.end());
    locate.waitingFor = std::move(agents);
}

bool TransitBalancer::queryAgents(const FlowTuple& flow, const Locate& locate, const std::vector<Endpoint>& agents)
{
    bool isRelayed = agents.size() > maxDirectQueries;
    std::size_t bytes = locate.packets.front().bytes.size();
    auto cost = static_cast<std::int64_t>(isRelayed ? bytes + agents.size() * endpointBytes : agents.size() * bytes);
    if (cost > m_locateBytes)
        return false;
    m_locateBytes -= cost;
    if (isRelayed) {
        m_relayedQueries[agents].push_back(flow);
        return true;
    }
    for (Endpoint agent : agents)
        m_queries[agent].push_back(flow);
    return true;
}

void TransitBalancer::refillLocateBytes(Duration elapsed)
{
    std::int64_t perSecond = m_options.linkBytesPerSecond / locateLinkShare;
    m_locateBytes = std::min(perSecond, m_locateBytes + perSecond * elapsed.us / seconds(1).us);
}

void TransitBalancer::sendQueries(TimePoint now, TransitEffects& effects)
{
    // After an outage many flows are unknown at once, so that one message queries an agent for several flows.
    for (const auto& [agent, flows] : m_queries)
        sendQuery(agent, flows, {}, effects);
    m_queries.clear();
    for (const auto& [agents, flows] : std::exchange(m_relayedQueries, {})) {
        auto relay = chooseRelay(now);
        if (!relay)
            return; // No live agent is known yet; the query is sent again after `queryRetryInterval`.
        sendQuery(*relay, flows, agents, effects);
    }
}

void TransitBalancer::sendQuery(
    Endpoint agent, const std::vector<FlowTuple>& flows, const std::vector<Endpoint>& relayTo, TransitEffects& effects)
{
    LocateMessage query { .replyTo = m_fleet.self(), .packets = {}, .relayTo = relayTo };
    for (const auto& flow : flows) {
        auto found = m_locates.find(flow);
        if (found == m_locates.end())
            continue; // The search has ended meanwhile.
        query.packets.push_back(found->second.packets.front());
        if (query.packets.size() < maxFlowsPerQuery)
            continue;
        effects.push_back(SendMessage { agent, query });
        query.packets.clear();
    }
    if (!query.packets.empty())
        effects.push_back(SendMessage { agent, std::move(query) });
}

std::optional<Endpoint> TransitBalancer::chooseRelay(TimePoint now)
{
    std::vector<Endpoint> alive;
    for (const auto& [endpoint, member] : m_fleet.members()) {
        if (member.role == ProcessRole::Agent && m_fleet.isAlive(endpoint, now))
            alive.push_back(endpoint);
    }
    if (alive.empty())
        return std::nullopt;
    return alive[(std::hash<Endpoint> {}(m_fleet.self()) + m_relayRotation++) % alive.size()];
}

void TransitBalancer::onNotHeld(Endpoint from, NotHeldMessage message, TimePoint now, TransitEffects& effects)
{
    FlowTuple flow = message.packet.flow;
    dropCandidate(from, flow, effects);
    auto found = m_locates.find(flow);
    if (found == m_locates.end()) {
        forwardData(std::move(message.packet), now, effects);
        return;
    }
    if (found->second.packets.size() < maxPacketsPerLocate)
        found->second.packets.push_back(std::move(message.packet));
    recordNotHeld(from, flow, now, effects);
}

void TransitBalancer::dropCandidate(Endpoint agent, const FlowTuple& flow, TransitEffects& effects)
{
    auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return;
    CachedFlow& cached = found->second;
    std::erase_if(cached.alternatives, [&](const Holder& other) { return other.agent == agent; });
    if (cached.holder.agent != agent)
        return;
    effects.push_back(WriteLog { "flow_not_held",
        { { "flow", toString(flow.caller) }, { "to", toString(flow.service) }, { "agent", toString(agent) } } });
    if (cached.alternatives.empty()) {
        m_flows.erase(found);
        return;
    }
    cached.holder = cached.alternatives.front();
    cached.alternatives.erase(cached.alternatives.begin());
}

void TransitBalancer::recordNotHeld(Endpoint from, const FlowTuple& flow, TimePoint now, TransitEffects& effects)
{
    auto found = m_locates.find(flow);
    if (found == m_locates.end())
        return; // The search has ended meanwhile.
    Locate& locate = found->second;
    std::erase(locate.waitingFor, from);
    locate.answered.push_back(from);
    if (!locate.waitingFor.empty())
        return;
    if (!locate.isBroadcast && usesDirectQueries(now)) {
        broadcastLocate(flow, locate, possibleHolders(now), now);
        sendImmediateQueries(now, effects);
    }
    finishIfLost(flow, now, effects);
}

bool TransitBalancer::usesDirectQueries(TimePoint now) const
{
    // In a small fleet, querying all agents costs hardly more than querying the locators and does not have to wait for
    // absence reports.
    return possibleHolders(now).size() <= maxDirectQueries;
}

void TransitBalancer::sendImmediateQueries(TimePoint now, TransitEffects& effects)
{
    // Usually a single caller waits for the answer. After an outage there are many, and their queries are batched.
    if (m_immediateQueries++ < maxImmediateQueries)
        sendQueries(now, effects);
}

void TransitBalancer::onAbsenceReport(
    Endpoint from, const AbsenceReportMessage& report, TimePoint now, TransitEffects& effects)
{
    if (report.agentsDigest != m_locators.digest()) {
        effects.push_back(WriteLog { "word_of_other_view",
            { { "agent", toString(from) }, { "flows", static_cast<std::int64_t>(report.flows.size()) } } });
        return; // The views differ in their agents, so that the report may leave out an agent. All agents are queried.
    }
    for (const auto& flow : report.flows) {
        auto found = m_locates.find(flow);
        if (found == m_locates.end())
            continue;
        Locate& locate = found->second;
        if (contains(locate.reportingLocators, from) || !contains(locate.queried, from))
            continue;
        locate.reportingLocators.push_back(from);
        mergeReport(locate, report);
        evaluateReports(flow, now, effects);
    }
}

void TransitBalancer::mergeReport(Locate& locate, const AbsenceReportMessage& report)
{
    // Updates may reach one locator and not the other, so that the less certain status applies.
    for (Endpoint agent : report.unknownAgents) {
        if (!contains(locate.unknownAgents, agent))
            locate.unknownAgents.push_back(agent);
    }
    for (Endpoint agent : report.staleAgents) {
        if (!contains(locate.staleAgents, agent))
            locate.staleAgents.push_back(agent);
    }
    std::erase_if(locate.staleAgents, [&](Endpoint agent) { return contains(locate.unknownAgents, agent); });
}

void TransitBalancer::evaluateReports(const FlowTuple& flow, TimePoint now, TransitEffects& effects)
{
    Locate& locate = m_locates.at(flow);
    bool hasAllReports = locate.reportingLocators.size() >= m_locators.of(flow).size();
    if (!hasAllReports && now < locate.startedAt + absenceReportTimeout)
        return;
    if (!locate.isBroadcast) {
        // If a locator has not reported, all agents are queried. The other locator's report then only decides about
        // agents that do not answer.
        std::vector<Endpoint> agents = hasAllReports ? locate.staleAgents : possibleHolders(now);
        for (Endpoint agent : locate.unknownAgents) {
            if (!contains(agents, agent))
                agents.push_back(agent);
        }
        broadcastLocate(flow, locate, std::move(agents), now);
        sendImmediateQueries(now, effects);
    }
    // An agent that both locators rule out need not answer. A stale agent, or one that only a single locator rules out,
    // is waited for until `staleAgentTimeout`.
    bool isSilent = now >= locate.broadcastAt + staleAgentTimeout;
    std::erase_if(locate.waitingFor, [&](Endpoint agent) {
        bool isRuledOut = hasAllReports && !contains(locate.staleAgents, agent);
        return !contains(locate.unknownAgents, agent) && (isSilent || isRuledOut);
    });
    finishIfLost(flow, now, effects);
}

void TransitBalancer::finishIfLost(const FlowTuple& flow, TimePoint now, TransitEffects& effects)
{
    auto found = m_locates.find(flow);
    if (!found->second.isBroadcast || !found->second.waitingFor.empty())
        return;
    Locate lost = std::move(found->second);
    m_locates.erase(found);
    declareLost(flow, lost, now, effects);
}

void TransitBalancer::finishLocate(
    const FlowTuple& flow, Endpoint holder, bool hasFirstPacket, TimePoint now, TransitEffects& effects)
{
    auto found = m_locates.find(flow);
    Locate locate = std::move(found->second);
    m_locates.erase(found);
    effects.push_back(CountEvent { TransitCounter::FlowsLocated });
    effects.push_back(RecordTime { TransitDistribution::LocateTime, now - locate.startedAt });
    effects.push_back(WriteLog { "flow_located",
        { { "flow", toString(flow.caller) }, { "to", toString(flow.service) }, { "agent", toString(holder) },
            { "asked", static_cast<std::int64_t>(locate.queried.size()) },
            { "took_us", (now - locate.startedAt).us } } });
    for (std::size_t i = hasFirstPacket; i < locate.packets.size(); ++i)
        forwardData(std::move(locate.packets[i]), now, effects);
}

void TransitBalancer::declareLost(const FlowTuple& flow, const Locate& locate, TimePoint now, TransitEffects& effects)
{
    effects.push_back(WriteLog { locate.isComplete ? "flow_lost" : "locate_incomplete",
        { { "flow", toString(flow.caller) }, { "to", toString(flow.service) },
            { "asked", static_cast<std::int64_t>(locate.queried.size()) },
            { "answered", static_cast<std::int64_t>(locate.answered.size()) },
            { "vouchers", static_cast<std::int64_t>(locate.reportingLocators.size()) },
            { "revision", static_cast<std::int64_t>(m_fleet.view().through().revision.value) },
            { "took_us", (now - locate.startedAt).us } } });
    bool hasGivenUp = std::any_of(
        locate.packets.begin(), locate.packets.end(), [](const auto& each) { return each.flags.isReset; });
    auto last = std::find_if(
        locate.packets.rbegin(), locate.packets.rend(), [](const auto& each) { return each.flags.hasAcknowledgement; });
    // Without an acknowledgement of the caller there is no sequence number that it would accept.
    if (!locate.isComplete || hasGivenUp || last == locate.packets.rend()) {
        effects.push_back(CountEvent { TransitCounter::LocatesUnanswered });
        return;
    }
    // No target holds the flow. The reset lets the caller reconnect without waiting for its timeout.
    effects.push_back(CountEvent { TransitCounter::FlowsLost });
    effects.push_back(ResetCaller { flow, last->acknowledged });
}

void TransitBalancer::tickLocates(TimePoint now, TransitEffects& effects)
{
    m_immediateQueries = 0;
    if (m_locates.empty())
        return; // Usual case; avoids the scan of all agents below.
    Duration broadcastDelay = usesDirectQueries(now) ? locateBroadcastDelay : absenceReportTimeout;
    std::vector<FlowTuple> reported;
    for (auto entry = m_locates.begin(); entry != m_locates.end();) {
        Locate& locate = entry->second;
        if (now >= locate.startedAt + locateTimeout) {
            abandonLocate(entry->first, locate, effects);
            entry = m_locates.erase(entry);
            continue;
        }
        if (!locate.reportingLocators.empty() && now >= locate.startedAt + absenceReportTimeout)
            reported.push_back(entry->first);
        else if (!locate.isBroadcast && now >= locate.startedAt + broadcastDelay)
            broadcastLocate(entry->first, locate, possibleHolders(now), now);
        // An agent may have started meanwhile. After an outage all agents start within some hundred milliseconds.
        bool isRetried
            = locate.isBroadcast && now >= locate.retryAt && queryAgents(entry->first, locate, locate.waitingFor);
        if (isRetried)
            locate.retryAt = now + queryRetryInterval;
        ++entry;
    }
    for (const auto& flow : reported)
        evaluateReports(flow, now, effects);
    sendQueries(now, effects);
}

void TransitBalancer::abandonLocate(const FlowTuple& flow, const Locate& locate, TransitEffects& effects)
{
    effects.push_back(CountEvent { TransitCounter::LocatesUnanswered });
    effects.push_back(WriteLog { "locate_unanswered",
        { { "flow", toString(flow.caller) }, { "to", toString(flow.service) },
            { "asked", static_cast<std::int64_t>(locate.queried.size()) },
            { "vouchers", static_cast<std::int64_t>(locate.reportingLocators.size()) },
            { "silent", static_cast<std::int64_t>(locate.waitingFor.size()) },
            { "first_silent", locate.waitingFor.empty() ? std::string() : toString(locate.waitingFor.front()) } } });
}

} // namespace hawthorncroft
