#include "transit_agent_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

InventoryState TransitAgent::inventoryClaim() const
{
    return {
        .isWhole = m_knowsAllFlows,
        .isFinal = m_stoppedAt.has_value(),
        .isRegistered = m_admission.ownRecord(m_fleet.view()) != nullptr,
    };
}

void TransitAgent::sendNotes(InventoryMessages messages, TransitEffects& effects)
{
    for (auto& message : messages)
        effects.push_back(SendMessage { agentOf(message.locator), std::move(message.body) });
}

void TransitAgent::noteLocators(HeldFlow& held, const FlowTuple& flow, TimePoint now, TransitEffects& effects)
{
    if (held.isNoted)
        return;
    held.isNoted = true;
    sendNotes(m_streams.announce(flow, inventoryClaim(), now), effects);
}

void TransitAgent::sendLists(TimePoint now, TransitEffects& effects)
{
    if (!m_streams.needsSnapshots())
        return;
    std::vector<FlowTuple> held;
    for (auto& [flow, state] : m_flows) {
        if (state.state == FlowState::Ended)
            continue;
        state.isNoted = true;
        held.push_back(flow);
    }
    sendNotes(m_streams.snapshots(held, inventoryClaim(), now), effects);
}

void TransitAgent::onRepeatNotes(Endpoint from, TimePoint now, TransitEffects& effects)
{
    m_streams.restart(from.address);
    sendLists(now, effects);
}

void TransitAgent::onHolder(Endpoint from, const HolderMessage& holder, TimePoint now, TransitEffects& effects)
{
    auto answer = m_records.apply(from, holder, now);
    if (auto* taken = std::get_if<NotesTakenMessage>(&answer))
        effects.push_back(SendMessage { from, *taken });
    if (!std::get_if<RepeatNotesMessage>(&answer))
        return;
    effects.push_back(WriteLog { "notes_missing",
        { { "agent", toString(from) }, { "stream", static_cast<std::int64_t>(holder.stream) },
            { "sequence", static_cast<std::int64_t>(holder.sequence) } } });
    effects.push_back(SendMessage { from, RepeatNotesMessage {} });
}

std::set<std::string_view> TransitAgent::heardDomains(TimePoint now) const
{
    std::set<std::string_view> domains;
    for (const auto& [endpoint, target] : m_fleet.view().targets()) {
        if (m_records.wasHeardWithin(agentOf(endpoint.address), inventoryLease, now))
            domains.insert(target.record.failureDomain);
    }
    return domains;
}

VouchMessage TransitAgent::absenceReport(const FlowTuple& flow, TimePoint now) const
{
    std::set<Endpoint> agents;
    std::set<Endpoint> unreachable; // With all of their failure domain, which may go on by itself, and restart agents.
    auto domains = heardDomains(now);
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
        // One whose target's entry lapsed, and that is not heard any more, is gone.
        if (m_records.wasHeardWithin(holder, memberLifetime, now))
            agents.insert(holder);
    }
    VouchMessage word { .flows = {}, .agentsDigest = m_locators.digest(), .doubtful = {}, .silent = {} };
    for (Endpoint agent : agents) {
        auto known = m_records.statusOf(agent, flow, now);
        if (unreachable.contains(agent) || holders.contains(agent))
            known = HolderStatus::Unknown;
        if (agent == m_fleet.self())
            known = m_knowsAllFlows ? HolderStatus::RuledOut : HolderStatus::Unknown;
        if (known == HolderStatus::Unknown)
            word.doubtful.push_back(agent);
        else if (known == HolderStatus::Stale)
            word.silent.push_back(agent);
    }
    return word;
}

void TransitAgent::vouchLater(const ForwardMessage& question, TimePoint now, TransitEffects& effects)
{
    if (m_vouches.size() >= maxLocates) {
        effects.push_back(CountEvent { TransitCounter::PacketsDropped });
        return;
    }
    // Without doubt the word has to wait for notes under way; with doubt others are asked anyway.
    VouchMessage word = absenceReport(question.packet.flow, now);
    bool hasDoubt = !word.doubtful.empty() || !word.silent.empty();
    PendingVouch pending { now + (hasDoubt ? Duration {} : absenceReportDelay), question.replyTo,
        question.packet.flow };
    auto later = std::find_if(
        m_vouches.rbegin(), m_vouches.rend(), [&](const PendingVouch& other) { return other.at <= pending.at; });
    m_vouches.insert(later.base(), pending);
    if (hasDoubt && m_promptAnswers < maxImmediateReplies) {
        ++m_promptAnswers;
        vouch(now, effects);
    }
}

void TransitAgent::vouch(TimePoint now, TransitEffects& effects)
{
    // After an outage many flows are asked for at once; one message tells a balancer of several.
    using Doubts = std::pair<std::vector<Endpoint>, std::vector<Endpoint>>;
    std::map<std::pair<Endpoint, Doubts>, std::vector<FlowTuple>> words;
    while (!m_vouches.empty() && m_vouches.front().at <= now) {
        PendingVouch pending = m_vouches.front();
        m_vouches.pop_front();
        VouchMessage word = absenceReport(pending.flow, now);
        if (word.doubtful.size() + word.silent.size() <= maxLocateBroadcast)
            words[{ pending.balancer, { std::move(word.doubtful), std::move(word.silent) } }].push_back(pending.flow);
    }
    for (auto& [to, flows] : words) {
        effects.push_back(SendMessage { to.first,
            VouchMessage { .flows = std::move(flows),
                .agentsDigest = m_locators.digest(),
                .doubtful = to.second.first,
                .silent = to.second.second } });
    }
}

void TransitAgent::tickLocator(TimePoint now, TransitEffects& effects)
{
    vouch(now, effects);
    m_streams.renew(now);
    sendLists(now, effects);
    sendNotes(m_streams.heartbeats(inventoryClaim(), now), effects);
}

} // namespace hawthorncroft
