#include "agent_base.h"
#include "table/agent_times.h"

#include <algorithm>

namespace hawthorncroft {

namespace {
    inline constexpr std::size_t eventsPerResend
        = 8; ///< Number of events, oldest first, that are retransmitted at a time.
}

const std::array<AgentCore::TimerHandler, static_cast<std::size_t>(FlowState::End)> AgentCore::timerHandlers {
    &AgentCore::onReservedTimer,
    &AgentCore::onActiveTimer,
    &AgentCore::onQueuedTimer,
    &AgentCore::onRunningTimer,
    &AgentCore::onAnsweringTimer,
    &AgentCore::onFinishedTimer,
};

void AgentCore::onTick(TimePoint now)
{
    detectPause(now);
    m_lastTick = now;
    m_records.advance(now, [&](FlowRecord& record) {
        TimerHandler handler = timerHandlers.at(static_cast<std::size_t>(record.state));
        (this->*handler)(now, record);
    });
    if (m_giveUpAt.us && now >= m_giveUpAt)
        giveUpRunning(now);
    m_admission.tick(now);
    compactQueue();
    startQueued(now);
}

void AgentCore::onReservedTimer(TimePoint now, FlowRecord& record)
{
    if (now > record.expiresAt) {
        count(AgentCounter::LapsedReservations);
        finish(now, record, { Verdict::DidNotRun, Reason::Expired });
        return;
    }
    if (record.holdsPlace)
        m_admission.releasePlace();
    record.holdsPlace = false;
    m_records.scheduleTimer(record, record.expiresAt + microseconds(1));
}

void AgentCore::onActiveTimer(TimePoint now, FlowRecord& record)
{
    if (hasLapsed(now, record)) {
        count(AgentCounter::LapsedStreams);
        endStream(now, record, Reason::Expired);
        return;
    }
    if (record.resendAt.us && now >= record.resendAt && record.buffers) {
        record.balancer = anotherBalancer(now, record.balancer);
        std::size_t resent = std::min(eventsPerResend, record.buffers->events.size());
        for (std::size_t i = 0; i < resent; ++i)
            sendEvent(now, record, record.buffers->events[i], record.balancer);
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
    // A stream with an expired lease stays open while the configuration is unconfirmed, so its timer is kept running at
    // a minimum interval.
    m_records.scheduleTimer(record, std::max(at, now + firstResendInterval));
}

void AgentCore::onQueuedTimer(TimePoint now, FlowRecord& record)
{
    Reason fault = finalStartFault(now, record);
    if (fault == Reason::DeadlinePassed || fault == Reason::Expired) {
        refuseFlow(now, record, fault);
        return;
    }
    TimePoint at = record.deadline.us ? std::min(record.deadline, record.expiresAt) : record.expiresAt;
    m_records.scheduleTimer(record, at + microseconds(1));
}

void AgentCore::onRunningTimer(TimePoint, FlowRecord&)
{
    // A running request ends when the target thread reports its outcome. That thread limits the time at the target.
}

void AgentCore::onAnsweringTimer(TimePoint now, FlowRecord& record)
{
    if (now >= record.retainUntil) {
        count(AgentCounter::ExpiredAnswers);
        m_records.remove(record);
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
    m_records.scheduleTimer(record, std::min(record.resendAt, record.retainUntil));
}

void AgentCore::onFinishedTimer(TimePoint, FlowRecord& record) { m_records.remove(record); }

} // namespace hawthorncroft
