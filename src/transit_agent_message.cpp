#include "transit_agent_base.h"

#include "table/transit_limits.h"

namespace hawthorncroft {

namespace {

    constexpr std::uint8_t finalHops
        = 1; ///< Hop count at which an agent does not relay the packet and answers for its own target only.

    /**
     * @param retransmission Number of the retransmission, which callers write into the acknowledgement field of an
     * opening packet; zero for the first transmission.
     * @return Time since the caller first sent the opening packet.
     */
    Duration retransmissionAge(std::uint32_t retransmission)
    {
        if (!retransmission)
            return {};
        return retransmission == 1 ? firstRetransmissionAge : secondRetransmissionAge;
    }

}

void TransitAgent::onForward(ForwardMessage forward, TimePoint now, TransitEffects& effects)
{
    LoadSubscription& subscription = m_loadSubscriptions[forward.replyTo];
    subscription.expiresAt = now + loadSubscriptionLifetime; // Renewed by each packet of the balancer.
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
        // A retransmission: the target answers it as it answered the first transmission.
        deliverToTarget(forward, effects);
        return;
    }
    if (!m_fleet.view().hasConfiguration() && m_opensAwaitingView.size() < maxWaitingPackets) {
        m_opensAwaitingView.emplace_back(now, std::move(forward));
        return;
    }
    OpenRequest request { forward.service, flow.service, forward.routePosition };
    auto reason = m_admission.test(m_fleet.view(), request, load(), now);
    if (!reason && !m_health.canAdmit(now))
        reason = DeclineReason::Faulty;
    if (!reason && isOverloadedFor(flow.service, now))
        reason = DeclineReason::Overloaded;
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
    m_admission.recordAdmission(now);
    m_health.recordAdmission(now);
    forgetFlow(flow);
    HeldFlow& held = m_flows[flow];
    held = { .state = FlowState::Opening, .usedAt = now, .isAwaitingFirstRequest = true };
    held.startedAt = now - retransmissionAge(forward.packet.acknowledged);
    held.isFirstRequest = true;
    held.transfer.recordOpening(forward.packet.sequence);
    ++m_awaitingFirstRequest;
    m_firstRequestTimers.emplace_back(now + firstRequestTimeout, flow);
    m_openTimers.emplace_back(now + targetAnswerTime, flow);
    deliverToTarget(forward, effects);
    // Sent before the target can answer, so that no caller has a flow that is unknown to its locators.
    announceFlow(held, flow, now, effects);
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
    // A flow that ended before the caller chose this target may be open at another one.
    bool isTargetChosen
        = held.wasOpen || (held.state != FlowState::Opening && acknowledgesAnswer(forward.packet, held.targetSequence));
    if (!isTargetChosen) {
        // The opening packet reached several targets, and the caller acknowledges the answer of another one.
        replyNotHeld(forward, effects);
        return;
    }
    if (held.state == FlowState::Answered) {
        held.state = FlowState::Open;
        held.wasOpen = true;
        announceFlow(held, forward.packet.flow, now, effects);
    }
    if (forward.isLocating)
        effects.push_back(SendMessage { forward.replyTo,
            HeldMessage { .flow = forward.packet.flow, .targetSequence = held.targetSequence, .load = load() } });
    deliverOrQueue(held, std::move(forward), now, effects);
}

void TransitAgent::onUnknownData(ForwardMessage forward, TimePoint now, TransitEffects& effects)
{
    const FlowTuple& flow = forward.packet.flow;
    bool isQueriedAsLocator = forward.isLocating && !forward.hops;
    if (isQueriedAsLocator)
        scheduleAbsenceReport(forward, now, effects);
    auto holders = isQueriedAsLocator ? m_records.holdersOf(flow) : std::vector<Endpoint> {};
    if (!holders.empty()) {
        forward.hops = finalHops;
        for (Endpoint holder : holders)
            effects.push_back(SendMessage { holder, forward });
        return;
    }
    if (m_knowsAllFlows) {
        replyNotHeld(forward, effects);
        return;
    }
    askTarget(std::move(forward), now, effects);
}

void TransitAgent::decline(ForwardMessage forward, DeclineReason reason, TransitEffects& effects)
{
    const FlowTuple& flow = forward.packet.flow;
    const TargetEntry* own = m_admission.ownEntry(m_fleet.view());
    effects.push_back(CountEvent { TransitCounter::OpensDeclined });
    effects.push_back(WriteLog { "open_declined",
        { { "flow", toString(flow.caller) }, { "to", toString(flow.service) },
            { "reason", std::string(nameOf(reason)) }, { "busy", static_cast<std::int64_t>(m_busy) },
            { "target_revision", static_cast<std::int64_t>(own ? own->position.revision.value : 0) },
            { "revision", static_cast<std::int64_t>(m_fleet.view().through().revision.value) } } });
    if (reason == DeclineReason::Silent || reason == DeclineReason::Returned)
        forgetFlow(flow);
    Endpoint balancer = forward.replyTo;
    effects.push_back(SendMessage { balancer, DeclinedMessage { reason, std::move(forward), load() } });
}

void TransitAgent::onLocate(LocateMessage locate, TimePoint now, TransitEffects& effects)
{
    if (!locate.relayTo.empty()) {
        effects.push_back(WriteLog { "question_passed",
            { { "balancer", toString(locate.replyTo) }, { "flows", static_cast<std::int64_t>(locate.packets.size()) },
                { "agents", static_cast<std::int64_t>(locate.relayTo.size()) } } });
    }
    std::size_t relayed = 0;
    for (Endpoint agent : locate.relayTo) {
        if (agent == m_fleet.self())
            continue;
        if (++relayed > maxLocateBroadcast)
            break;
        effects.push_back(SendMessage {
            agent, LocateMessage { .replyTo = locate.replyTo, .packets = locate.packets, .relayTo = {} } });
    }
    for (auto& packet : locate.packets) {
        ForwardMessage forward {
            .replyTo = locate.replyTo, .isLocating = true, .hops = finalHops, .packet = std::move(packet)
        };
        onData(std::move(forward), now, effects);
    }
}

void TransitAgent::sendNotHeldReplies(TransitEffects& effects)
{
    for (auto& [balancer, flows] : m_notHeld)
        effects.push_back(SendMessage { balancer, NotHeldFlowsMessage { std::move(flows) } });
    m_notHeld.clear();
}

void TransitAgent::queueNotHeldReply(Endpoint balancer, const FlowTuple& flow, TransitEffects& effects)
{
    m_notHeld[balancer].push_back(flow);
    // Few replies are sent at once, since a caller waits for each of them. Further ones, as after an outage, are
    // batched until the next tick.
    if (m_immediateReplies >= maxImmediateReplies)
        return;
    ++m_immediateReplies;
    sendNotHeldReplies(effects);
}

void TransitAgent::replyNotHeld(const ForwardMessage& forward, TransitEffects& effects)
{
    if (forward.isLocating) {
        queueNotHeldReply(forward.replyTo, forward.packet.flow, effects);
        return;
    }
    effects.push_back(SendMessage { forward.replyTo, NotHeldMessage { .packet = forward.packet } });
}

void TransitAgent::deliverToTarget(const ForwardMessage& forward, TransitEffects& effects)
{
    effects.push_back(DeliverToTarget { forward.packet, tagOf(forward.replyTo, forward.isLocating) });
}

} // namespace hawthorncroft
