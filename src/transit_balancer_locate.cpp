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
    if (cached.second.agent) {
        // Two targets answered the opening packet; the caller acknowledges the one that it chose.
        if (acknowledgesAnswer(packet, cached.second.targetSequence))
            cached.holder = cached.second;
        cached.second = {};
    }
    effects.push_back(
        SendMessage { cached.holder.agent, ForwardMessage { .replyTo = m_fleet.self(), .packet = std::move(packet) } });
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
    askLocators(flow, locate, now, effects);
}

void TransitBalancer::askLocators(const FlowTuple& flow, Locate& locate, TimePoint now, TransitEffects& effects)
{
    for (std::uint32_t address : m_locators.of(flow))
        askAgent(agentOf(address), locate, effects);
    if (locate.asked.empty())
        broadcastLocate(flow, locate, agentsThatMayHold(now), now);
}

void TransitBalancer::askAgent(Endpoint agent, Locate& locate, TransitEffects& effects)
{
    locate.waitingFor.push_back(agent);
    locate.asked.push_back(agent);
    effects.push_back(SendMessage {
        agent, ForwardMessage { .replyTo = m_fleet.self(), .isLocating = true, .packet = locate.packets.front() } });
}

std::vector<Endpoint> TransitBalancer::agentsThatMayHold(TimePoint now) const
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
    bool isComplete = agents.size() <= maxLocateBroadcast;
    std::erase_if(agents, [&](Endpoint agent) { return contains(locate.answered, agent); });
    agents.resize(std::min(agents.size(), maxLocateBroadcast));
    if (!askAgents(flow, locate, agents))
        return; // Asked with a later tick, while the caller repeats its packet.
    locate.isBroadcast = true;
    locate.askedAt = now;
    locate.repeatAt = now + askAgainAfter;
    locate.isComplete = isComplete && !(agents.empty() && locate.answered.empty() && locate.vouchers.empty());
    locate.asked.insert(locate.asked.end(), agents.begin(), agents.end());
    locate.waitingFor = std::move(agents);
}

bool TransitBalancer::askAgents(const FlowTuple& flow, const Locate& locate, const std::vector<Endpoint>& agents)
{
    bool isRelayed = agents.size() > maxDirectQuestions;
    std::size_t bytes = locate.packets.front().bytes.size();
    auto cost = static_cast<std::int64_t>(isRelayed ? bytes + agents.size() * endpointBytes : agents.size() * bytes);
    if (cost > m_locateBytes)
        return false;
    m_locateBytes -= cost;
    if (isRelayed) {
        m_relayed[agents].push_back(flow);
        return true;
    }
    for (Endpoint agent : agents)
        m_questions[agent].push_back(flow);
    return true;
}

void TransitBalancer::refillLocateBytes(Duration elapsed)
{
    std::int64_t perSecond = m_options.linkBytesPerSecond / locateLinkShare;
    m_locateBytes = std::min(perSecond, m_locateBytes + perSecond * elapsed.us / seconds(1).us);
}

void TransitBalancer::sendQuestions(TimePoint now, TransitEffects& effects)
{
    // After an outage many flows are unknown at once; one message asks an agent for several.
    for (const auto& [agent, flows] : m_questions)
        sendQuestion(agent, flows, {}, effects);
    m_questions.clear();
    for (const auto& [agents, flows] : std::exchange(m_relayed, {})) {
        auto relay = chooseRelay(now);
        if (!relay)
            return; // No agent was heard of yet; asked again with the caller's next copy.
        sendQuestion(*relay, flows, agents, effects);
    }
}

void TransitBalancer::sendQuestion(
    Endpoint agent, const std::vector<FlowTuple>& flows, const std::vector<Endpoint>& relayTo, TransitEffects& effects)
{
    LocateMessage question { .replyTo = m_fleet.self(), .packets = {}, .relayTo = relayTo };
    for (const auto& flow : flows) {
        auto found = m_locates.find(flow);
        if (found == m_locates.end())
            continue; // Located or given up meanwhile.
        question.packets.push_back(found->second.packets.front());
        if (question.packets.size() < maxFlowsInQuestion)
            continue;
        effects.push_back(SendMessage { agent, question });
        question.packets.clear();
    }
    if (!question.packets.empty())
        effects.push_back(SendMessage { agent, std::move(question) });
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
    return alive[(std::hash<Endpoint> {}(m_fleet.self()) + m_nextRelay++) % alive.size()];
}

