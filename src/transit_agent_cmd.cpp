#include "transit_agent_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

namespace {

    constexpr std::size_t maxBalancerTags = 1U << 20; ///< Balancers told apart in the tags of packets.

}

TransitAgent::TransitAgent(TransitAgentOptions options)
    : TransitCore(options.fleet)
    , m_options(std::move(options))
    , m_admission(m_options.admission)
    , m_streams(m_options.fleet.incarnation)
    , m_knowsAllFlows(m_options.isFirstStart)
{
}

void TransitAgent::onTick(TimePoint now, TransitEffects& effects)
{
    if (!m_startedAt) {
        m_startedAt = now;
        if (!m_knowsAllFlows)
            probe(now, effects); // It may start after the agent.
    }
    tickProbe(now, effects);
    m_fleet.onTick(now, load(), effects);
    expireOpens(now, effects);
    expireExpected(now);
    releaseRequests(now, effects);
    while (!m_waiting.empty() && now >= m_waiting.front().first + maxWaitForView) {
        ForwardMessage forward = std::move(m_waiting.front().second);
        m_waiting.pop_front();
        decline(std::move(forward), DeclineReason::NoView, effects);
    }
    if (now >= m_nextSweepAt) {
        m_nextSweepAt = now + seconds(1);
        sweepFlows(now);
        // All flows that are older than the agent are over by now.
        m_knowsAllFlows |= now >= *m_startedAt + flowLifetime;
    }
    sendLoads(now, effects);
    m_promptAnswers = 0;
    tickLocator(now, effects);
    sendNotHeldFlows(effects);
}

void TransitAgent::onMessage(Endpoint from, Message message, TimePoint now, TransitEffects& effects)
{
    effects.push_back(CountEvent { TransitCounter::MessagesIn });
    m_fleet.noteMessage(from, message.through, now, effects);
    if (auto* forward = std::get_if<ForwardMessage>(&message.body)) {
        onForward(std::move(*forward), now, effects);
    } else if (auto* locate = std::get_if<LocateMessage>(&message.body)) {
        onLocate(std::move(*locate), now, effects);
    } else if (auto* holder = std::get_if<HolderMessage>(&message.body)) {
        onHolder(from, *holder, now, effects);
    } else if (auto* taken = std::get_if<NotesTakenMessage>(&message.body)) {
        m_streams.onAck(from.address, *taken);
    } else if (std::get_if<RepeatNotesMessage>(&message.body)) {
        onRepeatNotes(from, now, effects);
    } else if (auto* stamp = std::get_if<StampMessage>(&message.body)) {
        bool isNew = m_fleet.onStamp(from, message.through, *stamp, now, effects);
        if (isNew && stamp->role == ProcessRole::Agent) {
            m_records.onAgentRestart(from, stamp->incarnation);
            onRepeatNotes(from, now, effects);
        }
    } else if (auto* delta = std::get_if<DeltaMessage>(&message.body)) {
        if (m_fleet.onDelta(from, *delta, now, effects))
            onViewChanged(now, effects);
    } else if (std::get_if<LeavingMessage>(&message.body)) {
        m_fleet.onLeaving(from, effects);
    }
    // Held, Declined and NotHeld messages are for balancers; an agent gets them after an address was used again.
}

void TransitAgent::onStop(TimePoint now, TransitEffects& effects)
{
    if (m_stoppedAt)
        return;
    m_stoppedAt = now;
    effects.push_back(WriteLog { "stopping",
        { { "busy", static_cast<std::int64_t>(m_busy) }, { "flows", static_cast<std::int64_t>(m_flows.size()) } } });
    m_fleet.announceLeaving(effects);
    sendNotes(m_streams.heartbeatAll(inventoryClaim(), now), effects);
    if (!m_knowsAllFlows)
        probe(now, effects); // An agent often ends after its target.
}

bool TransitAgent::isFinished(TimePoint now) const
{
    if (!m_stoppedAt || now < *m_stoppedAt + finalUpdateTime)
        return false; // The last notes are confirmed until then.
    return (!m_busy && m_queue.empty()) || now >= *m_stoppedAt + requestDrainTimeout;
}

LoadReport TransitAgent::load() const
{
    const ViewedTarget* own = m_admission.ownRecord(m_fleet.view());
    return {
        .busy = m_busy + m_expected + static_cast<std::uint32_t>(m_queue.size()),
        .slots = own ? own->record.slots : 0,
        .flows = static_cast<std::uint32_t>(m_flows.size()) - m_ended,
    };
}

