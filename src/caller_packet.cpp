#include "caller_base.h"

#include <algorithm>
#include <array>

namespace hawthorncroft {

const std::array<CallerCore::Receive, static_cast<std::size_t>(PacketKind::End)> CallerCore::receiveByKind {
    &CallerCore::onStray, // Invalid
    &CallerCore::onStray, // Open
    &CallerCore::onOpened, &CallerCore::onRefused,
    &CallerCore::onStray, // Execute
    &CallerCore::onAnswer,
    &CallerCore::onStray, // AnswerAck
    &CallerCore::onStray, // Cancel
    &CallerCore::onStray, // Query
    &CallerCore::onStray, // Data
    &CallerCore::onDataAck, &CallerCore::onEvent,
    &CallerCore::onStray, // EventAck
    &CallerCore::onStray, // KeepAlive
    &CallerCore::onRenewed,
    &CallerCore::onStray, // Close
    &CallerCore::onClosed,
    &CallerCore::onStray, // Stamp
    &CallerCore::onStray, // StampReply
};

void CallerCore::onPacket(TimePoint now, const Packet& packet, CallerEffects& effects)
{
    if (packet.key.caller != m_settings.id || packet.kind >= PacketKind::End) {
        ++m_counters.strays;
        return;
    }
    Flow* flow = find(packet.key.flow);
    if (!flow)
        return onLatePacket(packet, effects);
    (this->*receiveByKind[static_cast<std::size_t>(packet.kind)])(now, *flow, packet, effects);
    if (Flow* remaining = find(packet.key.flow))
        setTimer(*remaining);
}

void CallerCore::onStray(TimePoint, Flow&, const Packet&, CallerEffects&) { ++m_counters.strays; }

void CallerCore::onLatePacket(const Packet& packet, CallerEffects& effects)
{
    auto finished = m_finished.find(packet.key.flow);
    if (finished != m_finished.end() && packet.kind == PacketKind::Opened)
        return release(finished->second, packet, effects);
    bool isAnswer = packet.kind == PacketKind::Answer || packet.kind == PacketKind::Closed;
    if (finished == m_finished.end() || !isAnswer) {
        ++m_counters.strays;
        return;
    }
    ++m_counters.lateAnswers;
    Packet ack = finished->second;
    ack.kind = PacketKind::AnswerAck;
    send(std::move(ack), effects);
}

bool CallerCore::isFromTarget(const Flow& flow, const Packet& packet)
{
    if (packet.hasBinding())
        return packet.binding.target == flow.binding.target
            && packet.binding.targetIncarnation == flow.binding.targetIncarnation;
    if (packet.nonce)
        return packet.nonce == flow.bindNonce;
    return packet.target == flow.binding.target;
}

bool CallerCore::isSameReservation(const Binding& a, const Binding& b)
{
    return a.reservation == b.reservation && a.agentIncarnation == b.agentIncarnation;
}

bool CallerCore::isFromBinding(const Flow& flow, const Packet& packet)
{
    if (packet.hasBinding())
        return isSameReservation(packet.binding, flow.binding);
    return packet.nonce && packet.nonce == flow.bindNonce;
}

void CallerCore::onAnswer(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects)
{
    if (flow.kind != FlowKind::Request || !flow.executed || (packet.hasBinding() && !isFromBinding(flow, packet)))
        return onStray(now, flow, packet, effects);
    if (!addFragment(flow, packet))
        return;
    Outcome outcome = flow.answer.outcome;
    std::vector<std::uint8_t> payload;
    for (const auto& fragment : flow.answer.fragments)
        payload.insert(payload.end(), fragment->begin(), fragment->end());
    bool isAnswerDiscarded = packet.count == 0 && outcome.verdict == Verdict::Done;
    if (isAnswerDiscarded)
        outcome.reason = Reason::Expired;
    send(packetFor(flow, PacketKind::AnswerAck), effects);
    if (outcome.verdict == Verdict::DidNotRun)
        return retryOrEnd(now, flow, outcome, effects);
    finish(flow, outcome, effects, std::move(payload));
}

bool CallerCore::addFragment(Flow& flow, const Packet& packet)
{
    std::size_t count = std::max<std::uint32_t>(packet.count, 1);
    Assembly& answer = flow.answer;
    if (count > maxAnswerFragments || packet.sequence >= count || packet.outcome.verdict == Verdict::None) {
        ++m_counters.strays;
        return false;
    }
    if (answer.fragments.empty()) {
        answer.fragments.resize(count);
        answer.missing = count;
        answer.outcome = packet.outcome;
    }
    // Fragments of different answers must not be combined.
    if (answer.fragments.size() != count || answer.outcome != packet.outcome) {
        ++m_counters.strays;
        return false;
    }
    auto& fragment = answer.fragments[packet.sequence];
    if (!fragment)
        --answer.missing;
    fragment = packet.payload;
    return answer.missing == 0;
}

void CallerCore::onEvent(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects)
{
    if (flow.state != State::Feeding || !packet.sequence || !isFromTarget(flow, packet))
        return onStray(now, flow, packet, effects);
    reportOpened(flow, effects);
    if (packet.sequence <= flow.delivered) {
        ++m_counters.duplicateEvents;
        return sendEventAck(flow, packet.sequence, effects);
    }
    if (packet.sequence > flow.delivered + maxPendingEvents)
        return;
    flow.pendingEvents.try_emplace(packet.sequence, packet.payload);
    deliverEvents(flow, effects);
}

void CallerCore::deliverEvents(Flow& flow, CallerEffects& effects)
{
    // An event is acknowledged only after all earlier events are delivered. The agent may therefore treat the number
    // as a selective or as a cumulative acknowledgement.
    auto next = flow.pendingEvents.begin();
    while (next != flow.pendingEvents.end() && next->first == flow.delivered + 1) {
        ++flow.delivered;
        effects.emplace_back(
            FeedEvent { .flow = flow.id, .sequence = flow.delivered, .payload = std::move(next->second) });
        sendEventAck(flow, flow.delivered, effects);
        next = flow.pendingEvents.erase(next);
    }
}

void CallerCore::reportOpened(Flow& flow, CallerEffects& effects)
{
    if (flow.opened)
        return;
    flow.opened = true;
    m_budget.recordSuccess(m_settings.retryPercent);
    effects.emplace_back(FeedOpened { .flow = flow.id, .target = flow.binding.target });
}

void CallerCore::onRenewed(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects)
{
    bool isLongLived = flow.isBound() && flow.kind != FlowKind::Request;
    const Binding& renewed = packet.binding;
    bool isSameFlow = packet.hasBinding() && renewed.service == flow.binding.service && isFromTarget(flow, packet);
    if (!isLongLived || !isSameFlow)
        return onStray(now, flow, packet, effects);
    bool isSameAgent = renewed.agentIncarnation == flow.binding.agentIncarnation;
    if (isSameAgent && renewed.expiresAt < flow.binding.expiresAt)
        return; // A later Renewed arrived first.
    // The previous agent process may have committed the upload, and its successor has no record of it. Sending the
    // Close again under the new binding could commit the upload twice.
    if (!isSameAgent && flow.executed && flow.kind == FlowKind::Upload)
        return onStray(now, flow, packet, effects);
    flow.binding = renewed;
    if (flow.kind == FlowKind::Upload)
        flow.agentDeadline = packet.agentTime + (flow.deadline - now);
    flow.leaseEndsAt = now + m_settings.lease;
    if (flow.kind == FlowKind::Upload)
        flow.keepAliveAt = now + withJitter(m_settings.keepAlive);
    if (flow.state == State::Renewing) {
        enter(flow, State::Committing);
        return resend(now, flow, effects);
    }
    if (flow.state != State::Feeding)
        return;
    reportOpened(flow, effects);
    flow.sends = 0;
    flow.resendAt = now + withJitter(m_settings.keepAlive);
}

void CallerCore::onDataAck(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects)
{
    auto isAcknowledged = [&](const Chunk& chunk) { return chunk.sequence == packet.sequence; };
    if (flow.state != State::Uploading || !isFromTarget(flow, packet))
        return onStray(now, flow, packet, effects);
    if (!std::erase_if(flow.inFlight, isAcknowledged))
        return;
    ++flow.acknowledged;
    effects.emplace_back(UploadProgress { .flow = flow.id, .acknowledged = flow.acknowledged, .total = flow.chunks });
    // An agent process that has adopted the upload again has no record of a commit by its predecessor, so it refuses
    // a Close under the predecessor's binding. The binding is therefore renewed before the Close.
    if (flow.acknowledged == flow.chunks)
        enter(flow, State::Renewing);
    resend(now, flow, effects);
}

void CallerCore::onClosed(TimePoint now, Flow& flow, const Packet& packet, CallerEffects& effects)
{
    if (!flow.isBound() || flow.kind == FlowKind::Request || !isFromTarget(flow, packet))
        return onStray(now, flow, packet, effects);
    Outcome outcome = packet.outcome;
    send(packetFor(flow, PacketKind::AnswerAck), effects);
    if (flow.state == State::Closing || (flow.kind == FlowKind::Feed && outcome.verdict == Verdict::Done)) {
        outcome.verdict = Verdict::Done;
        return finish(flow, outcome, effects);
    }
    if (flow.state == State::Feeding)
        return breakFeed(now, flow, outcome, effects);
    if (outcome.verdict == Verdict::DidNotRun)
        return retryOrEnd(now, flow, outcome, effects);
    finish(flow, outcome, effects, packet.payload);
}

} // namespace hawthorncroft
