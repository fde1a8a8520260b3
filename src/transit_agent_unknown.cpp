#include "transit_agent_base.h"

#include "table/transit_limits.h"

namespace hawthorncroft {

namespace {

    /**
     * @return Whether the target is likely to run the packet. A query by a balancer that locates the flow goes to many
     * agents, and most targets return it, which takes no slot.
     */
    bool mayBeRequest(const ForwardMessage& forward)
    {
        return forward.packet.dataSize && !forward.isLocating
            && RequestTransfer().roleOf(forward.packet) == TransferRole::Completing;
    }

    /** @return Whether the packet is one of several of its request and not the last one; it needs no slot. */
    bool isTransferPart(const ForwardMessage& forward)
    {
        return forward.packet.dataSize && RequestTransfer().roleOf(forward.packet) == TransferRole::Part;
    }

}

void TransitAgent::askTarget(ForwardMessage forward, TimePoint now, TransitEffects& effects)
{
    // This agent started after its target, so only the target knows whether it holds the flow. It returns the packet
    // if it does not, and otherwise runs the request: after a restart beside a busy target, the callers retransmit
    // everything that waited here, which must not fill the target's own queue.
    const FlowTuple& flow = forward.packet.flow;
    auto query = m_flowQueries.find(flow);
    bool isAsked = query != m_flowQueries.end() && query->second.mayBeRequest;
    bool isRequest = mayBeRequest(forward) && !isAsked;
    bool mustWait = (m_unknownPackets.contains(flow) && !isTransferPart(forward)) || (isRequest && !hasFreeSlot(now));
    if (mustWait)
        queueUnknown(std::move(forward), now, effects);
    else
        deliverUnknown(forward, now, effects);
}

void TransitAgent::queueUnknown(ForwardMessage forward, TimePoint now, TransitEffects& effects)
{
    FlowTuple flow = forward.packet.flow;
    auto& packets = m_unknownPackets[flow];
    if (packets.empty()) {
        effects.push_back(CountEvent { TransitCounter::RequestsQueued });
        if (auto evicted = m_unknownQueue.push(waitingRequest(flow, now), maxUnknownRequests, now))
            m_unknownPackets.erase(evicted->flow);
        if (!m_unknownPackets.contains(flow))
            return;
    }
    for (ForwardMessage& earlier : packets) {
        if (earlier.packet.sequence != forward.packet.sequence || earlier.packet.dataSize != forward.packet.dataSize)
            continue;
        earlier = std::move(forward); // The answer goes to the balancer that asked last.
        return;
    }
    if (packets.size() < maxPacketsPerLocate)
        packets.push_back(std::move(forward));
}

void TransitAgent::deliverUnknown(const ForwardMessage& forward, TimePoint now, TransitEffects& effects)
{
    if (!m_busy && !m_askedRequests)
        m_lastAnswerAt = now;
    FlowQuery& query = m_flowQueries[forward.packet.flow];
    bool isRequest = query.mayBeRequest || mayBeRequest(forward);
    m_askedRequests += isRequest && !query.mayBeRequest;
    query.balancer = forward.replyTo;
    query.expiresAt = now + flowQueryLifetime;
    query.mayBeRequest = isRequest;
    trackAcknowledgement(query.acknowledged, forward.packet);
    deliverToTarget(forward, effects);
}

std::optional<TransitAgent::FlowQuery> TransitAgent::takeFlowQuery(const FlowTuple& flow)
{
    auto node = m_flowQueries.extract(flow);
    if (node.empty())
        return std::nullopt;
    m_askedRequests -= node.mapped().mayBeRequest;
    return node.mapped();
}

void TransitAgent::releaseUnknown(TimePoint now, TransitEffects& effects)
{
    auto request = m_unknownQueue.pop(now, meanStartInterval());
    auto node = m_unknownPackets.extract(request->flow);
    if (node.empty())
        return;
    for (ForwardMessage& forward : node.mapped()) {
        auto known = m_flows.find(request->flow);
        if (known != m_flows.end()) {
            trackAcknowledgement(known->second.acknowledged, forward.packet);
            trackCallerPacket(known->second, forward.packet, now, effects);
            deliverToTarget(forward, effects);
        } else if (m_knowsAllFlows) {
            replyNotHeld(forward, effects);
        } else {
            deliverUnknown(forward, now, effects);
        }
    }
}

} // namespace hawthorncroft
