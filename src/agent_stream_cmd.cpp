#include "agent_base.h"
#include "table/agent_times.h"

#include <algorithm>

namespace hawthorncroft {

FlowRecord* AgentCore::findOrAdoptStream(TimePoint now, Endpoint from, const Packet& packet)
{
    Reason fault = bindingFault(packet);
    if (fault != Reason::None) {
        refuseBound(now, from, packet, { Verdict::MayHaveRun, fault });
        return nullptr;
    }
    FlowRecord* record = m_records.find(packet.key);
    if (!record) {
        // An agent that does not know its target's incarnation yet or is shutting down cannot decide whether to adopt
        // the flow. The caller retransmits the packet.
        if (!m_targetIncarnation || m_isShuttingDown) {
            count(AgentCounter::DroppedOther);
            return nullptr;
        }
        fault = adoptionFault(now, packet);
        if (fault != Reason::None) {
            refuseBound(now, from, packet, { Verdict::MayHaveRun, fault });
            return nullptr;
        }
        record = adopt(now, from, packet);
    }
    if (record->kind == FlowKind::Request) {
        count(AgentCounter::DroppedOther);
        return nullptr;
    }
    updateReturnPath(now, *record, from, packet);
    if (record->state == FlowState::Reserved) {
        fault = startFault(now, *record, packet);
        if (fault != Reason::None) {
            refuseFlow(now, *record, fault);
            return nullptr;
        }
        activate(now, *record, 0, packet);
    }
    if (record->state == FlowState::Finished || record->state == FlowState::Answering) {
        resendOutcome(now, *record, from, &packet);
        return nullptr;
    }
    return record;
}

FlowRecord* AgentCore::adopt(TimePoint now, Endpoint from, const Packet& packet)
{
    FlowRecord* record = m_records.add(packet.key);
    record->reservation = ReservationId(++m_lastReservation);
    record->firstReservation = record->reservation;
    record->kind = packet.flowKind;
    record->service = packet.binding.service;
    record->expiresAt = packet.binding.expiresAt;
    record->holdsConnection = true;
    m_admission.adoptConnection(record->kind);
    count(AgentCounter::Adopted);
    // A KeepAlive contains the number of the last event that the caller received. Numbering continues from there.
    updateReturnPath(now, *record, from, packet);
    activate(now, *record, packet.kind == PacketKind::KeepAlive ? packet.sequence : 0, packet);
    return record;
}

void AgentCore::activate(TimePoint now, FlowRecord& record, std::uint32_t after, const Packet& packet)
{
    m_records.setState(record, FlowState::Active);
    record.lastEvent = after;
    record.resendAt = {};
    record.resends = 0;
    record.hasLostEvents = false;
    record.isEndedByTarget = false;
    renew(now, record);
    if (record.kind == FlowKind::Feed)
        m_effects.emplace_back(OpenFeed { record.key, record.service, after, packet.payload });
}

void AgentCore::renew(TimePoint now, FlowRecord& record)
{
    record.expiresAt = std::max(record.expiresAt, now + streamLease);
    if (record.state == FlowState::Active)
        scheduleStream(now, record);
}

void AgentCore::onKeepAlive(TimePoint now, Endpoint from, Packet& packet)
{
    FlowRecord* record = findOrAdoptStream(now, from, packet);
    if (!record)
        return;
    if (record->hasLostEvents) {
        // The dropped events cannot be delivered any more, and the caller would wait for them indefinitely.
        endStream(now, *record, Reason::Expired);
        return;
    }
    renew(now, *record);
    Packet reply = replyTo(now, *record, PacketKind::Renewed);
    reply.binding = bindingOf(*record);
    reply.nonce = packet.nonce;
    send(from, std::move(reply));
}

void AgentCore::onData(TimePoint now, Endpoint from, Packet& packet)
{
    FlowRecord* record = findOrAdoptStream(now, from, packet);
    if (!record || record->state != FlowState::Active)
        return;
    if (!serves(packet)) {
        refuseBound(now, from, packet, { Verdict::MayHaveRun, Reason::WrongService });
        return;
    }
    auto& chunks = record->ensureBuffers().chunks;
    bool isInFlight = std::find(chunks.begin(), chunks.end(), packet.sequence) != chunks.end();
    if (isInFlight || chunks.size() >= maxChunksInFlight) {
        count(AgentCounter::DroppedChunks);
        return;
    }
    chunks.push_back(packet.sequence);
    m_effects.emplace_back(
        StoreChunk { record->key, record->service, record->kind, packet.sequence, std::move(packet.payload) });
}

void AgentCore::onChunkStored(TimePoint now, const FlowKey& key, std::uint32_t sequence, bool isStored)
{
    detectPause(now);
    FlowRecord* record = m_records.find(key);
    if (!record || record->state != FlowState::Active || !record->buffers
        || !std::erase(record->buffers->chunks, sequence)) {
        count(AgentCounter::LateTargetReports);
        return;
    }
    releaseIdleBuffers(*record);
    if (!isStored)
        return;
    m_admission.recordConnectionSuccess();
    Packet reply = replyTo(now, *record, PacketKind::DataAck);
    reply.sequence = sequence;
    send(record->balancer, std::move(reply));
}

void AgentCore::onClose(TimePoint now, Endpoint from, Packet& packet)
{
    if (packet.flowKind == FlowKind::Feed) {
        FlowRecord* feed = acknowledgedRecord(now, from, packet);
        if (!feed)
            refuseBound(now, from, packet, { Verdict::MayHaveRun, Reason::Unknown });
        else if (feed->state == FlowState::Answering)
            onAnswerAck(now, from, packet);
        else if (feed->state == FlowState::Active || feed->state == FlowState::Reserved)
            endStream(now, *feed, Reason::None);
        else
            resendOutcome(now, *feed, from, &packet);
        return;
    }
    FlowRecord* record = boundRecord(now, from, packet);
    if (!record)
        return;
    bool isOpen = record->state == FlowState::Active || record->state == FlowState::Reserved;
    if (!isOpen || record->kind != FlowKind::Upload) {
        count(AgentCounter::DuplicateExecutes);
        resendOutcome(now, *record, from, &packet);
        return;
    }
    // A chunk in flight must not arrive after the commit. The caller retransmits its Close.
    if (record->buffers && !record->buffers->chunks.empty()) {
        count(AgentCounter::DroppedOther);
        return;
    }
    Reason fault = startFault(now, *record, packet);
    if (fault != Reason::None)
        refuseFlow(now, *record, fault);
    else
        queueRequest(now, *record, packet);
}

void AgentCore::onTargetFeedOpened(TimePoint now, const FlowKey& key)
{
    detectPause(now);
    FlowRecord* record = m_records.find(key);
    if (record && record->state == FlowState::Active)
        m_admission.recordConnectionSuccess();
}

void AgentCore::onTargetFeedEnded(TimePoint now, const FlowKey& key, bool hasFailed)
{
    detectPause(now);
    FlowRecord* record = m_records.find(key);
    if (!record || record->state != FlowState::Active || record->kind != FlowKind::Feed) {
        count(AgentCounter::LateTargetReports);
        return;
    }
    record->outcome
        = { hasFailed ? Verdict::MayHaveRun : Verdict::Done, hasFailed ? Reason::TargetFailed : Reason::None };
    record->isEndedByTarget = true;
    deliverEnd(now, *record);
}

void AgentCore::deliverEnd(TimePoint now, FlowRecord& record)
{
    // The end is sent only after all events are acknowledged, because events are not retransmitted after it.
    bool hasEvents = record.buffers && !record.buffers->events.empty();
    if (record.isEndedByTarget && !hasEvents)
        answer(now, record, record.outcome, {});
}

void AgentCore::endStream(TimePoint now, FlowRecord& record, Reason reason)
{
    closeAtTarget(record);
    // An upload that was not committed did not run. For a feed the verdict is "did not run" only if it was never
    // opened.
    bool isClosedByCaller = reason == Reason::None;
    Outcome outcome { isClosedByCaller ? Verdict::Done : Verdict::MayHaveRun, reason };
    if (record.kind == FlowKind::Upload || record.state == FlowState::Reserved)
        outcome = { Verdict::DidNotRun, isClosedByCaller ? Reason::Cancelled : reason };
    finish(now, record, outcome);
    resendOutcome(now, record, record.balancer);
}

void AgentCore::closeAtTarget(const FlowRecord& record)
{
    bool isOpen = record.kind == FlowKind::Feed && record.state == FlowState::Active && !record.isEndedByTarget;
    if (isOpen)
        m_effects.emplace_back(CloseFeed { record.key });
}

} // namespace hawthorncroft