bool TransitAgent::holds(const FlowTuple& flow) const
{
    auto found = m_flows.find(flow);
    return found != m_flows.end() && found->second.state != FlowState::Ended;
}

void TransitAgent::onViewChanged(TimePoint now, TransitEffects& effects)
{
    m_locators = TransitLocators(m_fleet.view());
    m_fleet.addAgents(m_options.fleetPort, now);
    const ViewedTarget* own = m_admission.ownRecord(m_fleet.view());
    if (own && (own->record.id != m_targetId || own->record.startedAt != m_targetStartedAt))
        onLifetimeChanged(*own, effects);
    m_streams.assign(m_locators, m_fleet.self().address);
    sendLists(now, effects);
    if (!m_fleet.view().hasConfiguration())
        return;
    auto waiting = std::move(m_waiting);
    m_waiting.clear();
    for (auto& [since, forward] : waiting)
        onOpen(std::move(forward), now, effects);
}

void TransitAgent::onLifetimeChanged(const ViewedTarget& own, TransitEffects& effects)
{
    effects.push_back(WriteLog { "target_lifetime",
        { { "target", own.record.id }, { "started_at", static_cast<std::int64_t>(own.record.startedAt) },
            { "revision", static_cast<std::int64_t>(own.revision.value) }, { "cold_ms", own.record.coldLeft.us / 1000 },
            { "cold_limit_per_s", coldLimit() }, { "flows_before", static_cast<std::int64_t>(m_flows.size()) } } });
    m_health = {};
    m_isTargetGone = false; // This lifetime registered, so that it runs.
    m_refusedProbes = 0;
    // This lifetime began after the agent did, so that the agent saw every flow of it.
    m_knowsAllFlows |= !m_targetId.empty();
    m_targetId = own.record.id;
    m_targetStartedAt = own.record.startedAt;
}

std::int64_t TransitAgent::coldLimit() const
{
    const ServiceRecord* service = m_fleet.view().serviceNamed(m_options.admission.service);
    return service ? static_cast<std::int64_t>(service->warmupPerSecond) : -1;
}

void TransitAgent::expireOpens(TimePoint now, TransitEffects& effects)
{
    while (!m_openTimers.empty() && m_openTimers.front().first <= now) {
        FlowTuple flow = m_openTimers.front().second;
        m_openTimers.pop_front();
        auto pending = m_opens.find(flow);
        if (pending == m_opens.end() || pending->second.deadline > now)
            continue;
        ForwardMessage forward = std::move(pending->second.forward);
        m_opens.erase(pending);
        decline(std::move(forward), DeclineReason::Silent, effects);
    }
}

void TransitAgent::expireExpected(TimePoint now)
{
    while (!m_expectedTimers.empty() && m_expectedTimers.front().first <= now) {
        auto found = m_flows.find(m_expectedTimers.front().second);
        m_expectedTimers.pop_front();
        if (found != m_flows.end() && found->second.isExpected) {
            found->second.isExpected = false;
            --m_expected;
        }
    }
}

void TransitAgent::sweepFlows(TimePoint now)
{
    std::vector<FlowTuple> over;
    for (const auto& [flow, held] : m_flows) {
        Duration limit = held.state == FlowState::Ended ? endedFlowTime : flowIdleLimit;
        if (now >= held.usedAt + limit)
            over.push_back(flow);
    }
    for (const auto& flow : over)
        forgetFlow(flow);
    m_records.expire(now);
    std::erase_if(m_askers, [&](const auto& entry) { return now >= entry.second.until; });
    std::erase_if(m_interested, [&](const auto& entry) { return now >= entry.second.until; });
}

void TransitAgent::sendLoads(TimePoint now, TransitEffects& effects)
{
    LoadReport current = load();
    for (auto& [balancer, interest] : m_interested) {
        if (now >= interest.until || now < interest.reportedAt + loadReportInterval || interest.reported == current)
            continue;
        interest.reportedAt = now;
        interest.reported = current;
        effects.push_back(SendMessage { balancer, HeldMessage { .load = current } });
    }
}

std::uint32_t TransitAgent::tagOf(Endpoint balancer, bool isLocating)
{
    auto found = m_balancerTags.find(balancer);
    if (found == m_balancerTags.end()) {
        if (m_balancers.size() >= maxBalancerTags)
            return 0; // What the target returns is dropped; the caller sends it again.
        found = m_balancerTags.emplace(balancer, static_cast<std::uint32_t>(m_balancers.size())).first;
        m_balancers.push_back(balancer);
    }
    return ((found->second + 1) << 1) | static_cast<std::uint32_t>(isLocating);
}

} // namespace hawthorncroft
