#include "agent_base.h"
#include "table/agent_times.h"

#include <algorithm>

namespace hawthorncroft {

void AgentCore::onTargetEvent(TimePoint now, const FlowKey& key, std::vector<std::uint8_t> payload)
{
    detectPause(now);
    FlowRecord* record = m_records.find(key);
    if (!record || record->state != FlowState::Active || record->kind != FlowKind::Feed) {
        count(AgentCounter::LateTargetReports);
        return;
    }
    m_admission.recordConnectionSuccess();
    if (payload.size() > maxPayloadBytes)
        endStream(now, *record, Reason::TooLarge);
    else if (makeRoomForEvent(now, *record))
        queueEvent(now, *record, std::move(payload));
}

bool AgentCore::makeRoomForEvent(TimePoint now, FlowRecord& record)
{
    auto& events = record.ensureBuffers().events;
    if (events.size() < eventWindow)
        return true;
    if (now > record.expiresAt) {
        events.pop_front();
        record.hasLostEvents = true;
        count(AgentCounter::DroppedEvents);
        return true;
    }
    if (events.size() < maxUnackedEvents)
        return true;
    count(AgentCounter::OverflowedFeeds);
    endStream(now, record, Reason::Overloaded);
    return false;
}

void AgentCore::queueEvent(TimePoint now, FlowRecord& record, std::vector<std::uint8_t> payload)
{
    FlowBuffers& buffers = record.ensureBuffers();
    buffers.events.push_back({ ++record.lastEvent, std::move(payload) });
    sendEvent(now, record, buffers.events.back(), record.balancer);
    if (buffers.events.size() >= eventWindow && !buffers.isPaused) {
        buffers.isPaused = true;
        m_effects.emplace_back(PauseFeed { record.key });
    }
    if (!record.resendAt.us) {
        record.resendAt = now + resendInterval(record);
        scheduleStream(now, record);
    }
}

void AgentCore::sendEvent(TimePoint now, FlowRecord& record, const UnackedEvent& event, Endpoint to)
{
    Packet packet = replyTo(now, record, PacketKind::Event);
    packet.sequence = event.number;
    packet.payload = event.payload;
    send(to, std::move(packet));
}

void AgentCore::onEventAck(TimePoint now, Endpoint from, Packet& packet)
{
    FlowRecord* record = acknowledgedRecord(now, from, packet);
    if (!record || record->state != FlowState::Active || !record->buffers)
        return;
    auto& events = record->buffers->events;
    // `sequence` acknowledges a single event, `count` all events up to and including this number.
    std::size_t removed = std::erase_if(events,
        [&](const UnackedEvent& event) { return event.number == packet.sequence || event.number <= packet.count; });
    if (!removed)
        return;
    record->resends = 0;
    record->resendAt = events.empty() ? TimePoint {} : now + resendInterval(*record);
    resumeIfDrained(*record);
    releaseIdleBuffers(*record);
    scheduleStream(now, *record);
    deliverEnd(now, *record);
}

void AgentCore::resumeIfDrained(FlowRecord& record)
{
    FlowBuffers& buffers = *record.buffers;
    if (!buffers.isPaused || buffers.events.size() > eventWindow / 2)
        return;
    buffers.isPaused = false;
    if (!record.isEndedByTarget)
        m_effects.emplace_back(ResumeFeed { record.key });
}

void AgentCore::releaseIdleBuffers(FlowRecord& record)
{
    if (record.buffers && record.buffers->events.empty() && record.buffers->chunks.empty())
        m_records.releaseBuffers(record);
}

} // namespace hawthorncroft
