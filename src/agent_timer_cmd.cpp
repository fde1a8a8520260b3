#include "agent_base.h"
#include "table/agent_times.h"

#include <algorithm>

namespace hawthorncroft {

namespace {
    inline constexpr std::size_t eventsPerResend = 8; ///< Oldest events repeated at a time.
}

const std::array<AgentCore::Wake, static_cast<std::size_t>(FlowState::End)> AgentCore::wakes {
    &AgentCore::wakeReserved,
    &AgentCore::wakeActive,
    &AgentCore::wakeQueued,
    &AgentCore::wakeRunning,
    &AgentCore::wakeAnswering,
    &AgentCore::wakeFinished,
};

void AgentCore::onTick(TimePoint now)
{
    notePause(now);
    m_lastTick = now;
    m_records.advance(now, [&](FlowRecord& record) {
        Wake wake = wakes.at(static_cast<std::size_t>(record.state));
        (this->*wake)(now, record);
    });
    m_admission.tick(now);
    compactQueue();
    startQueued(now);
}

void AgentCore::wakeReserved(TimePoint now, FlowRecord& record)
{
    if (now > record.expiresAt) {
        count(AgentCounter::LapsedReservations);
        finish(now, record, { Verdict::DidNotRun, Reason::Expired });
        return;
    }
    if (record.holdsPlace)
        m_admission.releasePlace();
    record.holdsPlace = false;
    m_records.wakeAt(record, record.expiresAt + microseconds(1));
}

void AgentCore::wakeActive(TimePoint now, FlowRecord& record)
{
    if (hasLapsed(now, record)) {
        count(AgentCounter::LapsedStreams);
        endStream(now, record, Reason::Expired);
        return;
    }
    if (record.resendAt.us && now >= record.resendAt && record.work) {
        record.balancer = anotherBalancer(now, record.balancer);
        std::size_t resent = std::min(eventsPerResend, record.work->events.size());
        for (std::size_t i = 0; i < resent; ++i)
            sendEvent(now, record, record.work->events[i], record.balancer);
        count(AgentCounter::Resends, resent);
        record.resends = static_cast<std::uint8_t>(std::min(record.resends + 1, 100));
        record.resendAt = now + resendInterval(record);
    }
    scheduleStream(now, record);
}

void AgentCore::scheduleStream(TimePoint now, FlowRecord& record)
{
    TimePoint at = std::max(record.expiresAt, m_confirmedAt) + streamGrace;
    if (record.resendAt.us)
        at = std::min(at, record.resendAt);
    // A lapsed stream stays open while the configuration is unconfirmed; it is looked at now and then.
    m_records.wakeAt(record, std::max(at, now + firstResend));
}

void AgentCore::wakeQueued(TimePoint now, FlowRecord& record)
{
    Reason fault = lastFault(now, record);
    if (fault == Reason::DeadlinePassed || fault == Reason::Expired) {
        refuseFlow(now, record, fault);
        return;
    }
    TimePoint at = record.deadline.us ? std::min(record.deadline, record.expiresAt) : record.expiresAt;
    m_records.wakeAt(record, at + microseconds(1));
}

void AgentCore::wakeRunning(TimePoint, FlowRecord&)
{
    // A running request ends when the shell reports it; the shell bounds the time at the target.
}

void AgentCore::wakeAnswering(TimePoint now, FlowRecord& record)
{
    if (now >= record.retainUntil) {
        count(AgentCounter::ExpiredAnswers);
        m_records.remove(record);
        return;
    }
    if (record.kind != FlowKind::Request && record.resends > maxClosedResends) {
        settle(record);
        return;
    }
    record.balancer = anotherBalancer(now, record.balancer);
    sendAnswer(now, record, record.balancer);
    count(AgentCounter::Resends);
    scheduleResend(now, record);
}

void AgentCore::scheduleResend(TimePoint now, FlowRecord& record)
{
    record.resendAt = now + resendInterval(record);
    record.resends = static_cast<std::uint8_t>(std::min(record.resends + 1, 100));
    m_records.wakeAt(record, std::min(record.resendAt, record.retainUntil));
}

void AgentCore::wakeFinished(TimePoint, FlowRecord& record) { m_records.remove(record); }

} // namespace hawthorncroft
