#include "agent_base.h"
#include "table/agent_times.h"

#include <algorithm>

namespace hawthorncroft {

void AgentCore::onTargetEvent(TimePoint now, const FlowKey& key, std::vector<std::uint8_t> payload)
{
    notePause(now);
    FlowRecord* record = m_records.find(key);
    if (!record || record->state != FlowState::Active || record->kind != FlowKind::Feed) {
        count(AgentCounter::LateTargetReports);
        return;
    }
    m_admission.noteConnectionSuccess();
    if (payload.size() > maxPayloadBytes)
        endStream(now, *record, Reason::TooLarge);
    else if (makeRoomForEvent(now, *record))
        holdEvent(now, *record, std::move(payload));
}

bool AgentCore::makeRoomForEvent(TimePoint now, FlowRecord& record)
{
    auto& events = record.needWork().events;
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

void AgentCore::holdEvent(TimePoint now, FlowRecord& record, std::vector<std::uint8_t> payload)
{
    FlowWork& work = record.needWork();
    work.events.push_back({ ++record.lastEvent, std::move(payload) });
    sendEvent(now, record, work.events.back(), record.balancer);
    if (work.events.size() >= eventWindow && !work.isPaused) {
        work.isPaused = true;
        m_effects.emplace_back(PauseFeed { record.key });
    }
    if (!record.resendAt.us) {
        record.resendAt = now + resendInterval(record);
        scheduleStream(now, record);
    }
}

void AgentCore::sendEvent(TimePoint now, FlowRecord& record, const HeldEvent& event, Endpoint to)
{
    Packet packet = replyTo(now, record, PacketKind::Event);
    packet.sequence = event.number;
    packet.payload = event.payload;
    send(to, std::move(packet));
}

void AgentCore::onEventAck(TimePoint now, Endpoint from, Packet& packet)
{
    FlowRecord* record = acknowledgedRecord(now, from, packet);
    if (!record || record->state != FlowState::Active || !record->work)
        return;
    auto& events = record->work->events;
    // `sequence` acknowledges one event, `count` all events up to its number.
    std::size_t removed = std::erase_if(events,
        [&](const HeldEvent& event) { return event.number == packet.sequence || event.number <= packet.count; });
    if (!removed)
        return;
    record->resends = 0;
    record->resendAt = events.empty() ? TimePoint {} : now + resendInterval(*record);
    resumeIfDrained(*record);
    releaseIdleWork(*record);
    scheduleStream(now, *record);
    deliverEnd(now, *record);
}

void AgentCore::resumeIfDrained(FlowRecord& record)
{
    FlowWork& work = *record.work;
    if (!work.isPaused || work.events.size() > eventWindow / 2)
        return;
    work.isPaused = false;
    if (!record.isEndedByTarget)
        m_effects.emplace_back(ResumeFeed { record.key });
}

void AgentCore::releaseIdleWork(FlowRecord& record)
{
    if (record.work && record.work->events.empty() && record.work->chunks.empty())
        m_records.releaseWork(record);
}

} // namespace hawthorncroft
