#include "transit_agent_base.h"

#include "table/transit_limits.h"

namespace hawthorncroft {

namespace {

    constexpr std::uint8_t finalHops = 1; ///< The agent answers for its own target only.

    /** Age of an opening packet; callers number its copies where other packets have an acknowledgement. */
    Duration ageOfCopy(std::uint32_t copy)
    {
        if (!copy)
            return {};
        return copy == 1 ? firstRetransmissionAge : secondRetransmissionAge;
    }

}

void TransitAgent::onForward(ForwardMessage forward, TimePoint now, TransitEffects& effects)
{
    Interest& interest = m_interested[forward.replyTo];
    interest.until = now + loadSubscriptionLifetime; // The balancer gets load reports.
    if (forward.packet.flags.asksForFlow())
        onOpen(std::move(forward), now, effects);
    else
        onData(std::move(forward), now, effects);
}

void TransitAgent::onOpen(ForwardMessage forward, TimePoint now, TransitEffects& effects)
{
    const FlowTuple& flow = forward.packet.flow;
    auto known = m_flows.find(flow);
    if (known != m_flows.end() && known->second.state != FlowState::Ended) {
        // A copy: the target answers it as it answered the first.
        handToTarget(forward, effects);
        return;
    }
    if (!m_fleet.view().hasConfiguration() && m_waiting.size() < maxWaitingPackets) {
        m_waiting.emplace_back(now, std::move(forward));
        return;
    }
    OpenRequest request { forward.service, flow.service, forward.routeRevision };
    auto reason = m_admission.test(m_fleet.view(), request, load(), now);
    if (!reason && !m_health.mayTake(now))
        reason = DeclineReason::Faulty;
    if (m_isTargetGone)
        reason = DeclineReason::Silent;
    if (m_stoppedAt)
        reason = DeclineReason::Leaving;
    if (m_flows.size() >= maxHeldFlows)
        reason = DeclineReason::Full;
    if (reason) {
        decline(std::move(forward), *reason, effects);
        return;
    }
    m_admission.noteAdmitted(now);
    m_health.noteTaken(now);
    forgetFlow(flow);
    HeldFlow& held = m_flows[flow];
    held = { .state = FlowState::Opening, .usedAt = now, .isExpected = true };
    held.startedAt = now - ageOfCopy(forward.packet.acknowledged);
    held.isFirstRequest = true;
    ++m_expected;
    m_expectedTimers.emplace_back(now + firstRequestTimeout, flow);
    m_openTimers.emplace_back(now + targetAnswerTime, flow);
    handToTarget(forward, effects);
    // Before the target can answer, so that no caller has a flow that its locators do not know.
    noteLocators(held, flow, now, effects);
    m_opens[flow] = { std::move(forward), now + targetAnswerTime };
}

void TransitAgent::onData(ForwardMessage forward, TimePoint now, TransitEffects& effects)
{
    auto found = m_flows.find(forward.packet.flow);
    if (found == m_flows.end()) {
        onUnknownData(std::move(forward), now, effects);
        return;
    }
    HeldFlow& held = found->second;
    bool isChosen = held.state == FlowState::Open || held.state == FlowState::Ended
        || (held.state == FlowState::Answered && choosesTarget(forward.packet, held.targetSequence));
    if (!isChosen) {
        // The caller acknowledges another target, which answered the opening packet too.
        answerNotHeld(forward, effects);
        return;
    }
    if (held.state == FlowState::Answered) {
        held.state = FlowState::Open;
        noteLocators(held, forward.packet.flow, now, effects);
    }
    if (forward.isLocating)
        effects.push_back(SendMessage { forward.replyTo,
            HeldMessage { .flow = forward.packet.flow, .targetSequence = held.targetSequence, .load = load() } });
    passToTarget(held, std::move(forward), now, effects);
}

void TransitAgent::onUnknownData(ForwardMessage forward, TimePoint now, TransitEffects& effects)
{
    const FlowTuple& flow = forward.packet.flow;
    bool isAskedAsLocator = forward.isLocating && !forward.hops;
    if (isAskedAsLocator)
        vouchLater(forward, now, effects);
    auto holders = isAskedAsLocator ? m_records.holdersOf(flow) : std::vector<Endpoint> {};
    if (!holders.empty()) {
        forward.hops = finalHops;
        for (Endpoint holder : holders)
            effects.push_back(SendMessage { holder, forward });
        return;
    }
    if (m_knowsAllFlows) {
        answerNotHeld(forward, effects);
        return;
    }
    // This agent started after its target, which alone knows. It returns the packet when it does not hold the flow.
    m_askers[flow] = { forward.replyTo, now + flowQueryLifetime };
    handToTarget(forward, effects);
}

void TransitAgent::decline(ForwardMessage forward, DeclineReason reason, TransitEffects& effects)
{
    const FlowTuple& flow = forward.packet.flow;
    const ViewedTarget* own = m_admission.ownRecord(m_fleet.view());
    effects.push_back(CountEvent { TransitCounter::OpensDeclined });
    effects.push_back(WriteLog { "open_declined",
        { { "flow", toString(flow.caller) }, { "to", toString(flow.service) },
            { "reason", std::string(nameOf(reason)) }, { "busy", static_cast<std::int64_t>(m_busy) },
            { "target_revision", static_cast<std::int64_t>(own ? own->revision.value : 0) },
            { "revision", static_cast<std::int64_t>(m_fleet.view().through().value) } } });
    if (reason == DeclineReason::Silent || reason == DeclineReason::Returned)
        forgetFlow(flow);
    Endpoint balancer = forward.replyTo;
    effects.push_back(SendMessage { balancer, DeclinedMessage { reason, std::move(forward), load() } });
}

void TransitAgent::onLocate(LocateMessage locate, TimePoint now, TransitEffects& effects)
{
    if (!locate.passTo.empty()) {
        effects.push_back(WriteLog { "question_passed",
            { { "balancer", toString(locate.replyTo) }, { "flows", static_cast<std::int64_t>(locate.packets.size()) },
                { "agents", static_cast<std::int64_t>(locate.passTo.size()) } } });
    }
    std::size_t passed = 0;
    for (Endpoint agent : locate.passTo) {
        if (agent == m_fleet.self())
            continue;
        if (++passed > maxLocateBroadcast)
            break;
        effects.push_back(SendMessage {
            agent, LocateMessage { .replyTo = locate.replyTo, .packets = locate.packets, .passTo = {} } });
    }
    for (auto& packet : locate.packets) {
        ForwardMessage forward {
            .replyTo = locate.replyTo, .isLocating = true, .hops = finalHops, .packet = std::move(packet)
        };
        onData(std::move(forward), now, effects);
    }
}

void TransitAgent::sendNotHeldFlows(TransitEffects& effects)
{
    for (auto& [balancer, flows] : m_notHeld)
        effects.push_back(SendMessage { balancer, NotHeldFlowsMessage { std::move(flows) } });
    m_notHeld.clear();
}

void TransitAgent::noteNotHeld(Endpoint balancer, const FlowTuple& flow, TransitEffects& effects)
{
    m_notHeld[balancer].push_back(flow);
    // A single caller waits for the answer; after an outage there are many, which go together.
    if (m_promptAnswers >= maxImmediateReplies)
        return;
    ++m_promptAnswers;
    sendNotHeldFlows(effects);
}

void TransitAgent::answerNotHeld(const ForwardMessage& forward, TransitEffects& effects)
{
    if (forward.isLocating) {
        noteNotHeld(forward.replyTo, forward.packet.flow, effects);
        return;
    }
    effects.push_back(SendMessage { forward.replyTo, NotHeldMessage { .packet = forward.packet } });
}

void TransitAgent::handToTarget(const ForwardMessage& forward, TransitEffects& effects)
{
    effects.push_back(HandToTarget { forward.packet, tagOf(forward.replyTo, forward.isLocating) });
}

} // namespace hawthorncroft
