#include "transit_agent_base.h"

#include "table/transit_limits.h"

#include <algorithm>

namespace hawthorncroft {

TransferRole TransitAgent::roleOf(const HeldFlow& flow, const TransitPacket& packet)
{
    TransferRole role = flow.transfer.roleOf(packet);
    bool isShort = packet.requestSize && *packet.requestSize <= maxWholeRequestSize;
    // A target that gets the first packet of a short request counts the request, so the first packet waits for a slot.
    return role == TransferRole::Part && isShort && !flow.transfer.isInProgress() ? TransferRole::Completing : role;
}

void TransitAgent::trackRequestData(HeldFlow& flow, const TransitPacket& packet, TimePoint now)
{
    stopAwaiting(flow);
    TransferRole role = roleOf(flow, packet);
    if (role == TransferRole::Repeat)
        return;
    if (role != TransferRole::Completing) {
        startTransfer(flow, packet, now);
        return;
    }
    stopTransfer(flow);
    flow.transferStartedAt.reset();
    flow.requestAt = now;
    flow.isFirstRequest = false;
    flow.hasExpired = false;
    if (!m_busy)
        m_lastAnswerAt = now;
    ++m_busy;
    flow.inProgressAtStart = m_busy + m_askedRequests;
}

void TransitAgent::startTransfer(HeldFlow& flow, const TransitPacket& packet, TimePoint now)
{
    flow.transferStartedAt = estimateRequestStart(flow, packet, now);
    flow.isFirstRequest = false;
    if (flow.isTransferring || flow.state == FlowState::Ended)
        return;
    flow.isTransferring = true;
    ++m_transfers;
}

void TransitAgent::stopTransfer(HeldFlow& flow)
{
    if (std::exchange(flow.isTransferring, false))
        --m_transfers;
}

void TransitAgent::stopAwaiting(HeldFlow& flow)
{
    if (std::exchange(flow.isAwaitingFirstRequest, false))
        --m_awaitingFirstRequest;
}

void TransitAgent::holdEarly(HeldFlow& flow, ForwardMessage forward, TimePoint now, TransitEffects& effects)
{
    const FlowTuple tuple = forward.packet.flow;
    if (flow.earlyPackets.empty()) {
        stopAwaiting(flow);
        startTransfer(flow, forward.packet, now);
        WaitingRequest request = waitingRequest(tuple, *flow.transferStartedAt);
        Duration limit = transferHoldLimit;
        // The missing bytes may be there unseen, as after a restart; then half of the time is left for the answer.
        if (request.timeout.us)
            limit = std::clamp((request.startedAt + request.timeout - now) / 2, Duration {}, limit);
        m_earlyDeadlines[tuple] = now + limit;
        effects.push_back(CountEvent { TransitCounter::TransfersHeld });
        effects.push_back(WriteLog { "transfer_held",
            { { "request", flow.requestId }, { "flow", toString(tuple.caller) }, { "to", toString(tuple.service) },
                { "target", m_targetId }, { "age_ms", (now - request.startedAt).us / 1000 },
                { "bytes", static_cast<std::int64_t>(flow.transfer.deliveredBytes()) },
                { "limit_ms", limit.us / 1000 } } });
    }
    insertPacket(flow.earlyPackets, std::move(forward));
}

void TransitAgent::deliverCoveredEarly(HeldFlow& flow, TimePoint now, TransitEffects& effects)
{
    bool isCovered = std::any_of(flow.earlyPackets.begin(), flow.earlyPackets.end(), [&](const ForwardMessage& early) {
        return early.packet.dataSize && flow.transfer.roleOf(early.packet) != TransferRole::Early;
    });
    if (!isCovered)
        return;
    for (auto& forward : std::exchange(flow.earlyPackets, {}))
        deliverOrQueue(flow, std::move(forward), now, effects);
}

void TransitAgent::deliverDueEarly(TimePoint now, TransitEffects& effects)
{
    for (auto entry = m_earlyDeadlines.begin(); entry != m_earlyDeadlines.end();) {
        auto found = m_flows.find(entry->first);
        bool isDelivered = found == m_flows.end() || found->second.earlyPackets.empty();
        if (!isDelivered && now < entry->second) {
            ++entry;
            continue;
        }
        entry = m_earlyDeadlines.erase(entry);
        if (isDelivered)
            continue;
        HeldFlow& flow = found->second;
        effects.push_back(CountEvent { TransitCounter::TransfersReleased });
        effects.push_back(WriteLog { "transfer_released",
            { { "request", flow.requestId }, { "flow", toString(found->first.caller) },
                { "to", toString(found->first.service) }, { "target", m_targetId },
                { "bytes", static_cast<std::int64_t>(flow.transfer.deliveredBytes()) } } });
        // They count as parts: the packet that fills the last gap completes the request and takes the slot.
        for (auto& forward : std::exchange(flow.earlyPackets, {})) {
            trackCallerPacket(flow, forward.packet, now, effects);
            deliverToTarget(forward, effects);
        }
    }
}

void TransitAgent::trackTargetProgress(
    HeldFlow& flow, const TransitPacket& packet, TimePoint now, TransitEffects& effects)
{
    if (!flow.transfer.isInProgress() || flow.requestAt)
        return;
    if (packet.flags.hasAcknowledgement)
        flow.transfer.recordAcknowledgement(packet.acknowledged);
    // Data that was sent before is the end of the response to the request before.
    std::uint32_t end = packet.sequence + packet.dataSize;
    bool isNew = !flow.targetDataEnd || static_cast<std::int32_t>(end - *flow.targetDataEnd) > 0;
    if (packet.dataSize && isNew) {
        // The target refuses the rest, or it had the whole request although its length was not known here.
        effects.push_back(WriteLog { "transfer_answered",
            { { "request", flow.requestId }, { "flow", toString(packet.flow.caller) },
                { "to", toString(packet.flow.service) }, { "target", m_targetId },
                { "bytes", static_cast<std::int64_t>(flow.transfer.deliveredBytes()) },
                { "busy", static_cast<std::int64_t>(m_busy) } } });
        m_health.recordAnswer();
        flow.transfer.finish();
        stopTransfer(flow);
        flow.transferStartedAt.reset();
    }
    deliverCoveredEarly(flow, now, effects);
}

std::string TransitAgent::requestIdFor(const HeldFlow& flow, const TransitPacket& packet)
{
    return packet.requestId.empty() && flow.transfer.isInProgress() ? flow.requestId : packet.requestId;
}

std::int64_t TransitAgent::transferBytes() const
{
    std::uint64_t bytes = 0;
    for (const auto& [flow, held] : m_flows)
        bytes += held.isTransferring ? held.transfer.deliveredBytes() : 0;
    return static_cast<std::int64_t>(bytes);
}

} // namespace hawthorncroft
