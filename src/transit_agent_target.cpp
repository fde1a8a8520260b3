#include "transit_agent_base.h"

#include "table/transit_limits.h"

namespace hawthorncroft {

void TransitAgent::onPacket(TransitPacket packet, TimePoint now, TransitEffects& effects)
{
    effects.push_back(CountEvent { TransitCounter::PacketsFromTarget });
    recordTargetActivity();
    if (packet.flags.isReturned) {
        onReturned(std::move(packet), effects);
        releaseRequests(now, effects);
        return;
    }
    auto found = m_flows.find(packet.flow);
    if (found == m_flows.end() && packet.flags.isReset) {
        onUnknownReset(packet, effects);
        releaseRequests(now, effects);
        return;
    }
    if (found == m_flows.end()) {
        learnFlow(packet, now, effects);
        found = m_flows.find(packet.flow);
    }
    if (found != m_flows.end())
        trackTargetPacket(found->second, packet, now, effects);
    if (packet.dataSize)
        m_lastAnswerAt = now;
    effects.push_back(DeliverToCaller { std::move(packet) });
    releaseRequests(now, effects);
}

void TransitAgent::onReturned(TransitPacket packet, TransitEffects& effects)
{
    effects.push_back(CountEvent { TransitCounter::PacketsReturned });
    std::uint32_t tag = packet.tag;
    packet.flags.isReturned = false;
    packet.tag = 0;
    auto pending = m_opens.find(packet.flow);
    if (packet.flags.asksForFlow()) {
        if (pending == m_opens.end())
            return; // Already declined.
        ForwardMessage forward = std::move(pending->second.forward);
        m_opens.erase(pending);
        decline(std::move(forward), DeclineReason::Returned, effects);
        return;
    }
    bool wasReportedHeld = m_flows.contains(packet.flow);
    forgetFlow(packet.flow);
    takeFlowQuery(packet.flow);
    std::size_t index = tag >> 1;
    if (!index || index > m_balancers.size()) {
        effects.push_back(CountEvent { TransitCounter::PacketsDropped });
        return;
    }
    Endpoint balancer = m_balancers[index - 1];
    // A balancer that was told that this agent holds the flow expects no reply and has to locate the flow again.
    bool isLocating = tag & 1 && !wasReportedHeld;
    effects.push_back(WriteLog { "packet_returned",
        { { "flow", toString(packet.flow.caller) }, { "to", toString(packet.flow.service) }, { "target", m_targetId },
            { "balancer", toString(balancer) } } });
    replyNotHeld({ .replyTo = balancer, .isLocating = isLocating, .packet = std::move(packet) }, effects);
}

void TransitAgent::onUnknownReset(const TransitPacket& packet, TransitEffects& effects)
{
    // A target that has just started may reset a flow that it does not hold, instead of returning the packet. The flow
    // may be open at another target, so the caller must not see this reset.
    effects.push_back(WriteLog { "reset_withheld",
        { { "flow", toString(packet.flow.caller) }, { "to", toString(packet.flow.service) },
            { "target", m_targetId } } });
    if (auto query = takeFlowQuery(packet.flow))
        queueNotHeldReply(query->balancer, packet.flow, effects);
}

void TransitAgent::learnFlow(const TransitPacket& packet, TimePoint now, TransitEffects& effects)
{
    if (m_flows.size() >= maxHeldFlows) {
        m_knowsAllFlows = false;
        return;
    }
    HeldFlow& held = m_flows[packet.flow];
    held.state = packet.flags.isOpening ? FlowState::Answered : FlowState::Open;
    held.wasOpen = held.state == FlowState::Open;
    if (held.wasOpen) {
        effects.push_back(WriteLog { "flow_learned",
            { { "flow", toString(packet.flow.caller) }, { "to", toString(packet.flow.service) },
                { "target", m_targetId } } });
        announceFlow(held, packet.flow, now, effects);
    }
    auto query = takeFlowQuery(packet.flow);
    held.acknowledged = query && query->acknowledged ? query->acknowledged : packet.sequence;
    if (query)
        effects.push_back(SendMessage { query->balancer,
            HeldMessage { .flow = packet.flow,
                .targetSequence = packet.flags.isOpening ? packet.sequence : 0,
                .isOpening = packet.flags.isOpening,
                .load = load() } });
}

void TransitAgent::trackAcknowledgement(std::optional<std::uint32_t>& highest, const TransitPacket& packet)
{
    if (packet.flags.hasAcknowledgement)
        trackHighest(highest, packet.acknowledged);
}

void TransitAgent::trackHighest(std::optional<std::uint32_t>& highest, std::uint32_t number)
{
    // Packets may arrive out of order; the difference is signed, as the numbers wrap around.
    if (!highest || static_cast<std::int32_t>(number - *highest) > 0)
        highest = number;
}

void TransitAgent::trackTargetPacket(
    HeldFlow& flow, const TransitPacket& packet, TimePoint now, TransitEffects& effects)
{
    flow.usedAt = now;
    bool isAnswer = packet.flags.isOpening && packet.flags.hasAcknowledgement;
    if (isAnswer) {
        flow.targetSequence = packet.sequence;
        if (flow.state == FlowState::Opening)
            flow.state = FlowState::Answered;
        auto pending = m_opens.find(packet.flow);
        if (pending != m_opens.end()) {
            Endpoint balancer = pending->second.forward.replyTo;
            m_opens.erase(pending);
            effects.push_back(CountEvent { TransitCounter::FlowsOpened });
            effects.push_back(SendMessage { balancer,
                HeldMessage {
                    .flow = packet.flow, .targetSequence = packet.sequence, .isOpening = true, .load = load() } });
        }
    }
    if (packet.dataSize && flow.requestAt) {
        effects.push_back(RecordTime { TransitDistribution::RequestTime, now - *flow.requestAt });
        effects.push_back(WriteLog { "request_answered",
            { { "request", flow.requestId }, { "flow", toString(packet.flow.caller) },
                { "to", toString(packet.flow.service) }, { "target", m_targetId },
                { "took_us", (now - *flow.requestAt).us }, { "busy", static_cast<std::int64_t>(m_busy) } } });
        m_health.recordAnswer();
        m_serviceTimes.addSample(packet.flow.service, now - *flow.requestAt);
        recordCapacitySample(flow, packet.flow.service, true, now, effects);
        flow.transfer.finish(); // The target may refuse a request before its last packet.
        endRequest(flow);
    } else {
        trackTargetProgress(flow, packet, now, effects);
    }
    if (packet.dataSize)
        trackHighest(flow.targetDataEnd, packet.sequence + packet.dataSize);
    if (packet.flags.isReset && (flow.requestAt || flow.isTransferring))
        recordRequestReset(flow, packet, now, effects);
    flow.hasTargetEnded |= packet.flags.isFinal;
    endFlowIfClosed(flow, packet);
}

void TransitAgent::recordCapacitySample(
    const HeldFlow& flow, Endpoint route, bool isSuccess, TimePoint now, TransitEffects& effects)
{
    const TargetEntry* own = m_admission.ownEntry(m_fleet.view());
    bool isCold = own && own->record.coldLeft.us > 0 && m_admission.isCold(m_fleet.view(), now);
    if (isCold) {
        m_capacity.reset(now);
        return;
    }
    LoadReport report = load();
    CapacitySample sample { .route = route,
        .serviceTime = now - *flow.requestAt,
        .inProgress = flow.inProgressAtStart,
        .inProgressAtEnd = m_busy + m_askedRequests,
        .isSuccess = isSuccess,
        .slots = report.slots };
    if (const RouteRecord* record = m_fleet.view().routeAt(route))
        sample.latencyObjective = record->latencyObjective;
    auto change = m_capacity.addSample(sample, now);
    if (!change)
        return;
    constexpr double percent = 100;
    effects.push_back(WriteLog { "capacity_changed",
        { { "target", m_targetId }, { "reason", std::string(change->reason) },
            { "limit_before", static_cast<std::int64_t>(change->before) },
            { "limit", static_cast<std::int64_t>(change->after) }, { "slots", static_cast<std::int64_t>(report.slots) },
            { "throughput_before_percent", static_cast<std::int64_t>(percent * change->throughputBefore) },
            { "throughput_percent", static_cast<std::int64_t>(percent * change->throughput) },
            { "service_time_us", static_cast<std::int64_t>(m_capacity.serviceTimeUs(now)) },
            { "age_ms", change->age.us / 1000 }, { "busy", static_cast<std::int64_t>(m_busy) },
            { "queued", static_cast<std::int64_t>(m_queue.size()) } } });
}

void TransitAgent::recordRequestReset(
    const HeldFlow& flow, const TransitPacket& packet, TimePoint now, TransitEffects& effects)
{
    if (flow.requestAt) // Otherwise the reset ends a transfer, which says nothing about the service time.
        recordCapacitySample(flow, packet.flow.service, false, now, effects);
    bool wasFaulty = m_health.isFaulty();
    m_health.recordReset();
    effects.push_back(WriteLog { "request_reset",
        { { "request", flow.requestId }, { "flow", toString(packet.flow.caller) },
            { "to", toString(packet.flow.service) }, { "target", m_targetId },
            { "is_faulty", static_cast<std::int64_t>(m_health.isFaulty()) } } });
    if (!wasFaulty && m_health.isFaulty())
        effects.push_back(WriteLog { "target_faulty", { { "target", m_targetId } } });
}

void TransitAgent::trackCallerPacket(
    HeldFlow& flow, const TransitPacket& packet, TimePoint now, TransitEffects& effects)
{
    flow.usedAt = now;
    if (packet.dataSize) {
        recordDelivery(now);
        if (!flow.requestAt)
            trackRequestData(flow, packet, now);
        flow.transfer.recordDelivery(packet);
    }
    if (!packet.requestId.empty() && packet.requestId != flow.requestId) {
        flow.requestId = packet.requestId;
        effects.push_back(WriteLog { "request_started",
            { { "request", flow.requestId }, { "flow", toString(packet.flow.caller) },
                { "to", toString(packet.flow.service) }, { "target", m_targetId },
                { "busy", static_cast<std::int64_t>(m_busy) } } });
    }
    flow.hasCallerEnded |= packet.flags.isFinal;
    endFlowIfClosed(flow, packet);
}

void TransitAgent::endFlowIfClosed(HeldFlow& flow, const TransitPacket& last)
{
    if (!last.flags.isReset && !(flow.hasTargetEnded && flow.hasCallerEnded))
        return;
    m_queue.remove(last.flow);
    endFlow(flow);
}

void TransitAgent::endRequest(HeldFlow& flow)
{
    if (flow.requestAt)
        --m_busy;
    flow.requestAt.reset();
    stopAwaiting(flow);
    flow.queuedPackets.clear();
}

void TransitAgent::endFlow(HeldFlow& flow)
{
    endRequest(flow);
    stopTransfer(flow);
    flow.earlyPackets.clear();
    if (flow.state != FlowState::Ended)
        ++m_ended;
    flow.state = FlowState::Ended;
}

void TransitAgent::forgetFlow(const FlowTuple& flow)
{
    auto found = m_flows.find(flow);
    if (found == m_flows.end())
        return;
    m_queue.remove(flow);
    endFlow(found->second);
    --m_ended;
    m_flows.erase(found);
}

} // namespace hawthorncroft
