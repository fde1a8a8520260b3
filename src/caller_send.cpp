#include "caller_base.h"

#include <algorithm>

namespace hawthorncroft {

Packet CallerCore::packetFor(const Flow& flow, PacketKind kind) const
{
    Packet packet;
    packet.kind = kind;
    packet.flowKind = flow.kind;
    packet.key = { m_settings.id, flow.id };
    packet.name = flow.service;
    packet.binding = flow.binding;
    packet.nonce = flow.bindNonce;
    return packet;
}

void CallerCore::send(Packet packet, CallerEffects& effects)
{
    ++m_counters.sent;
    effects.emplace_back(SendToFabric { std::move(packet) });
}

void CallerCore::sendOpen(TimePoint now, Flow& flow, CallerEffects& effects)
{
    m_openHealth.recordOpen(now);
    Packet packet = packetFor(flow, PacketKind::Open);
    packet.binding = {};
    packet.nonce = ++m_nonce;
    packet.idempotent = flow.idempotent;
    if (flow.kind != FlowKind::Upload)
        packet.payload = flow.kind == FlowKind::Feed ? flow.payload : std::vector<std::uint8_t>();
    // The first retransmission covers a lost packet. The second requests another rank, because a target that has not
    // replied may be down, and so does every second one after it. Balancers charge every attempt after the first to
    // their retry budget.
    bool asksForOtherRank = flow.sends && flow.sends % 2 == 0;
    if (asksForOtherRank)
        ++flow.attempt;
    packet.attempt = static_cast<std::uint8_t>(std::min<std::uint32_t>(flow.attempt, UINT8_MAX));
    constexpr std::size_t maxOpenNonces = 8;
    if (flow.openNonces.size() == maxOpenNonces)
        flow.openNonces.erase(flow.openNonces.begin());
    flow.openNonces.push_back(packet.nonce);
    send(std::move(packet), effects);
}

void CallerCore::sendExecute(TimePoint, Flow& flow, CallerEffects& effects)
{
    Packet packet = packetFor(flow, PacketKind::Execute);
    packet.deadline = flow.agentDeadline;
    packet.idempotent = flow.idempotent;
    packet.payload = flow.payload;
    flow.executed = true;
    send(std::move(packet), effects);
}

void CallerCore::sendKeepAlive(TimePoint, Flow& flow, CallerEffects& effects)
{
    Packet packet = packetFor(flow, PacketKind::KeepAlive);
    // An agent that adopts the feed again continues the event numbers after this one.
    packet.sequence = flow.delivered;
    send(std::move(packet), effects);
}

void CallerCore::sendChunks(TimePoint now, Flow& flow, CallerEffects& effects)
{
    for (Chunk& chunk : flow.inFlight) {
        if (chunk.resendAt <= now)
            sendChunk(now, flow, chunk, effects);
    }
    while (flow.inFlight.size() < uploadWindow && flow.nextChunk <= flow.chunks) {
        Chunk& chunk = flow.inFlight.emplace_back(Chunk { .sequence = flow.nextChunk++ });
        sendChunk(now, flow, chunk, effects);
    }
    auto isEarlier = [](const Chunk& a, const Chunk& b) { return a.resendAt < b.resendAt; };
    flow.resendAt = std::min_element(flow.inFlight.begin(), flow.inFlight.end(), isEarlier)->resendAt;
}

void CallerCore::sendChunk(TimePoint now, Flow& flow, Chunk& chunk, CallerEffects& effects)
{
    std::size_t begin = (chunk.sequence - 1) * maxPayloadBytes;
    std::size_t end = std::min(begin + maxPayloadBytes, flow.payload.size());
    Packet packet = packetFor(flow, PacketKind::Data);
    packet.sequence = chunk.sequence;
    packet.count = flow.chunks;
    packet.payload.assign(flow.payload.data() + begin, flow.payload.data() + end);
    if (chunk.sends)
        ++m_counters.resent;
    chunk.resendAt = now + backoff(chunk.sends, m_settings.resendMax);
    ++chunk.sends;
    send(std::move(packet), effects);
}

void CallerCore::sendClose(TimePoint, Flow& flow, CallerEffects& effects)
{
    Packet packet = packetFor(flow, PacketKind::Close);
    packet.count = flow.chunks;
    if (flow.kind == FlowKind::Upload)
        packet.deadline = flow.agentDeadline;
    flow.executed = true;
    send(std::move(packet), effects);
}

void CallerCore::sendCancel(TimePoint, Flow& flow, CallerEffects& effects)
{
    send(packetFor(flow, PacketKind::Cancel), effects);
}

void CallerCore::sendQuery(TimePoint, Flow& flow, CallerEffects& effects)
{
    send(packetFor(flow, PacketKind::Query), effects);
}

void CallerCore::sendEventAck(const Flow& flow, std::uint32_t sequence, CallerEffects& effects)
{
    Packet packet = packetFor(flow, PacketKind::EventAck);
    packet.sequence = sequence;
    send(std::move(packet), effects);
}

} // namespace hawthorncroft