void TransitBalancer::onNotHeld(Endpoint from, NotHeldMessage message, TimePoint now, TransitEffects& effects)
{
    FlowTuple flow = message.packet.flow;
    auto cached = m_flows.find(flow);
    if (cached != m_flows.end() && cached->second.holder.agent == from) {
        effects.push_back(WriteLog { "flow_not_held",
            { { "flow", toString(flow.caller) }, { "to", toString(flow.service) }, { "agent", toString(from) } } });
        if (cached->second.second.agent) {
            cached->second.holder = cached->second.second;
            cached->second.second = {};
        } else {
            m_flows.erase(cached);
        }
    }
    auto found = m_locates.find(flow);
    if (found == m_locates.end()) {
        forwardData(std::move(message.packet), now, effects);
        return;
    }
    if (found->second.packets.size() < maxPacketsPerLocate)
        found->second.packets.push_back(std::move(message.packet));
    noteNotHeld(from, flow, now, effects);
}

void TransitBalancer::noteNotHeld(Endpoint from, const FlowTuple& flow, TimePoint now, TransitEffects& effects)
{
    auto found = m_locates.find(flow);
    if (found == m_locates.end())
        return; // Located or given up meanwhile.
    Locate& locate = found->second;
    std::erase(locate.waitingFor, from);
    locate.answered.push_back(from);
    if (!locate.waitingFor.empty())
        return;
    if (!locate.isBroadcast && asksDirectly(now)) {
        broadcastLocate(flow, locate, agentsThatMayHold(now), now);
        sendPromptQuestions(now, effects);
    }
    endIfLost(flow, now, effects);
}

bool TransitBalancer::asksDirectly(TimePoint now) const
{
    // In a small fleet asking all costs hardly more than asking the locators, and needs no wait for their word.
    return agentsThatMayHold(now).size() <= maxDirectQuestions;
}

void TransitBalancer::sendPromptQuestions(TimePoint now, TransitEffects& effects)
{
    // A single caller waits for the answer; after an outage there are many, which are asked for together.
    if (m_promptQuestions++ < maxPromptQuestions)
        sendQuestions(now, effects);
}

void TransitBalancer::onVouch(Endpoint from, const AbsenceReportMessage& word, TimePoint now, TransitEffects& effects)
{
    if (word.agentsDigest != m_locators.digest()) {
        effects.push_back(WriteLog { "word_of_other_view",
            { { "agent", toString(from) }, { "flows", static_cast<std::int64_t>(word.flows.size()) } } });
        return; // One of the two knows an agent that the other does not know; all are asked.
    }
    for (const auto& flow : word.flows) {
        auto found = m_locates.find(flow);
        if (found == m_locates.end())
            continue;
        Locate& locate = found->second;
        if (contains(locate.vouchers, from) || !contains(locate.asked, from))
            continue;
        locate.vouchers.push_back(from);
        takeWord(locate, word);
        considerWords(flow, now, effects);
    }
}

void TransitBalancer::takeWord(Locate& locate, const AbsenceReportMessage& word)
{
    // Notes to one locator may be held up while another gets them, so that the greater doubt counts.
    for (Endpoint agent : word.unknownAgents) {
        if (!contains(locate.unknownAgents, agent))
            locate.unknownAgents.push_back(agent);
    }
    for (Endpoint agent : word.staleAgents) {
        if (!contains(locate.staleAgents, agent))
            locate.staleAgents.push_back(agent);
    }
    std::erase_if(locate.staleAgents, [&](Endpoint agent) { return contains(locate.unknownAgents, agent); });
}

void TransitBalancer::considerWords(const FlowTuple& flow, TimePoint now, TransitEffects& effects)
{
    Locate& locate = m_locates.at(flow);
    bool isEach = locate.vouchers.size() >= m_locators.of(flow).size();
    if (!isEach && now < locate.startedAt + vouchWait)
        return;
    if (!locate.isBroadcast) {
        // The word of one locator alone decides only about agents that do not answer.
        std::vector<Endpoint> agents = isEach ? locate.staleAgents : agentsThatMayHold(now);
        for (Endpoint agent : locate.unknownAgents) {
            if (!contains(agents, agent))
                agents.push_back(agent);
        }
        broadcastLocate(flow, locate, std::move(agents), now);
        sendPromptQuestions(now, effects);
    }
    // An agent that does not answer this balancer either need not do so when its flows are known.
    bool isSilent = now >= locate.askedAt + silentWait;
    std::erase_if(locate.waitingFor, [&](Endpoint agent) {
        bool isCertain = isEach && !contains(locate.staleAgents, agent);
        return !contains(locate.unknownAgents, agent) && (isSilent || isCertain);
    });
    endIfLost(flow, now, effects);
}

void TransitBalancer::endIfLost(const FlowTuple& flow, TimePoint now, TransitEffects& effects)
{
    auto found = m_locates.find(flow);
    if (!found->second.isBroadcast || !found->second.waitingFor.empty())
        return;
    Locate lost = std::move(found->second);
    m_locates.erase(found);
    declareLost(flow, lost, now, effects);
}

void TransitBalancer::finishLocate(const FlowTuple& flow, Endpoint holder, TimePoint now, TransitEffects& effects)
{
    auto found = m_locates.find(flow);
    Locate locate = std::move(found->second);
    m_locates.erase(found);
    effects.push_back(CountEvent { TransitCounter::FlowsLocated });
    effects.push_back(RecordTime { TransitDistribution::LocateTime, now - locate.startedAt });
    effects.push_back(WriteLog { "flow_located",
        { { "flow", toString(flow.caller) }, { "to", toString(flow.service) }, { "agent", toString(holder) },
            { "asked", static_cast<std::int64_t>(locate.asked.size()) },
            { "took_us", (now - locate.startedAt).us } } });
    // The first packet went with the question.
    for (std::size_t i = 1; i < locate.packets.size(); ++i)
        forwardData(std::move(locate.packets[i]), now, effects);
}

void TransitBalancer::declareLost(const FlowTuple& flow, const Locate& locate, TimePoint now, TransitEffects& effects)
{
    const TransitPacket& packet = locate.packets.front();
    effects.push_back(WriteLog { locate.isComplete ? "flow_lost" : "locate_incomplete",
        { { "flow", toString(flow.caller) }, { "to", toString(flow.service) },
            { "asked", static_cast<std::int64_t>(locate.asked.size()) },
            { "answered", static_cast<std::int64_t>(locate.answered.size()) },
            { "vouchers", static_cast<std::int64_t>(locate.vouchers.size()) },
            { "revision", static_cast<std::int64_t>(m_fleet.view().through().value) },
            { "took_us", (now - locate.startedAt).us } } });
    if (!locate.isComplete || packet.flags.isReset) {
        effects.push_back(CountEvent { TransitCounter::LocatesUnanswered });
        return;
    }
    // Every target that could hold the flow said that it does not, so that the caller need not wait.
    effects.push_back(CountEvent { TransitCounter::FlowsLost });
    effects.push_back(ResetCaller { flow, locate.packets.back().acknowledged });
}

void TransitBalancer::tickLocates(TimePoint now, TransitEffects& effects)
{
    m_promptQuestions = 0;
    if (m_locates.empty())
        return; // The usual case, without looking at all agents.
    Duration patience = asksDirectly(now) ? locateBroadcastAfter : vouchWait;
    std::vector<FlowTuple> narrowed;
    for (auto entry = m_locates.begin(); entry != m_locates.end();) {
        Locate& locate = entry->second;
        if (now >= locate.startedAt + locateTimeout) {
            giveUpLocate(entry->first, locate, effects);
            entry = m_locates.erase(entry);
            continue;
        }
        if (!locate.vouchers.empty() && now >= locate.startedAt + vouchWait)
            narrowed.push_back(entry->first);
        else if (!locate.isBroadcast && now >= locate.startedAt + patience)
            broadcastLocate(entry->first, locate, agentsThatMayHold(now), now);
        // An agent may have started since; after an outage all start within some hundred milliseconds.
        bool isRepeated
            = locate.isBroadcast && now >= locate.repeatAt && askAgents(entry->first, locate, locate.waitingFor);
        if (isRepeated)
            locate.repeatAt = now + askAgainAfter;
        ++entry;
    }
    for (const auto& flow : narrowed)
        considerWords(flow, now, effects);
    sendQuestions(now, effects);
}

void TransitBalancer::giveUpLocate(const FlowTuple& flow, const Locate& locate, TransitEffects& effects)
{
    effects.push_back(CountEvent { TransitCounter::LocatesUnanswered });
    effects.push_back(WriteLog { "locate_unanswered",
        { { "flow", toString(flow.caller) }, { "to", toString(flow.service) },
            { "asked", static_cast<std::int64_t>(locate.asked.size()) },
            { "vouchers", static_cast<std::int64_t>(locate.vouchers.size()) },
            { "silent", static_cast<std::int64_t>(locate.waitingFor.size()) },
            { "first_silent", locate.waitingFor.empty() ? std::string() : toString(locate.waitingFor.front()) } } });
}

} // namespace hawthorncroft
